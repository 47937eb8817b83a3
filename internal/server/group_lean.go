//go:build lean

package server

import "encoding/json"

// groupsSupported tells that this build cannot be a member of a group: the libraries for that take 3 MB of resident memory, also where
// no group is configured.
const groupsSupported = false

// joinGroup joins no group.
func (s *Server) joinGroup() error { return nil }

// checkGroupAvailable has nothing to check.
func (c *Config) checkGroupAvailable() error { return nil }

// settingsDigest is empty: only members of a group compare it.
func settingsDigest(json.RawMessage) string { return "" }
