// Package tomlfile decodes a hand-written TOML file into a struct. It is strict and reports all errors of the file at
// once, each with file, line, key, the invalid value and what is expected. The syntax is parsed by go-toml. This package
// adds the lines of keys and suggestions for unknown keys, and continues after an error.
//
// Fields have a `toml` tag. Supported are strings, booleans, integers, float64, time.Duration (written as a string such
// as "1.5s"), slices, and structs. The fields of an embedded struct count as the struct's own. Any other field without
// a tag is ignored.
package tomlfile

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxSize is the maximum size of a file that Read accepts, in bytes. Hand-written files are far smaller.
const MaxSize = 1 << 20

// Error is one error in a file.
type Error struct {
	File   string
	Line   int    // counted from 1; 0 if the error belongs to no line
	Key    string // the full path, such as class[1].patience; empty if the error belongs to no key
	Reason string
}

// Error returns the file, line, key and reason in one line of text.
func (e Error) Error() string {
	var text strings.Builder
	text.WriteString(e.File)
	if e.Line > 0 {
		text.WriteString(":" + strconv.Itoa(e.Line))
	}
	text.WriteString(": ")
	if e.Key != "" {
		text.WriteString(e.Key + ": ")
	}
	return text.String() + e.Reason
}

// Document is a file that has been read: the lines of its keys, and the errors found in it. Callers add their own
// errors with AddErrorf. A Document is not safe for concurrent use.
type Document struct {
	file   string
	lines  map[string]int // by the key's full path
	errors []Error
}

// Read decodes raw into target, a pointer to a struct that may contain defaults. Errors are recorded in the Document;
// target then contains what could be decoded. It panics if target has a tagged field of an unsupported kind.
func Read(file string, raw []byte, target any) *Document {
	document := &Document{file: file, lines: map[string]int{}}
	if len(raw) > MaxSize {
		document.addFileError(fmt.Sprintf("file too large: %d bytes, must be at most %d", len(raw), MaxSize))
		return document
	}
	var root map[string]any
	if err := toml.Unmarshal(raw, &root); err != nil {
		document.addSyntaxError(err)
		return document
	}
	document.recordLines(raw)
	document.decodeTable("", root, reflect.ValueOf(target).Elem())
	return document
}

// Has reports whether the file sets the key, given by its full path.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Line returns the line of a key, or of the nearest enclosing table. It returns 0 if the file has neither.
func (d *Document) Line(key string) int {
	for {
		if line, ok := d.lines[key]; ok {
			return line
		}
		end := strings.LastIndexAny(key, ".[")
		if end < 0 {
			return 0
		}
		key = key[:end]
	}
}

// AddErrorf adds an error for the key, given by its full path.
func (d *Document) AddErrorf(key, format string, args ...any) {
	d.errors = append(d.errors, Error{File: d.file, Line: d.Line(key), Key: key, Reason: fmt.Sprintf(format, args...)})
}

// addFileError adds an error that concerns the whole file.
func (d *Document) addFileError(reason string) {
	d.errors = append(d.errors, Error{File: d.file, Reason: reason})
}

// addSyntaxError adds an error of the TOML parser, with its line and key if it reports them.
func (d *Document) addSyntaxError(err error) {
	syntaxError := Error{File: d.file, Reason: "malformed TOML: " + strings.TrimPrefix(err.Error(), "toml: ")}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		syntaxError.Line, _ = decodeError.Position()
		syntaxError.Key = strings.Join(decodeError.Key(), ".")
	}
	d.errors = append(d.errors, syntaxError)
}

// Errors returns all errors sorted by line. Errors of the same line are in the order in which they were added.
func (d *Document) Errors() []Error {
	sorted := slices.Clone(d.errors)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Line < sorted[j].Line })
	return sorted
}

// Err joins all errors, one per line; errors.As finds them as Error. It returns nil if there are none.
func (d *Document) Err() error {
	found := d.Errors()
	errs := make([]error, 0, len(found))
	for _, e := range found {
		errs = append(errs, e)
	}
	return errors.Join(errs...)
}
