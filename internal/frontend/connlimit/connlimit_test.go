package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// none reports that no connection has unread bytes.
func none(ID) bool { return false }

// Guards against clients without requests that keep out new ones: they connect and send nothing until the
// limit is reached. A new connection must evict one without an open request, and never one with an open
// request.
func TestAcceptNeverEvictsActiveConnection(t *testing.T) {
	l := New(4)
	for id := ID(1); id <= 4; id++ {
		l.Accept(0, id, none)
	}
	l.MarkActive(0, 1)
	l.MarkActive(0, 2)
	l.MarkIdle(time.Second, 2)
	if evicted, didEvict, ok := l.Accept(time.Second, 5, none); !ok || !didEvict || evicted != 3 {
		t.Errorf("evicted %d (%t, %t), want 3, the oldest silent connection", evicted, didEvict, ok)
	}
	l.MarkActive(time.Second, 4)
	l.MarkActive(time.Second, 5)
	if evicted, didEvict, ok := l.Accept(time.Second, 6, none); !ok || !didEvict || evicted != 2 {
		t.Errorf("evicted %d (%t, %t), want 2, the idle connection", evicted, didEvict, ok)
	}
	l.MarkActive(time.Second, 6)
	if _, didEvict, ok := l.Accept(time.Second, 7, none); ok || didEvict {
		t.Errorf("Accept succeeded or evicted a connection although all connections are active")
	}
}

// Guards against silent connections that hold descriptors which others need, and against timeouts of
// connections whose request is still open.
func TestConnectionTimeouts(t *testing.T) {
	l := New(100)
	l.Accept(0, 1, none)
	l.Accept(0, 2, none)
	l.MarkActive(time.Second, 2)
	if expired := l.Expired(2*time.Second, none); len(expired) != 1 || expired[0] != 1 {
		t.Errorf("expired after 2 s: %v, want 1, which sent no request", expired)
	}
	if expired := l.Expired(time.Hour, none); len(expired) != 0 {
		t.Errorf("expired with an open request: %v, want none", expired)
	}
	l.MarkIdle(time.Hour, 2)
	if expired := l.Expired(time.Hour+idleTimeout, none); len(expired) != 1 || l.Len() != 0 {
		t.Errorf("expired after the idle timeout: %v, %d connections left, want 2 and none", expired, l.Len())
	}
}

// Guards against the eviction of a connection that may hold a complete request while others hold none. Silent
// connections must be evicted first, then idle ones, then reading ones, and none whose socket holds unread
// bytes.
func TestEvictionOrder(t *testing.T) {
	l := New(4)
	for id := ID(1); id <= 4; id++ {
		l.Accept(0, id, none)
	}
	l.MarkReading(0, 1)
	l.MarkActive(0, 2)
	l.MarkIdle(0, 2)
	unread := map[ID]bool{3: true}
	for i, want := range []ID{4, 5, 6} {
		evicted, didEvict, ok := l.Accept(0, ID(5+i), func(id ID) bool { return unread[id] })
		if !ok || !didEvict || evicted != want {
			t.Errorf("evicted %d (%t, %t), want %d, a silent connection", evicted, didEvict, ok, want)
		}
	}
	unread[7] = true
	for i, want := range []ID{2, 1} {
		evicted, didEvict, ok := l.Accept(0, ID(8+i), func(id ID) bool { return unread[id] || id > 7 })
		if !ok || !didEvict || evicted != want {
			t.Errorf("evicted %d (%t, %t), want %d", evicted, didEvict, ok, want)
		}
	}
	if _, didEvict, ok := l.Accept(0, 10, func(ID) bool { return true }); ok || didEvict {
		t.Error("Accept succeeded or evicted a connection although all connections have unread bytes")
	}
}

// Guards against the loss of a request that arrives while the process is suspended, so that its connection
// times out before the request is read. Unread bytes must keep an idle connection open without limit, and any
// other connection for requestGrace.
func TestUnreadBytesDelayTimeout(t *testing.T) {
	all := func(ID) bool { return true }
	l := New(100)
	l.Accept(0, 1, none)
	l.Accept(0, 2, none)
	l.MarkReading(time.Second, 2)
	l.Accept(0, 3, none)
	l.MarkActive(0, 3)
	l.MarkIdle(0, 3)
	if expired := l.Expired(requestTimeout+requestGrace-1, all); len(expired) != 0 {
		t.Errorf("expired within the grace: %v, want none while bytes are unread", expired)
	}
	if expired := l.Expired(requestTimeout+requestGrace, all); len(expired) != 2 ||
		expired[0] != 1 || expired[1] != 2 {
		t.Errorf("expired after the grace: %v, want 1 and 2, whose timeouts started at Accept", expired)
	}
	if expired := l.Expired(time.Hour, all); len(expired) != 0 {
		t.Errorf("expired %v, want none: the idle connection has an unread request", expired)
	}
	if expired := l.Expired(time.Hour, none); len(expired) != 1 || expired[0] != 3 {
		t.Errorf("expired without unread bytes: %v, want 3", expired)
	}
}

// Checks the limiter with random sequences of calls: the limit is never exceeded, no active connection is
// closed, no connection with unread bytes is evicted, and the same calls return the same results.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxConns := rapid.IntRange(1, 6).Draw(t, "max conns")
		a, b := New(maxConns), New(maxConns)
		activeIDs, unread := map[ID]bool{}, map[ID]bool{}
		hasUnread := func(id ID) bool { return unread[id] }
		now := time.Duration(0)
		for n := ID(1); n < 60; n++ {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			id := ID(rapid.IntRange(1, int(n)).Draw(t, "id"))
			var closed []ID
			switch rapid.IntRange(0, 6).Draw(t, "call") {
			case 0:
				evicted, didEvict, ok := a.Accept(now, n+100, hasUnread)
				if unread[evicted] {
					t.Fatalf("connection %d was evicted with unread bytes", evicted)
				}
				evicted2, didEvict2, ok2 := b.Accept(now, n+100, hasUnread)
				if evicted != evicted2 || didEvict != didEvict2 || ok != ok2 {
					t.Fatal("two limiters returned different results for the same calls")
				}
				if didEvict {
					closed = append(closed, evicted)
				}
			case 1:
				a.MarkActive(now, id+100)
				b.MarkActive(now, id+100)
				if a.entries[id+100] != nil {
					activeIDs[id+100] = true
				}
			case 2:
				a.MarkIdle(now, id+100)
				b.MarkIdle(now, id+100)
				delete(activeIDs, id+100)
			case 3:
				a.MarkReading(now, id+100)
				b.MarkReading(now, id+100)
				delete(activeIDs, id+100)
			case 4:
				a.Remove(id + 100)
				b.Remove(id + 100)
				delete(activeIDs, id+100)
			case 5:
				closed = a.Expired(now, hasUnread)
				b.Expired(now, hasUnread)
			case 6:
				unread[id+100] = !unread[id+100]
			}
			for _, closedID := range closed {
				if activeIDs[closedID] {
					t.Fatalf("active connection %d was closed", closedID)
				}
			}
			silentCount, idleCount, readingCount :=
				a.queues[silent].Len(), a.queues[idle].Len(), a.queues[reading].Len()
			if a.Len() > maxConns || silentCount+idleCount+readingCount+len(activeIDs) != a.Len() {
				t.Fatalf("%d connections, limit %d: %d silent, %d idle, %d reading, %d active",
					a.Len(), maxConns, silentCount, idleCount, readingCount, len(activeIDs))
			}
		}
	})
}
