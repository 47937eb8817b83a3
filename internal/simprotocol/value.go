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
	errMissing = errors.New("a value is missing")
	errSurplus = errors.New("there are more values than the message has")
)

// fields takes the values of one line from left to right and keeps the first error.
type fields struct {
	rest []byte
	end  bool // nothing is left, not even an empty value
	err  error
}

func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// next returns the next raw value.
func (f *fields) next(name string) []byte {
	if f.end {
		f.fail(fmt.Errorf("%s: %w", name, errMissing))
		return nil
	}
	i := bytes.IndexByte(f.rest, '\t')
	if i < 0 {
		v := f.rest
		f.rest, f.end = nil, true
		return v
	}
	v := f.rest[:i]
	f.rest = f.rest[i+1:]
	return v
}

// done reports the first error, or values beyond the last.
func (f *fields) done() error {
	if f.err == nil && !f.end {
		f.err = errSurplus
	}
	return f.err
}

// text returns a value that may not be empty or absent.
func (f *fields) text(name string) []byte {
	v := f.next(name)
	if len(v) == 0 || settings.Absent(v) {
		f.fail(fmt.Errorf("%s: a value is needed, not %q", name, v))
	}
	return v
}

// whole returns a whole number from lo to hi; an absent one is def, where def is in range.
func (f *fields) whole(name string, lo, hi, def int64) int64 {
	v := f.next(name)
	if settings.Absent(v) && def >= lo && def <= hi {
		return def
	}
	n, ok := settings.ParseInt(v)
	if f.err == nil && (!ok || n < lo || n > hi) {
		f.fail(fmt.Errorf("%s: %q is not a whole number from %d to %d", name, v, lo, hi))
	}
	return n
}

// number returns a number that is not below 0; an absent one is def.
func (f *fields) number(name string, def float64) float64 {
	v := f.next(name)
	if settings.Absent(v) {
		return def
	}
	n, ok := settings.ParseNumber(v)
	if f.err == nil && (!ok || n < 0) {
		f.fail(fmt.Errorf("%s: %q is not a number from 0 on", name, v))
	}
	return n
}

// time returns a time given in seconds; an absent one is 0.
func (f *fields) time(name string) dispatch.Time {
	s := f.number(name, 0)
	if s > settings.MaxSeconds {
		f.fail(fmt.Errorf("%s: %v s is out of range", name, s))
		return 0
	}
	return settings.Seconds(s)
}

func (f *fields) flag(name string) bool { return f.whole(name, 0, 1, 0) == 1 }

// appendTime writes a length of time in seconds.
func appendTime(b []byte, t dispatch.Time) []byte {
	if t < 0 {
		b = append(b, '-')
		t = -t
	}
	b = strconv.AppendInt(b, int64(t/dispatch.Second), 10)
	us := int64(t % dispatch.Second)
	if us == 0 {
		return b
	}
	b = append(b, '.')
	for scale := int64(100000); us > 0; scale /= 10 {
		b = append(b, byte('0'+us/scale))
		us %= scale
	}
	return b
}
