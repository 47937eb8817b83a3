// The cases of the second review. Each plays one run with the stand-ins of package rig: cases NAME FOLDER. It ends with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"birchfork-review/rig-2/rig"
)

// run is one run of a case.
type run struct {
	*rig.Record
	root    string // of the repository
	temp    string // folder of the run, removed at its end
	trouble bool
	cleanup []func()
}

// atEnd registers what ends with the run.
func (r *run) atEnd(f func()) { r.cleanup = append(r.cleanup, f) }

func (r *run) end() {
	for i := len(r.cleanup) - 1; i >= 0; i-- {
		r.cleanup[i]()
	}
}

var cases = map[string]func(*run) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	record, err := rig.NewRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	root, err := os.Getwd()
	if err != nil {
		record.Say("could not run: %v", err)
		return 2
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		record.Say("could not run: %v", err)
		return 2
	}
	defer os.RemoveAll(temp)
	r := &run{Record: record, root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0"}
	record.Say("case %s, trouble: %t", name, r.trouble)
	err = cases[name](r)
	r.end()
	copyLogs(record, temp)
	switch {
	case err != nil:
		record.Say("could not run: %v", err)
		return 2
	case record.BrokenCount() > 0:
		record.Say("the rule was broken %d times", record.BrokenCount())
		return 1
	}
	record.Say("the rule held")
	return 0
}

// copyLogs copies what the dispatchers have logged into the record.
func copyLogs(record *rig.Record, temp string) {
	logs, _ := filepath.Glob(filepath.Join(temp, "*", "dispatcher.log"))
	for _, path := range logs {
		file, err := os.Open(path)
		if err != nil {
			continue
		}
		name := filepath.Base(filepath.Dir(path))
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			record.Log("log of %s: %s", name, strings.TrimSpace(lines.Text()))
		}
		file.Close()
	}
}

// discovery starts a discovery that ends with the run.
func (r *run) discovery(index uint64, entries []rig.Entry) (*rig.Discovery, error) {
	d, err := rig.NewDiscovery(r.Record, index, entries)
	if err == nil {
		r.atEnd(d.Close)
	}
	return d, err
}

// dispatcher starts a dispatcher that ends with the run.
func (r *run) dispatcher(name string, config map[string]any) (*rig.Dispatcher, error) {
	folder := filepath.Join(r.temp, name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	d, err := rig.Start(r.Record, r.root, folder, config)
	if d != nil {
		r.atEnd(d.Kill)
	}
	return d, err
}
