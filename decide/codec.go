package decide

import (
	"strings"
)

const digits = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"

func encodeDigits(b *strings.Builder, v uint64, n int) {
	for i := n - 1; i >= 0; i-- {
		b.WriteByte(digits[v>>(6*i)&63])
	}
}

// decode reads digits; ok is false if there are others.
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

// shortKey names a customer in messages: 36 bits of an FNV-1a hash.
func hashKey(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return (h ^ h>>36) & (1<<36 - 1)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
