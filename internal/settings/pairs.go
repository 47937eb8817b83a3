// Package settings decodes the settings that a dispatcher gets at its start, and numbers the names that it meets: the
// dispatch module works on dense ids. Both the simulator's protocol and the dispatcher on sockets use it: the first
// carries settings as path=value pairs, the second as nested JSON, which Flatten turns into the same pairs.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"birchfork/dispatch"
)

const (
	// maxNumber bounds numbers and, in seconds, durations.
	maxNumber = MaxSeconds

	// maxInt bounds whole numbers in both directions.
	maxInt = 1e9

	// maxListLength bounds the lists in settings, so that a wrong count cannot take all memory.
	maxListLength = 10000

	// absent stands for a value that is not set.
	absent = "-"
)

// Pairs are settings as path=value. Paths that nothing reads are allowed. Reading a malformed value adds an error, which
// Err returns, and yields a value that is not to be used. Pairs are not safe for concurrent use.
type Pairs struct {
	values map[string]string
	errs   []Error
}

// Error is one malformed setting.
type Error struct {
	Path   string
	Reason string
}

// Error returns the path and the reason in one line of text.
func (e Error) Error() string { return "setting " + e.Path + ": " + e.Reason }

// ParsePairs parses pairs that are separated by tabs.
func ParsePairs(text []byte) (*Pairs, error) {
	pairs := &Pairs{values: map[string]string{}}
	for _, pair := range bytes.Split(text, []byte{'\t'}) {
		if len(pair) == 0 || IsAbsent(pair) {
			continue
		}
		path, value, _ := bytes.Cut(pair, []byte{'='})
		if len(path) == 0 || len(path) == len(pair) {
			return nil, fmt.Errorf("setting %q is not path=value", pair)
		}
		pairs.values[string(path)] = string(value)
	}
	return pairs, nil
}

// addError adds an error of a path, once however often the path is read.
func (p *Pairs) addError(path, reason string) {
	err := Error{Path: path, Reason: reason}
	if !slices.Contains(p.errs, err) {
		p.errs = append(p.errs, err)
	}
}

// addMalformed adds an error of a path whose value is not what it has to be.
func (p *Pairs) addMalformed(path, want string) {
	p.addError(path, fmt.Sprintf("%q is not %s", p.values[path], want))
}

// Err joins an Error for each malformed setting among those that have been read so far; nil where there are none.
func (p *Pairs) Err() error {
	errs := make([]error, len(p.errs))
	for i, err := range p.errs {
		errs[i] = err
	}
	return errors.Join(errs...)
}

// Text returns a setting, or def where it is missing.
func (p *Pairs) Text(path, def string) string {
	if value, ok := p.values[path]; ok && value != absent {
		return value
	}
	return def
}

// Float returns a number, or def where it is missing.
func (p *Pairs) Float(path string, def float64) float64 {
	text := p.Text(path, "")
	if text == "" {
		return def
	}
	digits, negative := strings.CutPrefix(text, "-")
	n, ok := ParseDecimal([]byte(digits))
	if !ok || n > maxNumber {
		p.addMalformed(path, "a number")
	}
	if negative {
		n = -n
	}
	return n
}

// duration returns a length of time, which is set in seconds, or def where it is missing.
func (p *Pairs) duration(path string, def dispatch.Time) dispatch.Time {
	return FromSeconds(p.Float(path, float64(def)/float64(dispatch.Second)))
}

// Int returns a whole number, or def where it is missing.
func (p *Pairs) Int(path string, def int) int {
	text := p.Text(path, "")
	if text == "" {
		return def
	}
	n, err := strconv.Atoi(text)
	if err != nil || n > maxInt || n < -maxInt {
		p.addMalformed(path, "a whole number")
	}
	return n
}

// Bool returns a switch, or def where it is missing.
func (p *Pairs) Bool(path string, def bool) bool {
	switch p.Text(path, "") {
	case "":
		return def
	case "true", "1":
		return true
	case "false", "0":
		return false
	default:
		p.addMalformed(path, "true or false")
		return def
	}
}

// choice returns the index of a setting among its options, where def is one of them.
func (p *Pairs) choice(path, def string, options ...string) int {
	i := slices.Index(options, p.Text(path, def))
	if i < 0 {
		p.addMalformed(path, fmt.Sprintf("one of %v", options))
		return 0
	}
	return i
}

// list splits a list at its commas; an empty or missing one has no items.
func (p *Pairs) list(path string) []string {
	text := p.Text(path, "")
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// listNumber returns the i-th number of a list that was read before, or def where the list is shorter.
func (p *Pairs) listNumber(path string, list []string, i int, def float64) float64 {
	if i >= len(list) {
		return def
	}
	number, err := strconv.ParseFloat(list[i], 64)
	inRange := number >= -maxNumber && number <= maxNumber // false for NaN
	if err != nil || !inRange {
		p.addMalformed(path, "a list of numbers")
	}
	return number
}

// count returns the number of items of a list of objects.
func (p *Pairs) count(path string) int {
	n := p.Int(path, 0)
	if n < 0 || n > maxListLength {
		p.addMalformed(path, fmt.Sprintf("a count from 0 to %d", maxListLength))
		return 0
	}
	return n
}
