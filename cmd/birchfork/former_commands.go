package main

import "strings"

// formerCommands maps the path of a command with a former name to its present name. Only the last element of a path is a former name; the
// elements before it are present names.
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

// withPresentNames returns the arguments with former names of commands replaced by the present ones, so that scripts continue to work while
// help shows one name. Only arguments before the first flag are replaced.
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
