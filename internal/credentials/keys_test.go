package credentials

import (
	"strings"
	"testing"
)

func TestBook(t *testing.T) {
	s := Secret{1}
	b := NewMemberIndex(s)
	one, two := NewMemberKey(), NewMemberKey()
	b.Add(s.MemberKeyHasher().Sum([]byte(one)), 1)
	b.Add(s.MemberKeyHasher().Sum([]byte(two)), 2)
	for key, want := range map[string]int{one: 1, two: 2} {
		if m, ok := b.Find(key); !ok || m != want {
			t.Errorf("%s is member %d, %v", key, m, ok)
		}
	}
	for _, key := range []string{"", one[:len(one)-1], one + "x", strings.ToUpper(one)} {
		if _, ok := b.Find(key); ok {
			t.Errorf("%q is known", key)
		}
	}
	// A digest whose front is the same is still another one.
	d := s.MemberKeyHasher().Sum([]byte(one))
	d[31] ^= 1
	c := NewMemberIndex(s)
	c.Add(d, 3)
	if _, ok := c.Find(one); ok {
		t.Error("a digest was taken by its front alone")
	}
}

// TestUses keeps the hashes of one use, secret or key from being good for another.
func TestUses(t *testing.T) {
	k := []byte("x")
	if a, b := (Secret{1}).MemberKeyHasher().Sum(k), (Secret{1}).DatagramHasher().Sum(k); a == b {
		t.Error("members' keys and datagrams have one hash")
	}
	if a, b := (Secret{1}).MemberKeyHasher().Sum(k), (Secret{2}).MemberKeyHasher().Sum(k); a == b {
		t.Error("two secrets have one hash")
	}
}

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
