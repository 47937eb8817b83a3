package settings

import (
	"math"
	"strconv"

	"birchfork/dispatch"
)

// MaxSeconds limits times and durations, in seconds, so that the sum of a few of them does not overflow.
const MaxSeconds = 1e11

const (
	// maxIntDigits is the number of decimal digits that always fit into an int64.
	maxIntDigits = 18

	// maxFloatDigits is the number of decimal digits that a float64 represents exactly.
	maxFloatDigits = 15
)

var powersOf10 = [maxFloatDigits + 1]float64{1, 1e1, 1e2, 1e3, 1e4, 1e5, 1e6, 1e7, 1e8, 1e9, 1e10, 1e11, 1e12, 1e13, 1e14, 1e15}

// FromSeconds converts seconds to a time of the decision module, rounded to the nearest microsecond.
func FromSeconds(seconds float64) dispatch.Time { return dispatch.Time(math.Round(seconds * 1e6)) }

// IsAbsent reports whether a value of the simulator's protocol is the placeholder for an unset one.
func IsAbsent(value []byte) bool { return string(value) == absent }

// ParseInt parses a plain decimal integer and reports whether it is one.
func ParseInt(text []byte) (int64, bool) {
	negative := len(text) > 0 && text[0] == '-'
	if negative {
		text = text[1:]
	}
	if len(text) == 0 || len(text) > maxIntDigits {
		return 0, false
	}
	var n int64
	for _, digit := range text {
		if !isDigit(digit) {
			return 0, false
		}
		n = n*10 + int64(digit-'0')
	}
	if negative {
		n = -n
	}
	return n, true
}

// ParseDecimal parses a finite decimal number and reports whether it is one. Plain numbers with few digits, which are by
// far the most frequent, need no allocation.
func ParseDecimal(text []byte) (float64, bool) {
	var n int64
	digits, point := 0, -1
	for i, char := range text {
		switch {
		case isDigit(char):
			n = n*10 + int64(char-'0')
			digits++
		case char == '.' && point < 0:
			point = i
		default:
			return parseDecimalSlow(text)
		}
		if digits > maxFloatDigits {
			return parseDecimalSlow(text)
		}
	}
	if digits == 0 {
		return 0, false
	}
	if point < 0 {
		return float64(n), true
	}
	decimals := len(text) - point - 1
	return float64(n) / powersOf10[decimals], true
}

// parseDecimalSlow parses numbers with a sign, an exponent or many digits. It rejects hexadecimal numbers, underscores
// and infinities.
func parseDecimalSlow(text []byte) (float64, bool) {
	for _, char := range text {
		if !isDigit(char) && !isDecimalMark(char) {
			return 0, false
		}
	}
	n, err := strconv.ParseFloat(string(text), 64)
	return n, err == nil && !math.IsInf(n, 0) && !math.IsNaN(n)
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

func isDecimalMark(char byte) bool {
	switch char {
	case '.', '-', '+', 'e', 'E':
		return true
	}
	return false
}
