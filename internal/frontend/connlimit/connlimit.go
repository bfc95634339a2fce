// Package connlimit decides which client connections stay when descriptors run short, and which have timed out. It
// does no I/O and reads no clock: the same calls in the same order always close the same connections. Times are spans
// since any fixed moment, of a monotonic clock.
//
// A connection counts from Accept to Remove. It is silent until its first byte, reading until a request is complete,
// active while one is open, and idle between two. At the limit a new connection evicts another one: silent ones
// first, then idle ones, then reading ones, of each the one that has been so longest; active ones never. A connection
// whose socket holds unread bytes is not evicted: they may be a complete request.
package connlimit

import (
	"container/list"
	"time"
)

const (
	// requestTimeout is the time for a connection's first request, from Accept on, and for each further one, from its
	// first byte on. Clients send a request at once; one that sends slowly or not at all holds a connection that others
	// need. It is short enough for such a client to be disconnected within three seconds, the sweep included.
	requestTimeout = 2 * time.Second
	// requestGrace is added to requestTimeout while unread bytes wait in the socket, as the process may have been
	// stalled. It is bounded, so that a client that sends without end is disconnected too.
	requestGrace = 400 * time.Millisecond
	// idleTimeout is the time between two requests, while there is room: a new connection costs both sides more than
	// an idle one.
	idleTimeout = 10 * time.Second
	// tightIdleTimeout takes the place of idleTimeout while more than tightShare of the limit is in use, so that new
	// connections find room without an eviction.
	tightIdleTimeout = 2 * time.Second
	tightShare       = 0.75
)

// ID names a connection.
type ID uint64

// state is a connection's, in the order in which connections are evicted.
type state int

const (
	silent state = iota
	idle
	reading
	active
)

// entry is a connection.
type entry struct {
	id    ID
	state state
	since time.Duration // its timeout runs from here
	elem  *list.Element // in the queue of its state; nil while active
}

// Limiter holds the connections of one gateway. It is not safe for concurrent use.
type Limiter struct {
	maxConns int
	entries  map[ID]*entry
	queues   [active]*list.List // silent, idle and reading connections, ordered by since
}

// New returns a limiter of maxConns connections.
func New(maxConns int) *Limiter {
	l := &Limiter{maxConns: maxConns, entries: map[ID]*entry{}}
	for st := range l.queues {
		l.queues[st] = list.New()
	}
	return l
}

// Len is how many connections are held.
func (l *Limiter) Len() int { return len(l.entries) }

// Accept adds a new connection. At the limit another one is removed for it, which the caller has to close. ok is
// false if none may be: the new connection is not added and has to be closed. unread reports whether a connection's
// socket holds unread bytes.
func (l *Limiter) Accept(now time.Duration, id ID, unread func(ID) bool) (evicted ID, evicts, ok bool) {
	if len(l.entries) >= l.maxConns {
		if evicted, evicts = l.victim(unread); !evicts {
			return 0, false, false
		}
		l.Remove(evicted)
	}
	e := &entry{id: id, since: now}
	l.entries[id] = e
	l.enqueue(e)
	return evicted, evicts, true
}

// victim finds the connection to evict first.
func (l *Limiter) victim(unread func(ID) bool) (id ID, ok bool) {
	for _, queue := range l.queues {
		for elem := queue.Front(); elem != nil; elem = elem.Next() {
			if id := elem.Value.(*entry).id; !unread(id) {
				return id, true
			}
		}
	}
	return 0, false
}

// Remove removes a connection, if it is held.
func (l *Limiter) Remove(id ID) {
	if e := l.entries[id]; e != nil {
		l.dequeue(e)
		delete(l.entries, id)
	}
}

// MarkReading says that the first byte of a request arrived. The time for a first request runs from Accept.
func (l *Limiter) MarkReading(now time.Duration, id ID) {
	if e := l.entries[id]; e != nil && e.state == silent {
		now = e.since
	}
	l.setState(id, reading, now)
}

// MarkActive says that a request is complete.
func (l *Limiter) MarkActive(now time.Duration, id ID) { l.setState(id, active, now) }

// MarkIdle says that its response is written.
func (l *Limiter) MarkIdle(now time.Duration, id ID) { l.setState(id, idle, now) }

// Expired removes the connections that have timed out and returns them, for the caller to close. unread is as in
// Accept.
func (l *Limiter) Expired(now time.Duration, unread func(ID) bool) (expired []ID) {
	timeouts := [active]time.Duration{silent: requestTimeout, idle: l.currentIdleTimeout(), reading: requestTimeout}
	for st, timeout := range timeouts {
		var next *list.Element
		for elem := l.queues[st].Front(); elem != nil; elem = next {
			next = elem.Next()
			e := elem.Value.(*entry)
			overdue := now - e.since - timeout
			if overdue < 0 {
				break
			}
			// Unread bytes are the next request of an idle connection, or may complete a request.
			if unread(e.id) && (e.state == idle || overdue < requestGrace) {
				continue
			}
			expired = append(expired, e.id)
			l.Remove(e.id)
		}
	}
	return expired
}

func (l *Limiter) currentIdleTimeout() time.Duration {
	if float64(len(l.entries)) > tightShare*float64(l.maxConns) {
		return tightIdleTimeout
	}
	return idleTimeout
}

func (l *Limiter) setState(id ID, st state, since time.Duration) {
	e := l.entries[id]
	if e == nil || e.state == st {
		return
	}
	l.dequeue(e)
	e.state, e.since = st, since
	if st != active {
		l.enqueue(e)
	}
}

// enqueue puts a connection into the queue of its state, by since.
func (l *Limiter) enqueue(e *entry) {
	queue := l.queues[e.state]
	before := queue.Back()
	for before != nil && before.Value.(*entry).since > e.since {
		before = before.Prev()
	}
	if before == nil {
		e.elem = queue.PushFront(e)
		return
	}
	e.elem = queue.InsertAfter(e, before)
}

func (l *Limiter) dequeue(e *entry) {
	if e.elem != nil {
		l.queues[e.state].Remove(e.elem)
		e.elem = nil
	}
}
