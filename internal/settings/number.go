package settings

import (
	"math"
	"strconv"

	"birchfork/dispatch"
)

// MaxSeconds keeps times far from the ends of their type, so that sums of a few of them stay in it.
const MaxSeconds = 1e11

// FromSeconds turns seconds into the module's unit.
func FromSeconds(seconds float64) dispatch.Time { return dispatch.Time(math.Round(seconds * 1e6)) }

// IsAbsent tells whether a value of the wire is the mark for none.
func IsAbsent(value []byte) bool { return len(value) == 1 && value[0] == '-' }

// ParseInt reads a plain decimal whole number.
func ParseInt(text []byte) (int64, bool) {
	negative := len(text) > 0 && text[0] == '-'
	if negative {
		text = text[1:]
	}
	if len(text) == 0 || len(text) > 18 {
		return 0, false
	}
	var n int64
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		n = n*10 + int64(digit-'0')
	}
	if negative {
		n = -n
	}
	return n, true
}

var pow10 = [...]float64{1, 1e1, 1e2, 1e3, 1e4, 1e5, 1e6, 1e7, 1e8, 1e9, 1e10, 1e11, 1e12, 1e13, 1e14, 1e15}

// ParseDecimal reads a finite decimal number. Plain ones of up to 15 digits, nearly all there are, cost no allocation.
func ParseDecimal(text []byte) (float64, bool) {
	var n int64
	digits, point := 0, -1
	for i, char := range text {
		switch {
		case char >= '0' && char <= '9':
			n = n*10 + int64(char-'0')
			digits++
		case char == '.' && point < 0:
			point = i
		default:
			return parseDecimalSlow(text)
		}
		if digits > 15 {
			return parseDecimalSlow(text)
		}
	}
	if digits == 0 {
		return 0, false
	}
	if point < 0 {
		return float64(n), true
	}
	return float64(n) / pow10[len(text)-point-1], true
}

func parseDecimalSlow(text []byte) (float64, bool) {
	for _, char := range text {
		if (char < '0' || char > '9') && char != '.' && char != '-' && char != '+' && char != 'e' && char != 'E' {
			return 0, false // no hexadecimal, underscores, infinities
		}
	}
	n, err := strconv.ParseFloat(string(text), 64)
	return n, err == nil && !math.IsInf(n, 0) && !math.IsNaN(n)
}
