package credentials

import (
	"crypto/rand"
	"encoding/base64"
)

const (
	memberKeyPrefix = "wh_"
	memberKeyBytes  = 24 // of randomness
)

// NewMemberKey draws a random key for a member.
func NewMemberKey() string {
	var raw [memberKeyBytes]byte
	rand.Read(raw[:])
	return memberKeyPrefix + base64.RawURLEncoding.EncodeToString(raw[:])
}

// MemberIndex finds members by the keys that they present. It is safe for concurrent use once all digests are added.
type MemberIndex struct {
	hasher Hasher
	// byPrefix has the digests by their first bytes. The time of a look-up reveals which prefixes there are, which is of
	// no use without the secret: nobody can make a key for a prefix.
	byPrefix map[digestPart][]indexEntry
}

type digestPart [8]byte

type indexEntry struct {
	digest Digest
	member int
}

// NewMemberIndex returns an index without members.
func NewMemberIndex(s Secret) *MemberIndex {
	return &MemberIndex{s.MemberKeyHasher(), map[digestPart][]indexEntry{}}
}

// Add adds the digest of a key of a member, whom the caller names by a number.
func (x *MemberIndex) Add(d Digest, member int) {
	prefix := digestPart(d[:len(digestPart{})])
	x.byPrefix[prefix] = append(x.byPrefix[prefix], indexEntry{d, member})
}

// Find returns the member of a key. Digests of the same prefix are compared in all bytes, in constant time.
func (x *MemberIndex) Find(key string) (member int, ok bool) {
	d := x.hasher.Sum([]byte(key))
	for _, e := range x.byPrefix[digestPart(d[:len(digestPart{})])] {
		if Equal(e.digest[:], d[:]) {
			return e.member, true
		}
	}
	return 0, false
}
