package simprotocol

import (
	"bytes"
	"errors"
	"fmt"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

var (
	errMissingValue = errors.New("missing value")
	errExtraValue   = errors.New("too many values")
)

// fieldReader reads the values of one line from left to right and keeps the first error. The values that it returns
// after an error are invalid.
type fieldReader struct {
	rest      []byte
	exhausted bool // no values remain, not even an empty one
	err       error
}

func (f *fieldReader) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// finish returns the first error, or errExtraValue if values remain.
func (f *fieldReader) finish() error {
	if !f.exhausted {
		f.fail(errExtraValue)
	}
	return f.err
}

// next returns the next value without parsing it.
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

// text returns the next value, which must be neither empty nor absent.
func (f *fieldReader) text(name string) []byte {
	value := f.next(name)
	if len(value) == 0 || settings.IsAbsent(value) {
		f.fail(fmt.Errorf("%s: invalid value %q: must be neither empty nor \"-\"", name, value))
	}
	return value
}

// integer returns an integer between minValue and maxValue, or def if the value is absent and def is in that range.
func (f *fieldReader) integer(name string, minValue, maxValue, def int64) int64 {
	text := f.next(name)
	if settings.IsAbsent(text) && def >= minValue && def <= maxValue {
		return def
	}
	n, ok := settings.ParseInt(text)
	if f.err == nil && (!ok || n < minValue || n > maxValue) {
		f.fail(fmt.Errorf("%s: invalid value %q: must be an integer between %d and %d", name, text, minValue, maxValue))
	}
	return n
}

// number returns a non-negative number, or 0 if the value is absent.
func (f *fieldReader) number(name string) float64 {
	text := f.next(name)
	if settings.IsAbsent(text) {
		return 0
	}
	n, ok := settings.ParseDecimal(text)
	if f.err == nil && (!ok || n < 0) {
		f.fail(fmt.Errorf("%s: invalid value %q: must be a non-negative number", name, text))
	}
	return n
}

// duration returns a duration or a time, which the protocol writes in seconds, or 0 if the value is absent.
func (f *fieldReader) duration(name string) dispatch.Time {
	seconds := f.number(name)
	if seconds > settings.MaxSeconds {
		f.fail(fmt.Errorf("%s: invalid value %v s: out of range", name, seconds))
		return 0
	}
	return settings.FromSeconds(seconds)
}

// boolean returns a boolean, which the protocol writes as 0 or 1, or false if the value is absent.
func (f *fieldReader) boolean(name string) bool { return f.integer(name, 0, 1, 0) == 1 }
