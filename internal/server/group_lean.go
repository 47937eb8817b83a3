//go:build lean

package server

import "encoding/json"

// groupsSupported says that this build leaves groups out: their libraries take 3 MB resident, also where no group is named.
const groupsSupported = false

func (s *Server) joinGroup() error { return nil }

func (c *Config) checkGroupAvailable() error { return nil }

// settingsDigest is for the members of a group.
func settingsDigest(json.RawMessage) string { return "" }
