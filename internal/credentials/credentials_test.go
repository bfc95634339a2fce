package credentials

import (
	"strings"
	"testing"
)

// A key that is not exactly the key of a member must not authenticate as that member. The test presents
// truncated, extended and upper-case keys, and a key whose digest shares only its prefix with a known digest.
func TestMemberIndexMatchesWholeKeys(t *testing.T) {
	s := Secret{1}
	x := NewMemberIndex(s)
	firstKey, secondKey := NewMemberKey(), NewMemberKey()
	x.Add(s.MemberKeyHasher().Sum([]byte(firstKey)), 1)
	x.Add(s.MemberKeyHasher().Sum([]byte(secondKey)), 2)
	for key, want := range map[string]int{firstKey: 1, secondKey: 2} {
		if m, ok := x.Find(key); !ok || m != want {
			t.Errorf("key %s: got member %d, %t", key, m, ok)
		}
	}
	for _, key := range []string{"", firstKey[:len(firstKey)-1], firstKey + "x", strings.ToUpper(firstKey)} {
		if _, ok := x.Find(key); ok {
			t.Errorf("key %q was accepted", key)
		}
	}
	d := s.MemberKeyHasher().Sum([]byte(firstKey))
	d[31] ^= 1
	other := NewMemberIndex(s)
	other.Add(d, 3)
	if _, ok := other.Find(firstKey); ok {
		t.Error("a digest was accepted that matches only in its prefix")
	}
}

// If a hash made for one use were valid for another, the digest of a member key in the settings could
// authenticate a forged datagram. If a hash did not depend on the secret, members of one fleet could
// authenticate in another.
func TestHashesDependOnUseAndSecret(t *testing.T) {
	k := []byte("x")
	if a, b := (Secret{1}).MemberKeyHasher().Sum(k), (Secret{1}).DatagramHasher().Sum(k); a == b {
		t.Error("the hashes of member keys and datagrams are equal")
	}
	if a, b := (Secret{1}).MemberKeyHasher().Sum(k), (Secret{2}).MemberKeyHasher().Sum(k); a == b {
		t.Error("the hashes under two secrets are equal")
	}
}

// Settings contain digests, and gateways of different versions exchange datagrams. If a hash changed between
// versions, no member key and no datagram of a peer would be accepted any more. The test compares hashes of
// each use with those of an earlier version.
func TestStoredHashes(t *testing.T) {
	s := Secret{1, 2, 3}
	for _, c := range []struct {
		use    string
		hasher Hasher
		want   string
	}{
		{"member key", s.MemberKeyHasher(),
			"blake3:9a2a7714b6f1f35e878b1d5ae7dcd6686de901d2f3f603bc19d900e27699f25a"},
		{"datagram", s.DatagramHasher(),
			"blake3:62c823ee1405ede755b252436b6b0aecc654f9d13b304efc3d6c1a90c5165daa"},
		{"operator request", s.OperatorRequestHasher(),
			"blake3:7573bc2e857a479cfe6b79101d6e709b16cfe7584271003df7499287eba0546c"},
	} {
		if got := c.hasher.Sum([]byte("wh_key")).String(); got != c.want {
			t.Errorf("%s: got %s, want the stored %s", c.use, got, c.want)
		}
	}
}

// A truncated or malformed digest in the settings must be rejected. If it were accepted, the member's key
// would never match. The text of a valid digest must parse to the same digest.
func TestParseDigestRejectsMalformedText(t *testing.T) {
	d := Secret{}.MemberKeyHasher().Sum(nil)
	if back, err := ParseDigest(d.String()); err != nil || back != d {
		t.Errorf("got digest %v, error %v", back, err)
	}
	for _, s := range []string{"", d.String()[1:], d.String()[:70], "blake3:" + strings.Repeat("g", 64)} {
		if _, err := ParseDigest(s); err == nil {
			t.Errorf("%q was accepted", s)
		}
	}
}
