package gossip

import (
	"net"
	"testing"
	"time"

	"winghatch/internal/credentials"

	"winghatch/internal/testbed/await"
)

func pair(t *testing.T, intake float64) (a, b *Transport, got chan string, aAddr, bAddr net.Addr) {
	t.Helper()
	var pcs []net.PacketConn
	var addrs []string
	for range 2 {
		pc, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		pcs, addrs = append(pcs, pc), append(addrs, pc.LocalAddr().String())
	}
	o := Options{Fleet: "f", Peers: addrs, Secret: credentials.Secret{1}, MaxMessageRate: intake}
	a, err := New(pcs[0], o)
	if err != nil {
		t.Fatal(err)
	}
	o.Rank = 1
	if b, err = New(pcs[1], o); err != nil {
		t.Fatal(err)
	}
	got = make(chan string, 1000)
	go b.Serve(func(from int, text string) { got <- text })
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b, got, pcs[0].LocalAddr(), pcs[1].LocalAddr()
}

var eventually = await.Until

// TestDropped sends what may not be taken beside what may, and counts.
func TestDropped(t *testing.T) {
	a, b, got, _, to := pair(t, 1000)
	a.Send(1, "hello")
	if s := <-got; s != "hello" {
		t.Fatalf("got %q", s)
	}
	h := datagramHeader{a.fleet, 0, 1, a.epoch, 2}
	good := appendDatagram(nil, h, "x", a.hash)
	bad := append([]byte(nil), good...)
	bad[len(bad)-40] ^= 1
	foreign := h
	foreign.fleet[0]++
	other := h
	other.to = 0
	old := h
	old.epoch--
	old.sequence = 99
	self := h
	self.from = 1
	sends := [][]byte{good, good, bad, good[:20], nil, append(good, 'x'), appendDatagram(nil, foreign, "x", a.hash),
		appendDatagram(nil, other, "x", a.hash), appendDatagram(nil, old, "x", a.hash), appendDatagram(nil, self, "x", a.hash),
		appendDatagram(nil, h, "x", credentials.Secret{2}.DatagramHasher())}
	for _, s := range sends {
		if _, err := a.socket.WriteTo(s, to); err != nil {
			t.Fatal(err)
		}
	}
	want := Counts{Taken: 2, Forged: 5, Foreign: 3, Repeated: 2}
	eventually(t, "all are counted", func() bool { return b.Counts() == want })
	if s := <-got; s != "x" || len(got) > 0 {
		t.Errorf("got %q and %d more", s, len(got))
	}
}

// TestIntake floods a link: what is taken stays within the intake of the time that passed.
func TestIntake(t *testing.T) {
	a, b, _, _, _ := pair(t, 50)
	began := time.Now()
	sent := 0
	for sent < 2000 {
		a.Send(1, "x")
		if sent++; sent%50 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	eventually(t, "some are over the intake", func() bool { return b.Counts().OverIntake > 0 })
	if n, most := float64(b.Counts().Taken), 50+50*time.Since(began).Seconds(); n > most {
		t.Errorf("%v were taken, %v at most", n, most)
	}
}

// Repeats and what comes of an earlier life are not taken, but for a life that a sender began behind a step back of its wall
// clock: that one is known once the other has been silent for a while, and neither's repeats are taken then.
func TestWindow(t *testing.T) {
	var w sender
	began := time.Now()
	for i, c := range []struct {
		epoch, seq uint64
		after      time.Duration
		fresh      bool
	}{{5, 1, 0, true}, {5, 1, 0, false}, {5, 3, 0, true}, {5, 2, 0, true}, {5, 2, 0, false}, {5, 100, 0, true}, {5, 3, 0, false}, {5, 37, 0, true},
		{5, 36, 0, false}, {4, 101, 0, false}, {6, 1, 0, true}, {5, 101, 0, false}, {5, 101, incarnationTimeout - 1, false},
		{3, 1, incarnationTimeout, true}, {3, 1, incarnationTimeout, false}, {6, 1, incarnationTimeout, false}, {3, 2, incarnationTimeout, true}, {5, 100, 2 * incarnationTimeout, false},
		{6, 2, 2 * incarnationTimeout, true}, {3, 3, 2 * incarnationTimeout, false}} {
		if w.accept(c.epoch, c.seq, began.Add(c.after)) != c.fresh {
			t.Errorf("step %d: %+v", i, c)
		}
	}
	for epoch := uint64(10); epoch < 100; epoch++ {
		w.accept(epoch, 1, began)
	}
	if len(w.incarnations) != maxIncarnations {
		t.Errorf("%d lives are kept, want %d", len(w.incarnations), maxIncarnations)
	}
}

func FuzzDatagram(f *testing.F) {
	hash := credentials.Secret{1}.DatagramHasher()
	f.Add(appendDatagram(nil, datagramHeader{from: 1, to: 2, epoch: 3, sequence: 4}, "hi", hash))
	f.Fuzz(func(t *testing.T, in []byte) {
		if h, text, ok := parseDatagram(in, hash); ok {
			if out := appendDatagram(nil, h, text, hash); string(out) != string(in) {
				t.Fatalf("%x is read as %+v %q", in, h, text)
			}
		}
	})
}
