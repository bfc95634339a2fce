package gossip

import (
	"testing"

	"winghatch/internal/credentials"
)

// FuzzDatagram: whatever is accepted is encoded to the same bytes again.
func FuzzDatagram(f *testing.F) {
	hash := credentials.Secret{1}.DatagramHasher()
	f.Add(appendDatagram(nil, datagramHeader{from: 1, to: 2, epoch: 3, sequence: 4}, "hi", hash))
	f.Fuzz(func(t *testing.T, in []byte) {
		if h, text, ok := parseDatagram(in, hash); ok {
			if out := appendDatagram(nil, h, text, hash); string(out) != string(in) {
				t.Fatalf("%x is parsed as %+v %q", in, h, text)
			}
		}
	})
}
