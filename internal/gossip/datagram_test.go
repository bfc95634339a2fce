package gossip

import (
	"testing"

	"winghatch/internal/credentials"
)

// FuzzDatagram guards against datagrams that are accepted although they are malformed: a datagram that is
// accepted must be encoded to the same bytes again.
func FuzzDatagram(f *testing.F) {
	hash := credentials.Secret{1}.DatagramHasher()
	f.Add(appendDatagram(nil, datagramHeader{from: 1, to: 2, epoch: 3, sequence: 4}, "hi", hash))
	f.Fuzz(func(t *testing.T, in []byte) {
		if h, text, ok := parseDatagram(in, hash); ok {
			if out := appendDatagram(nil, h, text, hash); string(out) != string(in) {
				t.Fatalf("%x was parsed as header %+v and text %q, which have another encoding", in, h, text)
			}
		}
	})
}
