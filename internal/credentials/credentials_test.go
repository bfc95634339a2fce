package credentials

import (
	"strings"
	"testing"
)

// TestMemberIndex finds members by their keys, and none by a key that is cut, longer or written otherwise, nor by the
// first bytes of a digest alone.
func TestMemberIndex(t *testing.T) {
	s := Secret{1}
	x := NewMemberIndex(s)
	one, two := NewMemberKey(), NewMemberKey()
	x.Add(s.MemberKeyHasher().Sum([]byte(one)), 1)
	x.Add(s.MemberKeyHasher().Sum([]byte(two)), 2)
	for key, want := range map[string]int{one: 1, two: 2} {
		if m, ok := x.Find(key); !ok || m != want {
			t.Errorf("%s is member %d, %v", key, m, ok)
		}
	}
	for _, key := range []string{"", one[:len(one)-1], one + "x", strings.ToUpper(one)} {
		if _, ok := x.Find(key); ok {
			t.Errorf("%q is known", key)
		}
	}
	d := s.MemberKeyHasher().Sum([]byte(one))
	d[31] ^= 1
	other := NewMemberIndex(s)
	other.Add(d, 3)
	if _, ok := other.Find(one); ok {
		t.Error("a digest was taken by its prefix alone")
	}
}

// TestUses keeps the hashes of one use, secret or key from being valid for another.
func TestUses(t *testing.T) {
	k := []byte("x")
	if a, b := (Secret{1}).MemberKeyHasher().Sum(k), (Secret{1}).DatagramHasher().Sum(k); a == b {
		t.Error("members' keys and datagrams have one hash")
	}
	if a, b := (Secret{1}).MemberKeyHasher().Sum(k), (Secret{2}).MemberKeyHasher().Sum(k); a == b {
		t.Error("two secrets have one hash")
	}
}

// Settings hold digests, and gateways of two versions exchange datagrams: if a hash changed, no key and no peer would
// be known any more. TestStoredHashes compares hashes of each use with those of an earlier version.
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
			t.Errorf("%s: %s, stored is %s", c.use, got, c.want)
		}
	}
}

// TestDigestText reads the text of a digest, and nothing like it.
func TestDigestText(t *testing.T) {
	d := Secret{}.MemberKeyHasher().Sum(nil)
	if back, err := ParseDigest(d.String()); err != nil || back != d {
		t.Errorf("%v %v", back, err)
	}
	for _, s := range []string{"", d.String()[1:], d.String()[:70], "blake3:" + strings.Repeat("g", 64)} {
		if _, err := ParseDigest(s); err == nil {
			t.Errorf("%q was taken", s)
		}
	}
}
