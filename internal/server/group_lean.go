//go:build lean

package server

import "encoding/json"

// groupsLinked says that this build leaves groups out: their libraries take 3 MB resident, also where no group is named.
const groupsLinked = false

func (n *node) takePart() error { return nil }

func (c *Config) free() error { return nil }

// settingsDigest is for the members of a group.
func settingsDigest(json.RawMessage) string { return "" }
