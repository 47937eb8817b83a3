//go:build !lean

package server

import (
	"encoding/json"
	"fmt"
	"runtime/debug"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// revisionLength is the number of characters of the revision's hash that members report to each other.
const revisionLength = 12

// buildRevision returns the revision that this program was built from, or the main module's version if the build has not recorded one.
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

// perMemberKeys are the settings that are expected to differ between members of a group.
var perMemberKeys = []string{"zone", "ordinal"}

// settingsDigest returns a digest of a platform's configuration that is equal for members with the same settings, except for perMemberKeys.
// It is empty if the configuration is not valid JSON, which Decode reports.
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
	canonical, err := json.Marshal(platform.Settings) // writes the keys in sorted order
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(canonical))
}
