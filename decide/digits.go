package decide

import "strings"

// digits are the 64 digits of numbers in messages between gateways.
const digits = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"

// encodeDigits writes the last n digits of a number.
func encodeDigits(b *strings.Builder, v uint64, n int) {
	for i := n - 1; i >= 0; i-- {
		b.WriteByte(digits[v>>(6*i)&63])
	}
}

// decodeDigits reads digits; ok is false if there is another character.
func decodeDigits(s string) (v uint64, ok bool) {
	for i := 0; i < len(s); i++ {
		d := strings.IndexByte(digits, s[i])
		if d < 0 {
			return 0, false
		}
		v = v<<6 | uint64(d)
	}
	return v, true
}

// hashKey stands for a name in messages: 36 bits, thus six digits, of its FNV-1a hash.
func hashKey(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(name); i++ {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return (h ^ h>>36) & (1<<36 - 1)
}
