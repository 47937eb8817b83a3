package simwire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"

	"birchfork/rules"
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
	if len(v) == 0 || absent(v) {
		f.fail(fmt.Errorf("%s: a value is needed, not %q", name, v))
	}
	return v
}

// whole returns a whole number from lo to hi; an absent one is def, where def is in range.
func (f *fields) whole(name string, lo, hi, def int64) int64 {
	v := f.next(name)
	if absent(v) && def >= lo && def <= hi {
		return def
	}
	n, ok := parseInt(v)
	if f.err == nil && (!ok || n < lo || n > hi) {
		f.fail(fmt.Errorf("%s: %q is not a whole number from %d to %d", name, v, lo, hi))
	}
	return n
}

// number returns a number that is not below 0; an absent one is def.
func (f *fields) number(name string, def float64) float64 {
	v := f.next(name)
	if absent(v) {
		return def
	}
	n, ok := parseNumber(v)
	if f.err == nil && (!ok || n < 0) {
		f.fail(fmt.Errorf("%s: %q is not a number from 0 on", name, v))
	}
	return n
}

// time returns a time given in seconds; an absent one is 0.
func (f *fields) time(name string) rules.Time {
	s := f.number(name, 0)
	if s > maxSeconds {
		f.fail(fmt.Errorf("%s: %v s is out of range", name, s))
		return 0
	}
	return seconds(s)
}

func (f *fields) flag(name string) bool { return f.whole(name, 0, 1, 0) == 1 }

// maxSeconds keeps times far from the ends of their type, so that sums of a few of them stay in it.
const maxSeconds = 1e11

func seconds(s float64) rules.Time { return rules.Time(math.Round(s * 1e6)) }

func absent(v []byte) bool { return len(v) == 1 && v[0] == '-' }

// parseInt reads a plain decimal whole number.
func parseInt(v []byte) (int64, bool) {
	neg := len(v) > 0 && v[0] == '-'
	if neg {
		v = v[1:]
	}
	if len(v) == 0 || len(v) > 18 {
		return 0, false
	}
	var n int64
	for _, c := range v {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	if neg {
		n = -n
	}
	return n, true
}

var pow10 = [...]float64{1, 1e1, 1e2, 1e3, 1e4, 1e5, 1e6, 1e7, 1e8, 1e9, 1e10, 1e11, 1e12, 1e13, 1e14, 1e15}

// parseNumber reads a finite decimal number. Plain ones of up to 15 digits, nearly all there are, cost no allocation.
func parseNumber(v []byte) (float64, bool) {
	var n int64
	digits, point := 0, -1
	for i, c := range v {
		switch {
		case c >= '0' && c <= '9':
			n = n*10 + int64(c-'0')
			digits++
		case c == '.' && point < 0:
			point = i
		default:
			return parseOdd(v)
		}
		if digits > 15 {
			return parseOdd(v)
		}
	}
	if digits == 0 {
		return 0, false
	}
	if point < 0 {
		return float64(n), true
	}
	return float64(n) / pow10[len(v)-point-1], true
}

func parseOdd(v []byte) (float64, bool) {
	for _, c := range v {
		if (c < '0' || c > '9') && c != '.' && c != '-' && c != '+' && c != 'e' && c != 'E' {
			return 0, false // no hexadecimal, underscores, infinities
		}
	}
	n, err := strconv.ParseFloat(string(v), 64)
	return n, err == nil && !math.IsInf(n, 0) && !math.IsNaN(n)
}

// appendTime writes a length of time in seconds.
func appendTime(b []byte, t rules.Time) []byte {
	if t < 0 {
		b = append(b, '-')
		t = -t
	}
	b = strconv.AppendInt(b, int64(t/rules.Second), 10)
	us := int64(t % rules.Second)
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
