package main

import "strings"

// formerCommands maps the path of a command under an earlier name to its present name. The last word of a key is the earlier one; those
// before it are present names.
var formerCommands = map[string]string{
	"lab":                  "testbed",
	"testbed histories":    "simulation",
	"testbed copies":       "replication",
	"testbed group":        "cluster",
	"testbed cluster play": "run",
	"outage":               "maintenance",
	"group found":          "bootstrap",
	"group trust":          "trust-history",
	"group vouch":          "confirm-disk",
	"group words":          "overrides",
}

// withPresentNames returns the arguments with each command under an earlier name replaced by its present one, so that scripts go on
// working while help shows one name. It looks at the words before the first flag.
func withPresentNames(args []string) []string {
	present := make([]string, len(args))
	copy(present, args)
	path := ""
	for i, word := range args {
		if strings.HasPrefix(word, "-") {
			break
		}
		path = strings.TrimSpace(path + " " + word)
		if name, found := formerCommands[path]; found {
			present[i] = name
			path = strings.TrimSuffix(path, word) + name
		}
	}
	return present
}
