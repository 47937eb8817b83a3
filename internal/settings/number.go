package settings

import (
	"math"
	"strconv"

	"birchfork/dispatch"
)

// MaxSeconds keeps times far from the ends of their type, so that sums of a few of them stay in it.
const MaxSeconds = 1e11

// Seconds turns seconds into the module's unit.
func Seconds(s float64) dispatch.Time { return dispatch.Time(math.Round(s * 1e6)) }

// Absent tells whether a value of the wire is the mark for none.
func Absent(v []byte) bool { return len(v) == 1 && v[0] == '-' }

// ParseInt reads a plain decimal whole number.
func ParseInt(v []byte) (int64, bool) {
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

// ParseNumber reads a finite decimal number. Plain ones of up to 15 digits, nearly all there are, cost no allocation.
func ParseNumber(v []byte) (float64, bool) {
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
