// Package gossip carries short text messages between the gateways of a fleet in UDP datagrams. Each datagram is
// authenticated by a keyed hash with the fleet's secret. A message may be lost or overtaken by later ones; it is
// delivered at most once. Datagrams that are forged, repeated, of another fleet or beyond the receive rate are dropped
// and counted.
//
// The wire format must not change: gateways of two versions exchange datagrams while a new version is rolled out.
package gossip

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/internal/credentials"
)

const (
	// readRetryDelay is the delay after a read that failed; it keeps a lasting error from taking all of a core.
	readRetryDelay = time.Millisecond

	// readBufferBytes is more than any valid datagram, so that a longer one is seen as such.
	readBufferBytes = 2048
)

// Options of a transport. All but Now are required.
type Options struct {
	Fleet          string   // name; messages of other fleets are dropped
	Rank           int      // of this gateway
	Peers          []string // host:port by rank
	Secret         credentials.Secret
	MaxMessageRate float64          // messages a second that are accepted, from all peers together
	Now            func() time.Time // nil: time.Now
}

// Counts are datagrams by what became of them. The names are the keys of the state page.
type Counts struct {
	Sent       int64
	Unsent     int64 // the text is too long, the receiver unknown, or the socket refused it
	Taken      int64 // received and passed on
	Forged     int64 // malformed, or the hash is wrong, as with another secret
	Foreign    int64 // of another fleet, for another gateway, or of an unknown sender
	Repeated   int64 // received before, too old, or of an earlier incarnation
	OverIntake int64 // beyond MaxMessageRate
}

// Transport is a gateway's socket to its peers. Send is safe for concurrent use.
type Transport struct {
	options   Options
	socket    net.PacketConn
	hash      credentials.Hasher
	fleet     [8]byte
	epoch     uint64     // start of this incarnation, Unix time in nanoseconds
	peerAddrs []net.Addr // by rank

	mu        sync.Mutex
	sequences []uint64 // the last one sent to each peer

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
	countKinds
)

// New returns a transport on a bound socket, which it owns from then on. It fails if a peer's address can't be
// resolved.
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
			return nil, fmt.Errorf("address %q of gateway %d: %w", peer, rank, err)
		}
		t.peerAddrs = append(t.peerAddrs, addr)
	}
	return t, nil
}

// Send sends one message to the peer of a rank. It returns no error, as any datagram may be lost: a message that is not
// sent is counted as Unsent.
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

func (t *Transport) nextSequence(to int) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequences[to]++
	return t.sequences[to]
}

// Serve reads datagrams until Close and calls deliver for each valid message, in the calling goroutine. A read that
// fails otherwise is repeated: an unreachable peer must not stop messages of the others.
func (t *Transport) Serve(deliver func(from int, text string)) {
	senders := make([]sender, len(t.peerAddrs))
	limiter := rateLimiter{rate: t.options.MaxMessageRate, updatedAt: t.options.Now()}
	buf := make([]byte, readBufferBytes)
	for {
		n, _, err := t.socket.ReadFrom(buf)
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
		case !t.isForThis(h):
			t.counts[countForeign].Add(1)
		case !senders[h.from].accept(h.epoch, h.sequence, t.options.Now()):
			t.counts[countRepeated].Add(1)
		case !limiter.allow(t.options.Now()):
			t.counts[countOverIntake].Add(1)
		default:
			t.counts[countTaken].Add(1)
			deliver(h.from, text)
		}
	}
}

// isForThis reports whether a datagram comes from a peer of this fleet and is for this gateway.
func (t *Transport) isForThis(h datagramHeader) bool {
	return h.fleet == t.fleet && h.to == t.options.Rank && h.from < len(t.peerAddrs) && h.from != t.options.Rank
}

// Counts returns the counters.
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

// Close closes the socket, which ends Serve.
func (t *Transport) Close() error { return t.socket.Close() }
