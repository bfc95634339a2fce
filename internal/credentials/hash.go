// Package credentials implements the keyed hashes that authenticate members, datagrams between gateways and
// operator requests. All hashes use the keyed mode of BLAKE3, with keys that are derived from the one secret
// of the fleet.
package credentials

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"

	"lukechampine.com/blake3"
)

// Secret is the secret that all gateways of a fleet share.
type Secret [32]byte

// NewSecret returns a random secret.
func NewSecret() (s Secret) {
	rand.Read(s[:])
	return s
}

// Contexts of the key derivation. They must not change, because every hash depends on them: the settings
// contain digests of member keys, and running gateways verify each other's datagrams.
const (
	derivationPrefix       = "winghatch 2026 "
	memberKeyContext       = "member key"
	datagramContext        = "peer datagram"
	operatorRequestContext = "operator request"
)

// derive returns the key for the use that context names. Each use has its own key, so a hash that was made
// for one use is not valid for another.
func (s Secret) derive(context string) (key [32]byte) {
	blake3.DeriveKey(key[:], derivationPrefix+context, s[:])
	return key
}

// Hasher computes keyed hashes with one derived key. It is safe for concurrent use.
type Hasher struct{ key [32]byte }

// MemberKeyHasher returns the Hasher for the keys that members present.
func (s Secret) MemberKeyHasher() Hasher { return Hasher{s.derive(memberKeyContext)} }

// DatagramHasher returns the Hasher for datagrams between gateways.
func (s Secret) DatagramHasher() Hasher { return Hasher{s.derive(datagramContext)} }

// OperatorRequestHasher returns the Hasher for operator requests to a gateway.
func (s Secret) OperatorRequestHasher() Hasher { return Hasher{s.derive(operatorRequestContext)} }

// Sum returns the keyed hash of data.
func (h Hasher) Sum(data []byte) (d Digest) {
	w := blake3.New(len(d), h.key[:])
	w.Write(data)
	w.Sum(d[:0])
	return d
}

// Equal reports whether two hashes are equal. It takes constant time for hashes of the same length, so the
// time reveals nothing about their content.
func Equal(a, b []byte) bool { return subtle.ConstantTimeCompare(a, b) == 1 }

// Digest is a keyed hash. The settings contain the digests of member keys, but not the keys.
type Digest [32]byte

const digestPrefix = "blake3:"

// String returns the digest in the form that settings use: "blake3:" and the hexadecimal digits.
func (d Digest) String() string { return digestPrefix + hex.EncodeToString(d[:]) }

// ParseDigest parses a digest in the form that String returns; the hexadecimal digits may also be in upper
// case. It returns an error for any other text.
func ParseDigest(s string) (d Digest, err error) {
	digits, ok := strings.CutPrefix(s, digestPrefix)
	raw, err := hex.DecodeString(digits)
	if !ok || err != nil || len(raw) != len(d) {
		return Digest{}, fmt.Errorf("want %q and %d hexadecimal characters", digestPrefix, 2*len(d))
	}
	copy(d[:], raw)
	return d, nil
}
