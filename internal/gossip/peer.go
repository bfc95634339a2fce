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
	magic   = "WHP1"
	headLen = 4 + 8 + 2 + 2 + 8 + 8
	sumLen  = 32
	maxText = 1200 // a datagram stays under 1,500 bytes
)

// head is what a datagram says beside its text.
type head struct {
	fleet    [8]byte
	from, to int
	epoch    uint64
	seq      uint64
}

func appendDatagram(dst []byte, h head, text string, hash credentials.Hasher) []byte {
	from := len(dst)
	dst = append(append(dst, magic...), h.fleet[:]...)
	dst = binary.BigEndian.AppendUint16(dst, uint16(h.from))
	dst = binary.BigEndian.AppendUint16(dst, uint16(h.to))
	dst = binary.BigEndian.AppendUint64(dst, h.epoch)
	dst = binary.BigEndian.AppendUint64(dst, h.seq)
	dst = append(dst, text...)
	sum := hash.Sum(dst[from:])
	return append(dst, sum[:]...)
}

// parse checks form and hash. The hash covers the header too, so nothing of it can be changed.
func parse(b []byte, hash credentials.Hasher) (h head, text string, ok bool) {
	if len(b) < headLen+sumLen || len(b) > headLen+maxText+sumLen || !bytes.HasPrefix(b, []byte(magic)) {
		return h, "", false
	}
	body := b[:len(b)-sumLen]
	if sum := hash.Sum(body); !credentials.Equal(sum[:], b[len(body):]) {
		return h, "", false
	}
	copy(h.fleet[:], body[4:])
	h.from = int(binary.BigEndian.Uint16(body[12:]))
	h.to = int(binary.BigEndian.Uint16(body[14:]))
	h.epoch = binary.BigEndian.Uint64(body[16:])
	h.seq = binary.BigEndian.Uint64(body[24:])
	return h, string(body[headLen:]), true
}

const (
	// lifeSilent is how long a sender's known life says nothing before an earlier epoch is believed: lives are numbered by
	// the sender's wall clock, and one that started behind a step back has the smaller number.
	lifeSilent = 2 * time.Second
	livesKept  = 4 // of a sender, so that what was seen of one is known when it, or a copy of it, comes again
)

// sender tells new datagrams of one sender from repeated ones and from those of an earlier life.
type sender struct {
	lives []window // the one heard last is the last
	heard time.Time
}

func (s *sender) fresh(epoch, seq uint64, now time.Time) bool {
	if n := len(s.lives); n > 0 && epoch < s.lives[n-1].epoch && now.Sub(s.heard) < lifeSilent {
		return false
	}
	w := window{epoch: epoch}
	at := slices.IndexFunc(s.lives, func(l window) bool { return l.epoch == epoch })
	if at >= 0 {
		w = s.lives[at]
	}
	if !w.fresh(seq) {
		return false
	}
	if at >= 0 {
		s.lives = slices.Delete(s.lives, at, at+1)
	}
	if s.lives = append(s.lives, w); len(s.lives) > livesKept {
		s.lives = slices.Delete(s.lives, 0, 1)
	}
	s.heard = now
	return true
}

// window is what was seen of one life of a sender: the highest number and the 64 below it.
type window struct {
	epoch, top uint64
	seen       uint64
}

func (w *window) fresh(seq uint64) bool {
	if seq > w.top {
		if n := seq - w.top; n < 64 {
			w.seen = w.seen<<n | 1
		} else {
			w.seen = 1
		}
		w.top = seq
		return true
	}
	n := w.top - seq
	if n >= 64 || w.seen>>n&1 == 1 {
		return false
	}
	w.seen |= 1 << n
	return true
}

// intake is a bucket of messages: rate a second, a second's worth at once.
type intake struct {
	rate, level float64
	at          time.Time
}

func (i *intake) take(now time.Time) bool {
	i.level = max(0, i.level-i.rate*now.Sub(i.at).Seconds())
	i.at = now
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
	Fleet  string
	Rank   int
	Peers  []string // addresses by rank
	Secret credentials.Secret
	Intake float64 // messages a second
	Now    func() time.Time
}

// Link is a gateway's socket to its peers.
type Link struct {
	o      Options
	pc     net.PacketConn
	hash   credentials.Hasher
	fleet  [8]byte
	epoch  uint64
	addrs  []net.Addr
	mu     sync.Mutex
	seqs   []uint64
	counts [7]atomic.Int64
}

const (
	cSent = iota
	cUnsent
	cTaken
	cForged
	cForeign
	cRepeated
	cOver
)

// New takes a bound socket.
func New(pc net.PacketConn, o Options) (*Link, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	l := &Link{o: o, pc: pc, hash: o.Secret.Peers(), epoch: uint64(o.Now().UnixNano()), seqs: make([]uint64, len(o.Peers))}
	sum := l.hash.Sum([]byte(o.Fleet))
	copy(l.fleet[:], sum[:])
	for _, a := range o.Peers {
		addr, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			return nil, err
		}
		l.addrs = append(l.addrs, addr)
	}
	return l, nil
}

// Send sends one message. A datagram that the system does not take at once is lost, as any may be.
func (l *Link) Send(to int, text string) {
	if to < 0 || to >= len(l.addrs) || to == l.o.Rank || len(text) > maxText {
		l.counts[cUnsent].Add(1)
		return
	}
	l.mu.Lock()
	l.seqs[to]++
	seq := l.seqs[to]
	l.mu.Unlock()
	b := appendDatagram(nil, head{l.fleet, l.o.Rank, to, l.epoch, seq}, text, l.hash)
	if _, err := l.pc.WriteTo(b, l.addrs[to]); err != nil {
		l.counts[cUnsent].Add(1)
		return
	}
	l.counts[cSent].Add(1)
}

// readPause is the wait behind a read that failed.
const readPause = time.Millisecond

// Serve reads until the socket is closed and hands on what may be taken.
func (l *Link) Serve(take func(from int, text string)) {
	seen := make([]sender, len(l.addrs))
	in := intake{rate: l.o.Intake, at: l.o.Now()}
	buf := make([]byte, 2048)
	for {
		n, _, err := l.pc.ReadFrom(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(readPause)
			continue // a peer that is away must not end the intake from the others
		}
		h, text, ok := parse(buf[:n], l.hash)
		switch {
		case !ok:
			l.counts[cForged].Add(1)
		case h.fleet != l.fleet || h.to != l.o.Rank || h.from >= len(seen) || h.from == l.o.Rank:
			l.counts[cForeign].Add(1)
		case !seen[h.from].fresh(h.epoch, h.seq, l.o.Now()):
			l.counts[cRepeated].Add(1)
		case !in.take(l.o.Now()):
			l.counts[cOver].Add(1)
		default:
			l.counts[cTaken].Add(1)
			take(h.from, text)
		}
	}
}

// Counts reads the counters.
func (l *Link) Counts() Counts {
	c := func(i int) int64 { return l.counts[i].Load() }
	return Counts{c(cSent), c(cUnsent), c(cTaken), c(cForged), c(cForeign), c(cRepeated), c(cOver)}
}

// Close ends Serve.
func (l *Link) Close() error { return l.pc.Close() }
