package simprotocol

import (
	"bytes"
	"errors"
	"fmt"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

var (
	errMissingValue = errors.New("a value is missing")
	errExtraValue   = errors.New("there are more values than the message has")
)

// fieldReader reads the values of one line from left to right and keeps the first error. After an error the returned
// values must not be used.
type fieldReader struct {
	rest      []byte
	exhausted bool // no value is left, not even an empty one
	err       error
}

func (f *fieldReader) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// finish returns the first error, or an error if values are left.
func (f *fieldReader) finish() error {
	if !f.exhausted {
		f.fail(errExtraValue)
	}
	return f.err
}

// next returns the next value as text.
func (f *fieldReader) next(name string) []byte {
	if f.exhausted {
		f.fail(fmt.Errorf("%s: %w", name, errMissingValue))
		return nil
	}
	value, rest, found := bytes.Cut(f.rest, []byte{'\t'})
	f.rest = rest
	f.exhausted = !found
	return value
}

// text returns a value that must be neither empty nor absent.
func (f *fieldReader) text(name string) []byte {
	value := f.next(name)
	if len(value) == 0 || settings.IsAbsent(value) {
		f.fail(fmt.Errorf("%s: a value is needed, not %q", name, value))
	}
	return value
}

// integer returns an integer in a range; an absent one is def, if that is in the range.
func (f *fieldReader) integer(name string, minValue, maxValue, def int64) int64 {
	text := f.next(name)
	if settings.IsAbsent(text) && def >= minValue && def <= maxValue {
		return def
	}
	n, ok := settings.ParseInt(text)
	if f.err == nil && (!ok || n < minValue || n > maxValue) {
		f.fail(fmt.Errorf("%s: %q is not a whole number from %d to %d", name, text, minValue, maxValue))
	}
	return n
}

// number returns a non-negative number; an absent one is 0.
func (f *fieldReader) number(name string) float64 {
	text := f.next(name)
	if settings.IsAbsent(text) {
		return 0
	}
	n, ok := settings.ParseDecimal(text)
	if f.err == nil && (!ok || n < 0) {
		f.fail(fmt.Errorf("%s: %q is not a number from 0 on", name, text))
	}
	return n
}

// duration returns a duration or a time, which is written in seconds; an absent one is 0.
func (f *fieldReader) duration(name string) dispatch.Time {
	seconds := f.number(name)
	if seconds > settings.MaxSeconds {
		f.fail(fmt.Errorf("%s: %v s is out of range", name, seconds))
		return 0
	}
	return settings.FromSeconds(seconds)
}

// boolean returns a boolean, which is written as 0 or 1; an absent one is false.
func (f *fieldReader) boolean(name string) bool { return f.integer(name, 0, 1, 0) == 1 }
