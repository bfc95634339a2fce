package kdl

import (
	"fmt"
	"math"
	"math/big"
	"strconv"
	"strings"
)

// parseNumber parses a number (specification section 3.14). ok is false if word does not start like a number;
// err is not nil if it does and is malformed.
func parseNumber(word string) (v float64, ok bool, err error) {
	body := strings.TrimLeft(word, "+-")
	signs := len(word) - len(body)
	if signs <= 1 && len(body) > 1 && body[0] == '.' && isDigit(body[1]) {
		return 0, true, fmt.Errorf("number %q has no digit before its decimal point", word)
	}
	if signs > 1 || body == "" || !isDigit(body[0]) {
		return 0, false, nil
	}
	if len(body) > 2 && body[0] == '0' && strings.IndexByte("xob", body[1]) >= 0 {
		v, ok = parsePrefixedInteger(body)
	} else {
		v, ok = parseDecimal(body)
	}
	if !ok {
		return 0, true, fmt.Errorf("number %q is malformed", word)
	}
	if word[0] == '-' {
		v = -v
	}
	return v, true, nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// parsePrefixedInteger parses an integer with one of the prefixes 0x, 0o and 0b. ok is false if it is
// malformed.
func parsePrefixedInteger(body string) (v float64, ok bool) {
	base := map[byte]int{'x': 16, 'o': 8, 'b': 2}[body[1]]
	digits := strings.ReplaceAll(body, "_", "")[2:]
	n, ok := new(big.Int).SetString(digits, base)
	if !ok || body[2] == '_' || strings.ContainsAny(digits, "+-") {
		return 0, false
	}
	v, _ = new(big.Float).SetInt(n).Float64()
	return v, true
}

// parseDecimal parses a decimal number. A number that is too large for a float64 becomes infinite. ok is
// false if the number is malformed.
func parseDecimal(body string) (v float64, ok bool) {
	const maxParts = 3 // integer, fraction and exponent
	isSeparator := func(c rune) bool { return strings.ContainsRune(".eE+-", c) }
	for i, part := range strings.FieldsFunc(body, isSeparator) {
		if part[0] == '_' || i >= maxParts {
			return 0, false
		}
	}
	digits := strings.ReplaceAll(body, "_", "")
	if strings.ContainsAny(digits, "xXpPnNiI") || strings.Contains(digits, ".e") ||
		strings.Contains(digits, ".E") || strings.HasSuffix(digits, ".") {
		return 0, false
	}
	v, err := strconv.ParseFloat(digits, 64)
	if err != nil && !math.IsInf(v, 0) {
		return 0, false
	}
	return v, true
}
