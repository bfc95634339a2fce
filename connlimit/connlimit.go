// Package connlimit decides which connections of clients stay when descriptors are few: it does no I/O and reads no
// clock; the same calls in the same order always close the same connections.
//
// A connection holds a seat from its coming to its going. It is reading until its first request is whole, active while
// one is open, and at rest between two. What has shown no use so far goes first, longest first; what is active never.
package connlimit

import (
	"container/list"
	"time"
)

const (
	// A connection has this long for its first request, and for each further one from its first byte on. Clients owe
	// a request at once; what trickles or is silent holds a seat that others need. It also keeps the promise that
	// such a client is turned away within three seconds.
	requestTimeout = 2 * time.Second
	// One at rest may be closed after two seconds; while there is room it stays for this long, as opening it anew costs
	// both sides more than keeping it.
	idleTimeout = 10 * time.Second
	// Above this part of the seats, those at rest go after tightIdleTimeout.
	tightFrom        = 0.75
	tightIdleTimeout = 2 * time.Second
)

// ID names a connection.
type ID uint64

type state int

const (
	reading state = iota
	idle
	active
)

type seat struct {
	id    ID
	state state
	since time.Duration
	at    *list.Element // in the line of its state; nil while active
}

// Limiter holds the seats of one gateway.
type Limiter struct {
	most  int
	seats map[ID]*seat
	lines [2]*list.List // reading, idle: longest first
}

// New returns a limiter of so many connections.
func New(most int) *Limiter {
	return &Limiter{most: most, seats: map[ID]*seat{}, lines: [2]*list.List{list.New(), list.New()}}
}

// Len is how many seats are held.
func (b *Limiter) Len() int { return len(b.seats) }

// Accept gives a new connection a seat. If all are held, another is to be closed for it; false says that none may,
// and the new one is to be closed.
func (b *Limiter) Accept(now time.Duration, id ID) (out ID, closes, ok bool) {
	if len(b.seats) >= b.most {
		for _, l := range b.lines {
			if f := l.Front(); f != nil {
				out, closes = f.Value.(*seat).id, true
				b.Closed(out)
				break
			}
		}
		if !closes {
			return 0, false, false
		}
	}
	s := &seat{id: id, since: now}
	b.seats[id] = s
	s.at = b.lines[reading].PushBack(s)
	return out, closes, true
}

// Closed takes a seat back.
func (b *Limiter) Closed(id ID) {
	if s := b.seats[id]; s != nil {
		b.leave(s)
		delete(b.seats, id)
	}
}

func (b *Limiter) leave(s *seat) {
	if s.at != nil {
		b.lines[s.state].Remove(s.at)
		s.at = nil
	}
}

func (b *Limiter) to(now time.Duration, id ID, st state) {
	s := b.seats[id]
	if s == nil || s.state == st {
		return
	}
	b.leave(s)
	s.state, s.since = st, now
	if st != active {
		s.at = b.lines[st].PushBack(s)
	}
}

// Reading says that the first byte of a further request came.
func (b *Limiter) Reading(now time.Duration, id ID) { b.to(now, id, reading) }

// Active says that a request is whole.
func (b *Limiter) Active(now time.Duration, id ID) { b.to(now, id, active) }

// Idle says that its answer is written.
func (b *Limiter) Idle(now time.Duration, id ID) { b.to(now, id, idle) }

// Expired takes back the seats whose time is up and returns them.
func (b *Limiter) Expired(now time.Duration) (out []ID) {
	rest := idleTimeout
	if float64(len(b.seats)) > tightFrom*float64(b.most) {
		rest = tightIdleTimeout
	}
	for st, most := range [2]time.Duration{requestTimeout, rest} {
		for f := b.lines[st].Front(); f != nil && now-f.Value.(*seat).since >= most; f = b.lines[st].Front() {
			out = append(out, f.Value.(*seat).id)
			b.Closed(f.Value.(*seat).id)
		}
	}
	return out
}
