// Command linked says whether a program is linked dynamically against the C library: it names an interpreter and needs
// libc.so.6. It ends with 1 and a plain message if not.
package main

import (
	"debug/elf"
	"fmt"
	"os"
	"slices"
)

func main() {
	if len(os.Args) != 2 {
		fail("usage: linked FILE")
	}
	if err := check(os.Args[1]); err != nil {
		fail(err.Error())
	}
}

func fail(text string) {
	fmt.Fprintln(os.Stderr, text)
	os.Exit(1)
}

// check returns an error that says what the file at path lacks.
func check(path string) error {
	file, err := elf.Open(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer file.Close()
	if !slices.ContainsFunc(file.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return fmt.Errorf("%s: has no interpreter: build it with cgo on and -ldflags=-linkmode=external", path)
	}
	needed, err := file.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if !slices.Contains(needed, "libc.so.6") {
		return fmt.Errorf("%s: needs %v, not libc.so.6: build it with -ldflags=-linkmode=external", path, needed)
	}
	return nil
}
