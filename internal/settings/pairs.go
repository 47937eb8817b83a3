// Package settings decodes the settings that a dispatcher gets at its start, and assigns ids to the names that it uses,
// since the decision module works on dense ids. It serves the simulator's protocol, which encodes settings as
// path=value pairs, and the dispatcher on sockets, which gets them as nested JSON. Flatten converts nested JSON to
// pairs.
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
	// maxNumber limits the absolute value of numbers, and of durations in seconds.
	maxNumber = MaxSeconds

	// maxInt limits the absolute value of integers.
	maxInt = 1e9

	// maxListLength limits the number of objects in a list, so that a wrong count cannot exhaust memory.
	maxListLength = 10000

	// absent is the placeholder for a value that is not set.
	absent = "-"
)

// Pairs holds settings as path=value pairs. Unknown paths are ignored. Reading a malformed value returns a value that
// must not be used, and records an error for Err. Pairs is not safe for concurrent use.
type Pairs struct {
	values map[string]string
	errs   []Error
}

// Error describes one malformed setting.
type Error struct {
	Path   string
	Reason string
}

// Error returns the path and the reason in one line of text.
func (e Error) Error() string { return "setting " + e.Path + ": " + e.Reason }

// ParsePairs parses tab-separated pairs.
func ParsePairs(text []byte) (*Pairs, error) {
	pairs := &Pairs{values: map[string]string{}}
	for _, pair := range bytes.Split(text, []byte{'\t'}) {
		if len(pair) == 0 || IsAbsent(pair) {
			continue
		}
		path, value, _ := bytes.Cut(pair, []byte{'='})
		if len(path) == 0 || len(path) == len(pair) {
			return nil, fmt.Errorf("malformed setting %q: must be path=value", pair)
		}
		pairs.values[string(path)] = string(value)
	}
	return pairs, nil
}

// addError records an error for a path. The same error is recorded only once, even if the path is read repeatedly.
func (p *Pairs) addError(path, reason string) {
	err := Error{Path: path, Reason: reason}
	if !slices.Contains(p.errs, err) {
		p.errs = append(p.errs, err)
	}
}

// addMalformed records an error for a path whose value is not as expected.
func (p *Pairs) addMalformed(path, want string) {
	p.addError(path, fmt.Sprintf("invalid value %q: must be %s", p.values[path], want))
}

// Err joins the Error of each malformed setting that has been read so far. It returns nil if there are none.
func (p *Pairs) Err() error {
	errs := make([]error, len(p.errs))
	for i, err := range p.errs {
		errs[i] = err
	}
	return errors.Join(errs...)
}

// Text returns a setting, or def if it is missing.
func (p *Pairs) Text(path, def string) string {
	if value, ok := p.values[path]; ok && value != absent {
		return value
	}
	return def
}

// Float returns a number, or def if it is missing.
func (p *Pairs) Float(path string, def float64) float64 {
	text := p.Text(path, "")
	if text == "" {
		return def
	}
	digits, negative := strings.CutPrefix(text, "-")
	n, ok := ParseDecimal([]byte(digits))
	if !ok || n > maxNumber {
		p.addMalformed(path, fmt.Sprintf("a number between %g and %g", -maxNumber, maxNumber))
	}
	if negative {
		n = -n
	}
	return n
}

// duration returns a duration, given in seconds, or def if it is missing.
func (p *Pairs) duration(path string, def dispatch.Time) dispatch.Time {
	return FromSeconds(p.Float(path, float64(def)/float64(dispatch.Second)))
}

// Int returns an integer, or def if it is missing.
func (p *Pairs) Int(path string, def int) int {
	text := p.Text(path, "")
	if text == "" {
		return def
	}
	n, err := strconv.Atoi(text)
	if err != nil || n > maxInt || n < -maxInt {
		p.addMalformed(path, fmt.Sprintf("an integer between %d and %d", int(-maxInt), int(maxInt)))
	}
	return n
}

// Bool returns a boolean, or def if it is missing.
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

// choice returns the index of a setting in its options. A missing setting counts as def, which is one of them.
func (p *Pairs) choice(path, def string, options ...string) int {
	i := slices.Index(options, p.Text(path, def))
	if i < 0 {
		p.addMalformed(path, fmt.Sprintf("one of %v", options))
		return 0
	}
	return i
}

// list splits a list at its commas. An empty or missing list has no items.
func (p *Pairs) list(path string) []string {
	text := p.Text(path, "")
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// listNumber returns the i-th number of a list that was read from path, or def if the list is shorter.
func (p *Pairs) listNumber(path string, list []string, i int, def float64) float64 {
	if i >= len(list) {
		return def
	}
	number, err := strconv.ParseFloat(list[i], 64)
	inRange := number >= -maxNumber && number <= maxNumber // false for NaN
	if err != nil || !inRange {
		p.addMalformed(path, fmt.Sprintf("a list of numbers between %g and %g", -maxNumber, maxNumber))
	}
	return number
}

// count returns the number of items in a list of objects.
func (p *Pairs) count(path string) int {
	n := p.Int(path, 0)
	if n < 0 || n > maxListLength {
		p.addMalformed(path, fmt.Sprintf("an integer between 0 and %d", maxListLength))
		return 0
	}
	return n
}
