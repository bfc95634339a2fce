package credentials

import (
	"crypto/rand"
	"encoding/base64"
)

const (
	memberKeyPrefix      = "wh_"
	memberKeyRandomBytes = 24
)

// NewMemberKey returns a random key for a member.
func NewMemberKey() string {
	var raw [memberKeyRandomBytes]byte
	rand.Read(raw[:])
	return memberKeyPrefix + base64.RawURLEncoding.EncodeToString(raw[:])
}

// MemberIndex finds members by the keys that they present. It is safe for concurrent use after the last call
// of Add.
type MemberIndex struct {
	hasher Hasher
	// byPrefix groups the digests by their first bytes. The time of a lookup may reveal which prefixes exist.
	// An attacker cannot use that without the secret, which is needed to find a key whose digest has a given
	// prefix.
	byPrefix map[indexKey][]indexEntry
}

// indexKey is the prefix of a digest by which the index groups digests.
type indexKey [8]byte

type indexEntry struct {
	digest Digest
	member int
}

// NewMemberIndex returns an empty index for a fleet with the given secret.
func NewMemberIndex(s Secret) *MemberIndex {
	return &MemberIndex{s.MemberKeyHasher(), map[indexKey][]indexEntry{}}
}

// Add adds the digest of one of a member's keys. member is a number that the caller chooses for the member;
// Find returns it.
func (x *MemberIndex) Add(d Digest, member int) {
	prefix := indexKey(d[:len(indexKey{})])
	x.byPrefix[prefix] = append(x.byPrefix[prefix], indexEntry{d, member})
}

// Find returns the member to which a key belongs. ok is false if the key is unknown. It compares whole
// digests, in constant time, because digests may share a prefix.
func (x *MemberIndex) Find(key string) (member int, ok bool) {
	d := x.hasher.Sum([]byte(key))
	for _, e := range x.byPrefix[indexKey(d[:len(indexKey{})])] {
		if Equal(e.digest[:], d[:]) {
			return e.member, true
		}
	}
	return 0, false
}
