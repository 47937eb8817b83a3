package simprotocol

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

var (
	errMissingValue = errors.New("a value is missing")
	errExtraValue   = errors.New("there are more values than the message has")
)

// fieldReader takes the values of one line from left to right and keeps the first error.
type fieldReader struct {
	rest      []byte
	exhausted bool // nothing is left, not even an empty value
	err       error
}

func (f *fieldReader) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// next returns the next raw value.
func (f *fieldReader) next(name string) []byte {
	if f.exhausted {
		f.fail(fmt.Errorf("%s: %w", name, errMissingValue))
		return nil
	}
	tab := bytes.IndexByte(f.rest, '\t')
	if tab < 0 {
		value := f.rest
		f.rest, f.exhausted = nil, true
		return value
	}
	value := f.rest[:tab]
	f.rest = f.rest[tab+1:]
	return value
}

// finish reports the first error, or values beyond the last.
func (f *fieldReader) finish() error {
	if f.err == nil && !f.exhausted {
		f.err = errExtraValue
	}
	return f.err
}

// text returns a value that may not be empty or absent.
func (f *fieldReader) text(name string) []byte {
	value := f.next(name)
	if len(value) == 0 || settings.IsAbsent(value) {
		f.fail(fmt.Errorf("%s: a value is needed, not %q", name, value))
	}
	return value
}

// integer returns a whole number from lo to hi; an absent one is def, where def is in range.
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

// number returns a number that is not below 0; an absent one is def.
func (f *fieldReader) number(name string, def float64) float64 {
	text := f.next(name)
	if settings.IsAbsent(text) {
		return def
	}
	n, ok := settings.ParseDecimal(text)
	if f.err == nil && (!ok || n < 0) {
		f.fail(fmt.Errorf("%s: %q is not a number from 0 on", name, text))
	}
	return n
}

// duration returns a time given in seconds; an absent one is 0.
func (f *fieldReader) duration(name string) dispatch.Time {
	seconds := f.number(name, 0)
	if seconds > settings.MaxSeconds {
		f.fail(fmt.Errorf("%s: %v s is out of range", name, seconds))
		return 0
	}
	return settings.FromSeconds(seconds)
}

func (f *fieldReader) boolean(name string) bool { return f.integer(name, 0, 1, 0) == 1 }

// appendSeconds writes a length of time in seconds.
func appendSeconds(buf []byte, t dispatch.Time) []byte {
	if t < 0 {
		buf = append(buf, '-')
		t = -t
	}
	buf = strconv.AppendInt(buf, int64(t/dispatch.Second), 10)
	micros := int64(t % dispatch.Second)
	if micros == 0 {
		return buf
	}
	buf = append(buf, '.')
	for scale := int64(100000); micros > 0; scale /= 10 {
		buf = append(buf, byte('0'+micros/scale))
		micros %= scale
	}
	return buf
}
