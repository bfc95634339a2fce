package gossip

import (
	"net"
	"testing"
	"time"

	"winghatch/internal/credentials"
	"winghatch/internal/testbed/await"
)

// pair returns two transports of one fleet, the messages that b receives, and b's address.
func pair(t *testing.T, maxRate float64) (a, b *Transport, got chan string, toB net.Addr) {
	t.Helper()
	var sockets []net.PacketConn
	var addrs []string
	for range 2 {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		sockets = append(sockets, socket)
		addrs = append(addrs, socket.LocalAddr().String())
	}
	o := Options{Fleet: "f", Peers: addrs, Secret: credentials.Secret{1}, MaxMessageRate: maxRate}
	a, err := New(sockets[0], o)
	if err != nil {
		t.Fatal(err)
	}
	o.Rank = 1
	if b, err = New(sockets[1], o); err != nil {
		t.Fatal(err)
	}
	got = make(chan string, 1000)
	go b.Serve(func(_ int, text string) { got <- text })
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b, got, sockets[1].LocalAddr()
}

// TestDropped sends forged, foreign and repeated datagrams beside valid ones. Only the valid ones are delivered, and
// each other one is counted by its reason.
func TestDropped(t *testing.T) {
	a, b, got, toB := pair(t, 1000)
	a.Send(1, "hello")
	if s := <-got; s != "hello" {
		t.Fatalf("got %q", s)
	}
	h := datagramHeader{fleet: a.fleet, from: 0, to: 1, epoch: a.epoch, sequence: 2}
	good := appendDatagram(nil, h, "x", a.hash)
	tampered := append([]byte(nil), good...)
	tampered[len(tampered)-40] ^= 1
	otherFleet := h
	otherFleet.fleet[0]++
	otherReceiver := h
	otherReceiver.to = 0
	earlier := h
	earlier.epoch--
	earlier.sequence = 99
	ownRank := h
	ownRank.from = 1
	datagrams := [][]byte{
		good,
		good,
		tampered,
		good[:20],
		nil,
		append(good, 'x'),
		appendDatagram(nil, otherFleet, "x", a.hash),
		appendDatagram(nil, otherReceiver, "x", a.hash),
		appendDatagram(nil, earlier, "x", a.hash),
		appendDatagram(nil, ownRank, "x", a.hash),
		appendDatagram(nil, h, "x", credentials.Secret{2}.DatagramHasher()),
	}
	for _, d := range datagrams {
		if _, err := a.socket.WriteTo(d, toB); err != nil {
			t.Fatal(err)
		}
	}
	want := Counts{Taken: 2, Forged: 5, Foreign: 3, Repeated: 2}
	await.Until(t, "all are counted", func() bool { return b.Counts() == want })
	if s := <-got; s != "x" || len(got) > 0 {
		t.Errorf("got %q and %d more", s, len(got))
	}
}

// TestIntake floods a transport: no more is delivered than its rate allows for the time that has passed.
func TestIntake(t *testing.T) {
	a, b, _, _ := pair(t, 50)
	began := time.Now()
	sent := 0
	for sent < 2000 {
		a.Send(1, "x")
		if sent++; sent%50 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	await.Until(t, "some are over the rate", func() bool { return b.Counts().OverIntake > 0 })
	if n, most := float64(b.Counts().Taken), 50+50*time.Since(began).Seconds(); n > most {
		t.Errorf("%v were delivered, %v at most", n, most)
	}
}
