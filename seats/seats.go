// Package seats decides which connections of clients stay when descriptors are few: it does no I/O and reads no
// clock; the same calls in the same order always close the same connections.
//
// A connection holds a seat from its coming to its going. It is asking until its first request is whole, busy while
// one is open, and at rest between two. What has shown no use so far goes first, longest first; what is busy never.
package seats

import (
	"container/list"
	"time"
)

const (
	// A connection has this long for its first request, and for each further one from its first byte on. Clients owe
	// a request at once; what trickles or is silent holds a seat that others need. It also keeps the promise that
	// such a client is turned away within three seconds.
	askWithin = 2 * time.Second
	// One at rest may be closed after two seconds; while there is room it stays for this long, as opening it anew costs
	// both sides more than keeping it.
	restMost = 10 * time.Second
	// Above this part of the seats, those at rest go after restLeast.
	tightFrom = 0.75
	restLeast = 2 * time.Second
)

// ID names a connection.
type ID uint64

type state int

const (
	asking state = iota
	resting
	busy
)

type seat struct {
	id    ID
	state state
	since time.Duration
	at    *list.Element // in the line of its state; nil while busy
}

// Book holds the seats of one gateway.
type Book struct {
	most  int
	seats map[ID]*seat
	lines [2]*list.List // asking, resting: longest first
}

// New returns a book of so many seats.
func New(most int) *Book {
	return &Book{most: most, seats: map[ID]*seat{}, lines: [2]*list.List{list.New(), list.New()}}
}

// Len is how many seats are held.
func (b *Book) Len() int { return len(b.seats) }

// Come gives a new connection a seat. If all are held, another is to be closed for it; false says that none may,
// and the new one is to be closed.
func (b *Book) Come(now time.Duration, id ID) (out ID, closes, ok bool) {
	if len(b.seats) >= b.most {
		for _, l := range b.lines {
			if f := l.Front(); f != nil {
				out, closes = f.Value.(*seat).id, true
				b.Go(out)
				break
			}
		}
		if !closes {
			return 0, false, false
		}
	}
	s := &seat{id: id, since: now}
	b.seats[id] = s
	s.at = b.lines[asking].PushBack(s)
	return out, closes, true
}

// Go takes a seat back.
func (b *Book) Go(id ID) {
	if s := b.seats[id]; s != nil {
		b.leave(s)
		delete(b.seats, id)
	}
}

func (b *Book) leave(s *seat) {
	if s.at != nil {
		b.lines[s.state].Remove(s.at)
		s.at = nil
	}
}

func (b *Book) to(now time.Duration, id ID, st state) {
	s := b.seats[id]
	if s == nil || s.state == st {
		return
	}
	b.leave(s)
	s.state, s.since = st, now
	if st != busy {
		s.at = b.lines[st].PushBack(s)
	}
}

// Ask says that the first byte of a further request came.
func (b *Book) Ask(now time.Duration, id ID) { b.to(now, id, asking) }

// Busy says that a request is whole.
func (b *Book) Busy(now time.Duration, id ID) { b.to(now, id, busy) }

// Rest says that its answer is written.
func (b *Book) Rest(now time.Duration, id ID) { b.to(now, id, resting) }

// Due takes back the seats whose time is up and returns them.
func (b *Book) Due(now time.Duration) (out []ID) {
	rest := restMost
	if float64(len(b.seats)) > tightFrom*float64(b.most) {
		rest = restLeast
	}
	for st, most := range [2]time.Duration{askWithin, rest} {
		for f := b.lines[st].Front(); f != nil && now-f.Value.(*seat).since >= most; f = b.lines[st].Front() {
			out = append(out, f.Value.(*seat).id)
			b.Go(f.Value.(*seat).id)
		}
	}
	return out
}
