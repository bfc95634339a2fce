// Package gossip sends short text messages between the gateways of a fleet in UDP datagrams. Each datagram is
// authenticated with a keyed hash that uses the fleet's secret. Messages may be lost or reordered, and each
// one is delivered at most once. Datagrams that are forged, repeated, from another fleet or beyond the
// receive rate are dropped and counted.
//
// The wire format must not change, because gateways of different versions exchange datagrams while a new
// version is rolled out.
package gossip

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/internal/credentials"
	"winghatch/internal/socket"
)

const (
	// readRetryDelay is the pause after a failed read. It keeps a persistent error from using a whole CPU
	// core.
	readRetryDelay = time.Millisecond

	// readBufferBytes is larger than any valid datagram, so that one that is too long is detected.
	readBufferBytes = 2048
)

// Options configure a Transport. All but Now are required.
type Options struct {
	// Fleet is the name of the fleet. Messages of other fleets are dropped.
	Fleet string
	// Rank is the rank of this gateway, its index in Peers.
	Rank int
	// Peers holds the addresses of all gateways, including this one, as host:port by rank.
	Peers []string
	// Secret is the fleet's secret for the keyed hash.
	Secret credentials.Secret
	// MaxMessageRate is the maximum rate of received messages from all peers together, per second.
	MaxMessageRate float64
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
}

// Counts are numbers of datagrams by how they were handled. The field names are the keys on the state page.
type Counts struct {
	Sent       int64
	Unsent     int64 // not sent: text too long, unknown receiver, or an error of the socket
	Taken      int64 // received and delivered
	Forged     int64 // dropped: malformed, or the keyed hash is wrong, as with another secret
	Foreign    int64 // dropped: from another fleet, for another gateway, or from an unknown sender
	Repeated   int64 // dropped: received before, too old, or from an earlier incarnation
	OverIntake int64 // dropped: beyond MaxMessageRate
}

// Transport exchanges messages with the peers of a gateway over one socket. Create it with New. All methods
// except Serve are safe for concurrent use; Serve may run concurrently with them.
type Transport struct {
	options   Options
	socket    net.PacketConn
	hash      credentials.Hasher
	fleet     [8]byte    // first bytes of the hash of the fleet's name
	epoch     uint64     // start of this incarnation, Unix time in nanoseconds
	peerAddrs []net.Addr // indexed by rank

	mu        sync.Mutex
	sequences []uint64 // last sequence number sent to each peer, by rank; guarded by mu

	counts [countKinds]atomic.Int64
}

// Indices of Transport.counts.
const (
	countSent = iota
	countUnsent
	countTaken
	countForged
	countForeign
	countRepeated
	countOverIntake
	countKinds // number of the indices above
)

// New returns a transport that uses and owns the bound socket. It returns an error if the address of a peer
// cannot be resolved; the caller keeps the socket in that case.
func New(socket net.PacketConn, o Options) (*Transport, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	t := &Transport{
		options:   o,
		socket:    socket,
		hash:      o.Secret.DatagramHasher(),
		epoch:     uint64(o.Now().UnixNano()),
		sequences: make([]uint64, len(o.Peers)),
	}
	sum := t.hash.Sum([]byte(o.Fleet))
	copy(t.fleet[:], sum[:])
	for rank, peer := range o.Peers {
		addr, err := net.ResolveUDPAddr("udp", peer)
		if err != nil {
			return nil, fmt.Errorf("gossip: resolving address %q of gateway %d: %w", peer, rank, err)
		}
		t.peerAddrs = append(t.peerAddrs, addr)
	}
	return t, nil
}

// Send sends a message to the peer with the given rank. It returns no error, because any datagram may be
// lost. A message that cannot be sent is counted as Unsent.
func (t *Transport) Send(to int, text string) {
	if to < 0 || to >= len(t.peerAddrs) || to == t.options.Rank || len(text) > maxTextLen {
		t.counts[countUnsent].Add(1)
		return
	}
	h := datagramHeader{
		fleet:    t.fleet,
		from:     t.options.Rank,
		to:       to,
		epoch:    t.epoch,
		sequence: t.nextSequence(to),
	}
	datagram := appendDatagram(nil, h, text, t.hash)
	if _, err := t.socket.WriteTo(datagram, t.peerAddrs[to]); err != nil {
		t.counts[countUnsent].Add(1)
		return
	}
	t.counts[countSent].Add(1)
}

// nextSequence returns the sequence number of the next datagram to a peer.
func (t *Transport) nextSequence(to int) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequences[to]++
	return t.sequences[to]
}

// Serve reads datagrams until Close is called, and calls deliver for each valid message in the calling
// goroutine. from is the rank of the sender. After any other read error, Serve continues, because an
// unreachable peer must not stop the messages of the others.
func (t *Transport) Serve(deliver func(from int, text string)) {
	filters := make([]replayFilter, len(t.peerAddrs))
	limiter := rateLimiter{rate: t.options.MaxMessageRate, updatedAt: t.options.Now()}
	buf := make([]byte, readBufferBytes)
	var busy socket.BusyLimit
	for {
		busy.PauseIfBusy()
		busy.BeginCall()
		n, _, err := t.socket.ReadFrom(buf)
		busy.EndCall()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readRetryDelay)
			continue
		}
		h, text, ok := parseDatagram(buf[:n], t.hash)
		switch {
		case !ok:
			t.counts[countForged].Add(1)
		case !t.isForThisGateway(h):
			t.counts[countForeign].Add(1)
		case !filters[h.from].accept(h.epoch, h.sequence, t.options.Now()):
			t.counts[countRepeated].Add(1)
		case !limiter.allow(t.options.Now()):
			t.counts[countOverIntake].Add(1)
		default:
			t.counts[countTaken].Add(1)
			deliver(h.from, text)
		}
	}
}

// isForThisGateway reports whether a datagram is addressed to this gateway and comes from a peer in its
// fleet.
func (t *Transport) isForThisGateway(h datagramHeader) bool {
	return h.fleet == t.fleet && h.to == t.options.Rank &&
		h.from < len(t.peerAddrs) && h.from != t.options.Rank
}

// Counts returns the current counts. They are read one after the other, not as a consistent snapshot.
func (t *Transport) Counts() Counts {
	return Counts{
		Sent:       t.counts[countSent].Load(),
		Unsent:     t.counts[countUnsent].Load(),
		Taken:      t.counts[countTaken].Load(),
		Forged:     t.counts[countForged].Load(),
		Foreign:    t.counts[countForeign].Load(),
		Repeated:   t.counts[countRepeated].Load(),
		OverIntake: t.counts[countOverIntake].Load(),
	}
}

// Close closes the socket, which makes Serve return.
func (t *Transport) Close() error { return t.socket.Close() }
