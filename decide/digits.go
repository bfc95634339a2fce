package decide

import "strings"

// bitsPerDigit is the number of bits that a digit encodes.
const bitsPerDigit = 6

// maxDigit is the largest value of a digit.
const maxDigit = 1<<bitsPerDigit - 1

// digits are the 64 digits with which gateways encode numbers in messages.
const digits = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"

// encodeDigits writes the n least significant digits of v, the most significant one first.
func encodeDigits(b *strings.Builder, v uint64, n int) {
	for i := n - 1; i >= 0; i-- {
		b.WriteByte(digits[v>>(bitsPerDigit*i)&maxDigit])
	}
}

// decodeDigits decodes a string of digits. ok is false if the string contains any other character.
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

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffsetBasis = uint64(14695981039346656037)
	fnvPrime       = uint64(1099511628211)
)

// hashKey returns the key of a name: its 64-bit FNV-1a hash folded to 36 bits, which fit into six digits
// and keep messages short. Customers whose names have the same key share one bucket.
func hashKey(name string) uint64 {
	h := fnvOffsetBasis
	for i := 0; i < len(name); i++ {
		h = (h ^ uint64(name[i])) * fnvPrime
	}
	return (h ^ h>>36) & (1<<36 - 1)
}
