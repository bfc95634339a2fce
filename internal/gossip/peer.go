// Package peer carries short messages between gateways in datagrams. Each is a header, the text and a keyed
// hash over both; what is forged, repeated, foreign or beyond the intake is dropped and counted.
//
// A datagram: "WHP1", fleet of 8 bytes, from and to of 2 bytes each, epoch and number of 8 bytes each, text,
// keyed hash of 32 bytes; numbers are big-endian. The epoch is when the sender's life began, in
// nanoseconds of Unix time; the number counts its datagrams to that receiver.
package gossip

import (
	"bytes"
	"encoding/binary"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/internal/credentials"
)

const (
	magic      = "WHP1"
	headerLen  = 4 + 8 + 2 + 2 + 8 + 8
	hashLen    = 32
	maxTextLen = 1200 // a datagram stays under 1,500 bytes
)

// head is what a datagram says beside its text.
type datagramHeader struct {
	fleet    [8]byte
	from, to int
	epoch    uint64
	sequence uint64
}

func appendDatagram(dst []byte, h datagramHeader, text string, hash credentials.Hasher) []byte {
	from := len(dst)
	dst = append(append(dst, magic...), h.fleet[:]...)
	dst = binary.BigEndian.AppendUint16(dst, uint16(h.from))
	dst = binary.BigEndian.AppendUint16(dst, uint16(h.to))
	dst = binary.BigEndian.AppendUint64(dst, h.epoch)
	dst = binary.BigEndian.AppendUint64(dst, h.sequence)
	dst = append(dst, text...)
	sum := hash.Sum(dst[from:])
	return append(dst, sum[:]...)
}

// parse checks form and hash. The hash covers the header too, so nothing of it can be changed.
func parseDatagram(b []byte, hash credentials.Hasher) (h datagramHeader, text string, ok bool) {
	if len(b) < headerLen+hashLen || len(b) > headerLen+maxTextLen+hashLen || !bytes.HasPrefix(b, []byte(magic)) {
		return h, "", false
	}
	body := b[:len(b)-hashLen]
	if sum := hash.Sum(body); !credentials.Equal(sum[:], b[len(body):]) {
		return h, "", false
	}
	copy(h.fleet[:], body[4:])
	h.from = int(binary.BigEndian.Uint16(body[12:]))
	h.to = int(binary.BigEndian.Uint16(body[14:]))
	h.epoch = binary.BigEndian.Uint64(body[16:])
	h.sequence = binary.BigEndian.Uint64(body[24:])
	return h, string(body[headerLen:]), true
}

const (
	// lifeSilent is how long a sender's known life says nothing before an earlier epoch is believed: lives are numbered by
	// the sender's wall clock, and one that started behind a step back has the smaller number.
	incarnationTimeout = 2 * time.Second
	maxIncarnations    = 4 // of a sender, so that what was seen of one is known when it, or a copy of it, comes again
)

// sender tells new datagrams of one sender from repeated ones and from those of an earlier life.
type sender struct {
	incarnations []replayWindow // the one heard last is the last
	lastReceived time.Time
}

func (s *sender) accept(epoch, seq uint64, now time.Time) bool {
	if n := len(s.incarnations); n > 0 && epoch < s.incarnations[n-1].epoch && now.Sub(s.lastReceived) < incarnationTimeout {
		return false
	}
	w := replayWindow{epoch: epoch}
	at := slices.IndexFunc(s.incarnations, func(l replayWindow) bool { return l.epoch == epoch })
	if at >= 0 {
		w = s.incarnations[at]
	}
	if !w.accept(seq) {
		return false
	}
	if at >= 0 {
		s.incarnations = slices.Delete(s.incarnations, at, at+1)
	}
	if s.incarnations = append(s.incarnations, w); len(s.incarnations) > maxIncarnations {
		s.incarnations = slices.Delete(s.incarnations, 0, 1)
	}
	s.lastReceived = now
	return true
}

// window is what was seen of one life of a sender: the highest number and the 64 below it.
type replayWindow struct {
	epoch, highest uint64
	seen           uint64
}

func (w *replayWindow) accept(seq uint64) bool {
	if seq > w.highest {
		if n := seq - w.highest; n < 64 {
			w.seen = w.seen<<n | 1
		} else {
			w.seen = 1
		}
		w.highest = seq
		return true
	}
	n := w.highest - seq
	if n >= 64 || w.seen>>n&1 == 1 {
		return false
	}
	w.seen |= 1 << n
	return true
}

// intake is a bucket of messages: rate a second, a second's worth at once.
type rateLimiter struct {
	rate, level float64
	updatedAt   time.Time
}

func (i *rateLimiter) allow(now time.Time) bool {
	i.level = max(0, i.level-i.rate*now.Sub(i.updatedAt).Seconds())
	i.updatedAt = now
	if i.level+1 > max(i.rate, 1) {
		return false
	}
	i.level++
	return true
}

// Counts are datagrams by what became of them.
type Counts struct{ Sent, Unsent, Taken, Forged, Foreign, Repeated, OverIntake int64 }

// Options tell a link who it is.
type Options struct {
	Fleet          string
	Rank           int
	Peers          []string // addresses by rank
	Secret         credentials.Secret
	MaxMessageRate float64 // messages a second
	Now            func() time.Time
}

// Link is a gateway's socket to its peers.
type Transport struct {
	options   Options
	socket    net.PacketConn
	hash      credentials.Hasher
	fleet     [8]byte
	epoch     uint64
	peerAddrs []net.Addr
	mu        sync.Mutex
	sequences []uint64
	counts    [7]atomic.Int64
}

const (
	countSent = iota
	countUnsent
	countTaken
	countForged
	countForeign
	countRepeated
	countOverIntake
)

// New takes a bound socket.
func New(pc net.PacketConn, o Options) (*Transport, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	l := &Transport{options: o, socket: pc, hash: o.Secret.DatagramHasher(), epoch: uint64(o.Now().UnixNano()), sequences: make([]uint64, len(o.Peers))}
	sum := l.hash.Sum([]byte(o.Fleet))
	copy(l.fleet[:], sum[:])
	for _, a := range o.Peers {
		addr, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			return nil, err
		}
		l.peerAddrs = append(l.peerAddrs, addr)
	}
	return l, nil
}

// Send sends one message. A datagram that the system does not take at once is lost, as any may be.
func (l *Transport) Send(to int, text string) {
	if to < 0 || to >= len(l.peerAddrs) || to == l.options.Rank || len(text) > maxTextLen {
		l.counts[countUnsent].Add(1)
		return
	}
	l.mu.Lock()
	l.sequences[to]++
	seq := l.sequences[to]
	l.mu.Unlock()
	b := appendDatagram(nil, datagramHeader{l.fleet, l.options.Rank, to, l.epoch, seq}, text, l.hash)
	if _, err := l.socket.WriteTo(b, l.peerAddrs[to]); err != nil {
		l.counts[countUnsent].Add(1)
		return
	}
	l.counts[countSent].Add(1)
}

// readPause is the wait behind a read that failed.
const readRetryDelay = time.Millisecond

// Serve reads until the socket is closed and hands on what may be taken.
func (l *Transport) Serve(take func(from int, text string)) {
	seen := make([]sender, len(l.peerAddrs))
	in := rateLimiter{rate: l.options.MaxMessageRate, updatedAt: l.options.Now()}
	buf := make([]byte, 2048)
	for {
		n, _, err := l.socket.ReadFrom(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(readRetryDelay)
			continue // a peer that is away must not end the intake from the others
		}
		h, text, ok := parseDatagram(buf[:n], l.hash)
		switch {
		case !ok:
			l.counts[countForged].Add(1)
		case h.fleet != l.fleet || h.to != l.options.Rank || h.from >= len(seen) || h.from == l.options.Rank:
			l.counts[countForeign].Add(1)
		case !seen[h.from].accept(h.epoch, h.sequence, l.options.Now()):
			l.counts[countRepeated].Add(1)
		case !in.allow(l.options.Now()):
			l.counts[countOverIntake].Add(1)
		default:
			l.counts[countTaken].Add(1)
			take(h.from, text)
		}
	}
}

// Counts reads the counters.
func (l *Transport) Counts() Counts {
	c := func(i int) int64 { return l.counts[i].Load() }
	return Counts{c(countSent), c(countUnsent), c(countTaken), c(countForged), c(countForeign), c(countRepeated), c(countOverIntake)}
}

// Close ends Serve.
func (l *Transport) Close() error { return l.socket.Close() }
