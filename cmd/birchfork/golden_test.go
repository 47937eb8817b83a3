//go:build !lean

package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// commandRows lists the arguments, flags and commands below a command, which scripts may use.
func commandRows(node *kong.Node, path string) (rows []string) {
	for _, argument := range node.Positional {
		rows = append(rows, fmt.Sprintf("%s <%s> required=%t default=%q enum=%q", path, argument.Name, argument.Required, argument.Default, argument.Enum))
	}
	for _, flag := range node.Flags {
		rows = append(rows, fmt.Sprintf("%s --%s env=%q default=%q enum=%q negatable=%t required=%t",
			path, flag.Name, strings.Join(flag.Envs, ","), flag.Default, flag.Enum, flag.Tag.Negatable != "", flag.Required))
	}
	for _, child := range node.Children {
		below := strings.TrimSpace(path + " " + child.Name)
		rows = append(rows, below)
		rows = append(rows, commandRows(child, below)...)
	}
	return rows
}

// withPresentCommand returns a row with its command under its present name.
func withPresentCommand(row string) string {
	command, rest := row, ""
	if i := strings.IndexAny(row, "<"); i >= 0 {
		command, rest = row[:i], row[i:]
	}
	if i := strings.Index(row, "--"); i >= 0 {
		command, rest = row[:i], row[i:]
	}
	words := withPresentNames(strings.Fields(command))
	return strings.TrimSuffix(strings.Join(words, " ")+" "+rest, " ")
}

// Every command, argument and flag that scripts use still works. The golden file holds those of the build before the commands were renamed.
func TestCommandLine_KeepsEveryCommandAndFlag(t *testing.T) {
	parser, err := kong.New(&commands{}, kong.Name("birchfork"), kong.Writers(io.Discard, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	rows := commandRows(parser.Model.Node, "")
	golden, err := os.ReadFile("testdata/golden/commands.txt")
	if err != nil {
		t.Fatal(err)
	}
	for row := range bytes.Lines(golden) {
		if want := withPresentCommand(strings.TrimSuffix(string(row), "\n")); !slices.Contains(rows, want) {
			t.Errorf("missing: %s", want)
		}
	}
}

// Former names of commands are parsed as the present ones; arguments and flags with the same spelling are left unchanged.
func TestWithPresentNames(t *testing.T) {
	for given, want := range map[string]string{
		"lab run calm":                  "testbed run calm",
		"lab group play lab --seed 3":   "testbed cluster run lab --seed 3",
		"lab histories --fault found":   "testbed simulation --fault found",
		"lab show outage":               "testbed show outage",
		"outage wait lab":               "maintenance wait lab",
		"group found --at h:1":          "group bootstrap --at h:1",
		"group vouch":                   "group confirm-disk",
		"serve --config lab":            "serve --config lab",
		"testbed replication --words 3": "testbed replication --words 3",
	} {
		if got := strings.Join(withPresentNames(strings.Fields(given)), " "); got != want {
			t.Errorf("%q gives %q, want %q", given, got, want)
		}
	}
}
