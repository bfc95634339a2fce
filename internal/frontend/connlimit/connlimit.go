// Package connlimit decides which connections of clients stay when descriptors are few: it does no I/O and reads no
// clock; the same calls in the same order always close the same connections.
//
// A connection holds a seat from its coming to its going. It is silent until its first byte, reading until a request is
// whole, active while one is open, and idle between two. For a new connection the silent ones give way first, then the idle
// ones, then those that are being read, each longest first; active ones never. A connection whose socket holds bytes that
// nobody has read yet is spared: they may be a whole request.
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
	// One with unread bytes is spared for so much longer at most: the process may have been held up, but a client that
	// sends without end must go too.
	requestGrace = 400 * time.Millisecond
	// One at rest may be closed after two seconds; while there is room it stays for this long, as opening it anew costs
	// both sides more than keeping it.
	idleTimeout = 10 * time.Second
	// Above this part of the seats, those at rest go after tightIdleTimeout.
	tightShare       = 0.75
	tightIdleTimeout = 2 * time.Second
)

// ID names a connection.
type ID uint64

type state int

// In the order in which connections give way.
const (
	silent state = iota
	idle
	reading
	active
)

type entry struct {
	id    ID
	state state
	since time.Duration
	elem  *list.Element // in the line of its state; nil while active
}

// Limiter holds the seats of one gateway.
type Limiter struct {
	maxConns int
	entries  map[ID]*entry
	queues   [active]*list.List // silent, idle, reading: longest first
}

// New returns a limiter of so many connections.
func New(most int) *Limiter {
	l := &Limiter{maxConns: most, entries: map[ID]*entry{}}
	for st := range l.queues {
		l.queues[st] = list.New()
	}
	return l
}

// Len is how many seats are held.
func (l *Limiter) Len() int { return len(l.entries) }

// Accept gives a new connection a seat. If all are held, another is to be closed for it; false says that none may, and the
// new one is to be closed. unread tells whether a connection's socket holds bytes that nobody has read.
func (l *Limiter) Accept(now time.Duration, id ID, unread func(ID) bool) (evicted ID, evicts, ok bool) {
	if len(l.entries) >= l.maxConns {
		if evicted, evicts = l.victim(unread); !evicts {
			return 0, false, false
		}
		l.Remove(evicted)
	}
	s := &entry{id: id, since: now}
	l.entries[id] = s
	l.enqueue(s)
	return evicted, evicts, true
}

// weakest finds the connection that gives way first.
func (l *Limiter) victim(unread func(ID) bool) (id ID, ok bool) {
	for _, line := range l.queues {
		for e := line.Front(); e != nil; e = e.Next() {
			if id := e.Value.(*entry).id; !unread(id) {
				return id, true
			}
		}
	}
	return 0, false
}

// Closed takes a seat back.
func (l *Limiter) Remove(id ID) {
	if s := l.entries[id]; s != nil {
		l.dequeue(s)
		delete(l.entries, id)
	}
}

func (l *Limiter) dequeue(s *entry) {
	if s.elem != nil {
		l.queues[s.state].Remove(s.elem)
		s.elem = nil
	}
}

// enter puts a seat into the line of its state, which is in the order of since.
func (l *Limiter) enqueue(s *entry) {
	line := l.queues[s.state]
	before := line.Back()
	for before != nil && before.Value.(*entry).since > s.since {
		before = before.Prev()
	}
	if before == nil {
		s.elem = line.PushFront(s)
		return
	}
	s.elem = line.InsertAfter(s, before)
}

func (l *Limiter) setState(id ID, st state, since time.Duration) {
	s := l.entries[id]
	if s == nil || s.state == st {
		return
	}
	l.dequeue(s)
	s.state, s.since = st, since
	if st != active {
		l.enqueue(s)
	}
}

// Reading says that the first byte of a request came. A first request's time runs from the connection's coming.
func (l *Limiter) MarkReading(now time.Duration, id ID) {
	if s := l.entries[id]; s != nil && s.state == silent {
		now = s.since
	}
	l.setState(id, reading, now)
}

// Active says that a request is whole.
func (l *Limiter) MarkActive(now time.Duration, id ID) { l.setState(id, active, now) }

// Idle says that its answer is written.
func (l *Limiter) MarkIdle(now time.Duration, id ID) { l.setState(id, idle, now) }

// Expired takes back the seats whose time is up and returns them. unread is as in Accept.
func (l *Limiter) Expired(now time.Duration, unread func(ID) bool) (out []ID) {
	rest := idleTimeout
	if float64(len(l.entries)) > tightShare*float64(l.maxConns) {
		rest = tightIdleTimeout
	}
	for st, timeout := range [active]time.Duration{silent: requestTimeout, idle: rest, reading: requestTimeout} {
		var next *list.Element
		for e := l.queues[st].Front(); e != nil; e = next {
			next = e.Next()
			s := e.Value.(*entry)
			over := now - s.since - timeout
			if over < 0 {
				break
			}
			if unread(s.id) && (state(st) == idle || over < requestGrace) {
				continue
			}
			out = append(out, s.id)
			l.Remove(s.id)
		}
	}
	return out
}
