package gossip

import (
	"net"
	"testing"
	"time"

	"winghatch/internal/credentials"
	"winghatch/internal/testbed/await"
)

// newTransportPair returns two transports of one fleet, the messages that b receives, and the address of b.
// maxRate is the maximum rate of received messages per second.
func newTransportPair(t *testing.T, maxRate float64) (a, b *Transport, received chan string, addrB net.Addr) {
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
	received = make(chan string, 1000)
	go b.Serve(func(_ int, text string) { received <- text })
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b, received, sockets[1].LocalAddr()
}

// TestInvalidDatagramsAreDropped guards against the delivery of forged, foreign or repeated datagrams, which
// anyone who reaches the socket can send. Only valid datagrams are delivered, and the others are counted by
// the reason of the drop.
func TestInvalidDatagramsAreDropped(t *testing.T) {
	a, b, received, addrB := newTransportPair(t, 1000)
	a.Send(1, "hello")
	if text := <-received; text != "hello" {
		t.Fatalf("received %q, want \"hello\"", text)
	}
	h := datagramHeader{fleet: a.fleet, from: 0, to: 1, epoch: a.epoch, sequence: 2}
	valid := appendDatagram(nil, h, "x", a.hash)
	tampered := append([]byte(nil), valid...)
	tampered[len(tampered)-40] ^= 1
	otherFleet := h
	otherFleet.fleet[0]++
	otherReceiver := h
	otherReceiver.to = 0
	earlierEpoch := h
	earlierEpoch.epoch--
	earlierEpoch.sequence = 99
	ownRank := h
	ownRank.from = 1
	datagrams := [][]byte{
		valid,
		valid,
		tampered,
		valid[:20],
		nil,
		append(valid, 'x'),
		appendDatagram(nil, otherFleet, "x", a.hash),
		appendDatagram(nil, otherReceiver, "x", a.hash),
		appendDatagram(nil, earlierEpoch, "x", a.hash),
		appendDatagram(nil, ownRank, "x", a.hash),
		appendDatagram(nil, h, "x", credentials.Secret{2}.DatagramHasher()),
	}
	for _, d := range datagrams {
		if _, err := a.socket.WriteTo(d, addrB); err != nil {
			t.Fatal(err)
		}
	}
	want := Counts{Taken: 2, Forged: 5, Foreign: 3, Repeated: 2}
	await.Until(t, "all datagrams are counted", func() bool { return b.Counts() == want })
	if text := <-received; text != "x" || len(received) > 0 {
		t.Errorf("received %q and %d more messages, want only \"x\"", text, len(received))
	}
}

// TestReceiveRateIsLimited guards against a flood of messages that fills the queue of the event loop. A
// transport must not deliver more messages than its rate allows for the elapsed time.
func TestReceiveRateIsLimited(t *testing.T) {
	a, b, _, _ := newTransportPair(t, 50)
	start := time.Now()
	sent := 0
	for sent < 2000 {
		a.Send(1, "x")
		if sent++; sent%50 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	await.Until(t, "messages beyond the rate are dropped", func() bool { return b.Counts().OverIntake > 0 })
	if n, limit := float64(b.Counts().Taken), 50+50*time.Since(start).Seconds(); n > limit {
		t.Errorf("%v messages were delivered, want at most %v", n, limit)
	}
}
