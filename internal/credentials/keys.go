// Package keys holds the keyed hashes of the program: of the keys that members present, and of datagrams
// between gateways. Both stand on BLAKE3's keyed mode, under keys derived from the fleet's one secret.
package credentials

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"

	"lukechampine.com/blake3"
)

// Secret is a fleet's secret.
type Secret [32]byte

// Digest is the keyed hash of a member's key, all that settings hold of it.
type Digest [32]byte

const (
	digestPrefix = "blake3:"
	keyPrefix    = "wh_"
	keyBytes     = 24
)

// NewSecret draws a secret.
func NewSecret() (s Secret) {
	rand.Read(s[:])
	return s
}

// New draws a member's key.
func NewMemberKey() string {
	var raw [keyBytes]byte
	rand.Read(raw[:])
	return keyPrefix + base64.RawURLEncoding.EncodeToString(raw[:])
}

// String is the digest as settings write it.
func (d Digest) String() string { return digestPrefix + hex.EncodeToString(d[:]) }

// ParseDigest reads what String writes.
func ParseDigest(s string) (d Digest, err error) {
	h, ok := strings.CutPrefix(s, digestPrefix)
	raw, err := hex.DecodeString(h)
	if !ok || err != nil || len(raw) != len(d) {
		return d, fmt.Errorf("want %q and %d hexadecimal characters", digestPrefix, 2*len(d))
	}
	copy(d[:], raw)
	return d, nil
}

// derive makes the key of one use, so that a hash of one kind is never good as another.
func (s Secret) derive(use string) (k [32]byte) {
	blake3.DeriveKey(k[:], "winghatch 2026 "+use, s[:])
	return k
}

// Hasher hashes under one derived key. It is safe for concurrent use.
type Hasher struct{ key [32]byte }

// Members is the hasher of members' keys.
func (s Secret) MemberKeyHasher() Hasher { return Hasher{s.derive("member key")} }

// Peers is the hasher of peers' datagrams.
func (s Secret) DatagramHasher() Hasher { return Hasher{s.derive("peer datagram")} }

// Operators is the hasher of what operators ask of a gateway.
func (s Secret) OperatorRequestHasher() Hasher { return Hasher{s.derive("operator request")} }

// Sum is the keyed hash of data.
func (h Hasher) Sum(data []byte) (d Digest) {
	w := blake3.New(len(d), h.key[:])
	w.Write(data)
	w.Sum(d[:0])
	return d
}

// Equal compares in constant time.
func Equal(a, b []byte) bool { return subtle.ConstantTimeCompare(a, b) == 1 }

// Book finds members by the keys they present.
type MemberIndex struct {
	hasher   Hasher
	byPrefix map[[8]byte][]entry // by the front of the digest; nobody can steer it without the secret
}

type entry struct {
	digest Digest
	member int
}

// NewBook returns an empty book.
func NewMemberIndex(s Secret) *MemberIndex {
	return &MemberIndex{s.MemberKeyHasher(), map[[8]byte][]entry{}}
}

// Add enters a digest for a member, who is named by a number.
func (x *MemberIndex) Add(d Digest, member int) {
	front := [8]byte(d[:8])
	x.byPrefix[front] = append(x.byPrefix[front], entry{d, member})
}

// Find returns the member of a key; what it finds by the front it compares whole, in constant time.
func (x *MemberIndex) Find(key string) (member int, ok bool) {
	d := x.hasher.Sum([]byte(key))
	for _, e := range x.byPrefix[[8]byte(d[:8])] {
		if Equal(e.digest[:], d[:]) {
			return e.member, true
		}
	}
	return 0, false
}
