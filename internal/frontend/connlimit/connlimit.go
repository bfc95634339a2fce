// Package connlimit limits the number of client connections. It selects the connections to evict at the limit
// and those that have timed out. It does no I/O and reads no clock, so the same sequence of calls always
// closes the same connections. Callers pass times as readings of a monotonic clock with any fixed origin.
//
// A connection counts against the limit from Accept to Remove. It is silent until its first byte arrives,
// reading until a request is complete, active while a request is open, and idle between two requests. At the
// limit, a new connection evicts a silent one, else an idle one, else a reading one, and within each state
// the one whose timeout started first. Active connections are never evicted. A connection whose socket holds
// unread bytes is not evicted either, because the bytes may be a complete request.
package connlimit

import (
	"container/list"
	"time"
)

const (
	// requestTimeout is the time in which a request must be complete. It starts at Accept for the first
	// request and at the first byte for later ones. Clients usually send a whole request at once; a client
	// that sends slowly or not at all occupies a connection that others need. The timeout is short enough to
	// disconnect such a client within three seconds, including the interval between two sweeps.
	requestTimeout = 2 * time.Second
	// requestGrace extends requestTimeout while the socket holds unread bytes, because the process may have
	// been stalled. It is bounded so that a client that never stops sending is disconnected too.
	requestGrace = 400 * time.Millisecond
	// idleTimeout is the time a connection may stay idle while there is room. It is long because a new
	// connection costs both sides more than an idle one.
	idleTimeout = 10 * time.Second
	// reducedIdleTimeout replaces idleTimeout while more than the fraction reducedIdleUsage of the limit is
	// in use, so that new connections find room without an eviction.
	reducedIdleTimeout = 2 * time.Second
	reducedIdleUsage   = 0.75
)

// ID identifies a connection. The caller must not use an ID for two connections.
type ID uint64

// state is the state of a connection. Connections in a state with a lower value are evicted first.
type state int

const (
	silent state = iota
	idle
	reading
	active
)

// entry is the record of one connection.
type entry struct {
	id    ID
	state state
	since time.Duration // start of the timeout of the current state
	elem  *list.Element // element in the queue of the current state; nil while active
}

// Limiter tracks the client connections of one gateway. It is not safe for concurrent use.
type Limiter struct {
	maxConns int
	entries  map[ID]*entry
	queues   [active]*list.List // silent, idle and reading connections, each queue ordered by since
}

// New returns a limiter that holds at most maxConns connections.
func New(maxConns int) *Limiter {
	l := &Limiter{maxConns: maxConns, entries: map[ID]*entry{}}
	for st := range l.queues {
		l.queues[st] = list.New()
	}
	return l
}

// Len returns the number of connections held.
func (l *Limiter) Len() int { return len(l.entries) }

// IsFull reports whether another connection needs the eviction of one that is held.
func (l *Limiter) IsFull() bool { return len(l.entries) >= l.maxConns }

// Accept adds a new connection. At the limit it first removes another connection, which it returns as evicted
// with didEvict set and which the caller must close. If no connection can be evicted, ok is false and the
// caller must close the new connection. unread reports whether the socket of a connection holds unread bytes.
func (l *Limiter) Accept(now time.Duration, id ID, unread func(ID) bool) (evicted ID, didEvict, ok bool) {
	if l.IsFull() {
		if evicted, didEvict = l.victim(unread); !didEvict {
			return 0, false, false
		}
		l.Remove(evicted)
	}
	e := &entry{id: id, since: now}
	l.entries[id] = e
	l.enqueue(e)
	return evicted, didEvict, true
}

// victim returns the connection to evict. ok is false if no connection can be evicted.
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

// Remove removes a connection. It has no effect if the connection is not held.
func (l *Limiter) Remove(id ID) {
	if e := l.entries[id]; e != nil {
		l.dequeue(e)
		delete(l.entries, id)
	}
}

// MarkReading records that the first byte of a request has arrived. The timeout of a connection's first
// request still starts at Accept.
func (l *Limiter) MarkReading(now time.Duration, id ID) {
	if e := l.entries[id]; e != nil && e.state == silent {
		now = e.since
	}
	l.setState(id, reading, now)
}

// MarkActive records that a request is complete.
func (l *Limiter) MarkActive(now time.Duration, id ID) { l.setState(id, active, now) }

// MarkIdle records that the response to the open request has been written.
func (l *Limiter) MarkIdle(now time.Duration, id ID) { l.setState(id, idle, now) }

// Expired removes the connections that have timed out and returns them. The caller must close them. unread
// reports whether the socket of a connection holds unread bytes.
func (l *Limiter) Expired(now time.Duration, unread func(ID) bool) (expired []ID) {
	timeouts := [active]time.Duration{
		silent:  requestTimeout,
		idle:    l.currentIdleTimeout(),
		reading: requestTimeout,
	}
	for st, timeout := range timeouts {
		var next *list.Element
		for elem := l.queues[st].Front(); elem != nil; elem = next {
			next = elem.Next()
			e := elem.Value.(*entry)
			overdue := now - e.since - timeout
			if overdue < 0 {
				break
			}
			// The unread bytes of an idle connection are its next request. Those of a silent or reading
			// connection may complete its request.
			if unread(e.id) && (e.state == idle || overdue < requestGrace) {
				continue
			}
			expired = append(expired, e.id)
			l.Remove(e.id)
		}
	}
	return expired
}

// currentIdleTimeout returns the idle timeout for the current number of connections.
func (l *Limiter) currentIdleTimeout() time.Duration {
	if float64(len(l.entries)) > reducedIdleUsage*float64(l.maxConns) {
		return reducedIdleTimeout
	}
	return idleTimeout
}

// setState moves a connection to a state that it entered at since. It has no effect if the connection is not
// held or already in that state.
func (l *Limiter) setState(id ID, newState state, since time.Duration) {
	e := l.entries[id]
	if e == nil || e.state == newState {
		return
	}
	l.dequeue(e)
	e.state, e.since = newState, since
	if newState != active {
		l.enqueue(e)
	}
}

// enqueue inserts a connection into the queue of its state, which stays ordered by since.
func (l *Limiter) enqueue(e *entry) {
	queue := l.queues[e.state]
	predecessor := queue.Back()
	for predecessor != nil && predecessor.Value.(*entry).since > e.since {
		predecessor = predecessor.Prev()
	}
	if predecessor == nil {
		e.elem = queue.PushFront(e)
		return
	}
	e.elem = queue.InsertAfter(e, predecessor)
}

// dequeue removes a connection from the queue of its state. It has no effect on an active connection.
func (l *Limiter) dequeue(e *entry) {
	if e.elem != nil {
		l.queues[e.state].Remove(e.elem)
		e.elem = nil
	}
}
