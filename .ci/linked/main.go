// Command linked checks that a program is dynamically linked against the C library: that it has an ELF interpreter and needs
// libc.so.6. Otherwise it prints the reason and exits with status 1.
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

// check returns an error if the file at path is not dynamically linked against the C library.
func check(path string) error {
	file, err := elf.Open(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer file.Close()
	if !slices.ContainsFunc(file.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return fmt.Errorf("%s: missing ELF interpreter: build it with CGO_ENABLED=1 and -ldflags=-linkmode=external", path)
	}
	needed, err := file.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if !slices.Contains(needed, "libc.so.6") {
		return fmt.Errorf("%s: needs libraries %v, must include libc.so.6: build it with -ldflags=-linkmode=external", path, needed)
	}
	return nil
}
