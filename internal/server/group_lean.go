//go:build lean

package server

import "encoding/json"

// groupsSupported reports that this build cannot be a member of a group: the libraries for that take 3 MB of resident memory, even if no
// group is configured.
const groupsSupported = false

// joinGroup does nothing in a lean build.
func (s *Server) joinGroup() error { return nil }

// checkGroupAvailable does nothing in a lean build.
func (c *Config) checkGroupAvailable() error { return nil }

// settingsDigest returns an empty digest: only members of a group compare it.
func settingsDigest(json.RawMessage) string { return "" }
