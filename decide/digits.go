package decide

import "strings"

// bitsPerDigit is how many bits of a number a digit holds.
const bitsPerDigit = 6

// maxDigit is the value of the greatest digit.
const maxDigit = 1<<bitsPerDigit - 1

// digits are the 64 digits of numbers in messages between gateways.
const digits = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"

// encodeDigits writes the last n digits of a number.
func encodeDigits(b *strings.Builder, v uint64, n int) {
	for i := n - 1; i >= 0; i-- {
		b.WriteByte(digits[v>>(bitsPerDigit*i)&maxDigit])
	}
}

// decodeDigits reads digits; ok is false if there is another character.
func decodeDigits(s string) (v uint64, ok bool) {
	for i := 0; i < len(s); i++ {
		d := strings.IndexByte(digits, s[i])
		if d < 0 {
			return 0, false
		}
		v = v<<bitsPerDigit | uint64(d)
	}
	return v, true
}

// The parameters of FNV-1a with 64 bits.
const (
	fnvOffsetBasis = uint64(14695981039346656037)
	fnvPrime       = uint64(1099511628211)
)

// hashKey is the key of a name: 36 bits, thus six digits, of its FNV-1a hash, so that messages stay short.
// Customers whose names have the same key share one bucket.
func hashKey(name string) uint64 {
	h := fnvOffsetBasis
	for i := 0; i < len(name); i++ {
		h = (h ^ uint64(name[i])) * fnvPrime
	}
	return (h ^ h>>36) & (1<<36 - 1)
}
