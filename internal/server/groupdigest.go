//go:build !lean

package server

import (
	"encoding/json"
	"fmt"
	"runtime/debug"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// revisionLength is how much of the revision's hash members tell each other.
const revisionLength = 12

// buildRevision is the revision that this program was built from, as far as the build has recorded it.
var buildRevision = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(len(setting.Value), revisionLength)]
		}
	}
	return info.Main.Version
})

// perMemberKeys are the settings in which members of a group differ rightly.
var perMemberKeys = []string{"zone", "ordinal"}

// settingsDigest returns a digest of a platform's configuration that is the same for members with the same settings, but for
// perMemberKeys. It is empty where the configuration is no JSON, as Decode reports.
func settingsDigest(raw json.RawMessage) string {
	var platform struct {
		Settings map[string]any `json:"settings"`
	}
	if json.Unmarshal(raw, &platform) != nil {
		return ""
	}
	for _, key := range perMemberKeys {
		delete(platform.Settings, key)
	}
	canonical, err := json.Marshal(platform.Settings) // writes the keys in order
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(canonical))
}
