// Package credentials has the keyed hashes of the program: of the keys that members present, of datagrams between
// gateways, and of operators' requests. All use BLAKE3's keyed mode, under keys derived from the fleet's one secret.
package credentials

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"

	"lukechampine.com/blake3"
)

// Secret is a fleet's secret.
type Secret [32]byte

// NewSecret draws a random secret.
func NewSecret() (s Secret) {
	rand.Read(s[:])
	return s
}

// Contexts of key derivation. They are part of every hash: settings and running gateways have them.
const (
	derivationPrefix       = "winghatch 2026 "
	memberKeyContext       = "member key"
	datagramContext        = "peer datagram"
	operatorRequestContext = "operator request"
)

// derive returns the key of one use. A hash of one use is never valid in another.
func (s Secret) derive(context string) (key [32]byte) {
	blake3.DeriveKey(key[:], derivationPrefix+context, s[:])
	return key
}

// Hasher hashes under one derived key. It is safe for concurrent use.
type Hasher struct{ key [32]byte }

// MemberKeyHasher hashes the keys of members.
func (s Secret) MemberKeyHasher() Hasher { return Hasher{s.derive(memberKeyContext)} }

// DatagramHasher hashes datagrams between gateways.
func (s Secret) DatagramHasher() Hasher { return Hasher{s.derive(datagramContext)} }

// OperatorRequestHasher hashes operators' requests to a gateway.
func (s Secret) OperatorRequestHasher() Hasher { return Hasher{s.derive(operatorRequestContext)} }

// Sum is the keyed hash of data.
func (h Hasher) Sum(data []byte) (d Digest) {
	w := blake3.New(len(d), h.key[:])
	w.Write(data)
	w.Sum(d[:0])
	return d
}

// Equal compares two hashes in constant time, so that the time reveals nothing of them.
func Equal(a, b []byte) bool { return subtle.ConstantTimeCompare(a, b) == 1 }

// Digest is a keyed hash. Of a member's key it is all that the settings hold.
type Digest [32]byte

const digestPrefix = "blake3:"

// String is the digest as settings write it.
func (d Digest) String() string { return digestPrefix + hex.EncodeToString(d[:]) }

// ParseDigest reads what String writes.
func ParseDigest(s string) (d Digest, err error) {
	digits, ok := strings.CutPrefix(s, digestPrefix)
	raw, err := hex.DecodeString(digits)
	if !ok || err != nil || len(raw) != len(d) {
		return Digest{}, fmt.Errorf("want %q and %d hexadecimal characters", digestPrefix, 2*len(d))
	}
	copy(d[:], raw)
	return d, nil
}
