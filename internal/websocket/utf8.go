package websocket

import "unicode/utf8"

// utf8Validator validates UTF-8 text that arrives in parts. A character may be split between parts. An
// invalid byte is detected in the part that contains it.
type utf8Validator struct {
	partial    [utf8.UTFMax]byte // first bytes of a character that is not complete yet
	partialLen int               // number of bytes in partial
}

// feed validates the next part of the text. It returns false if the text is invalid.
func (u *utf8Validator) feed(p []byte) bool {
	for u.partialLen > 0 && len(p) > 0 {
		u.partial[u.partialLen] = p[0]
		u.partialLen++
		p = p[1:]
		if utf8.FullRune(u.partial[:u.partialLen]) {
			if char, size := utf8.DecodeRune(u.partial[:u.partialLen]); char == utf8.RuneError && size <= 1 {
				return false
			}
			u.partialLen = 0
		}
	}
	for len(p) > 0 {
		if p[0] < utf8.RuneSelf {
			p = p[1:]
			continue
		}
		if !utf8.FullRune(p) {
			u.partialLen = copy(u.partial[:], p)
			return true
		}
		char, size := utf8.DecodeRune(p)
		if char == utf8.RuneError && size <= 1 {
			return false
		}
		p = p[size:]
	}
	return true
}

// complete reports whether the last part ended at a character boundary.
func (u *utf8Validator) complete() bool { return u.partialLen == 0 }
