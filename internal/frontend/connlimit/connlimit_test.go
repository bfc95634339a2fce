package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func none(ID) bool { return false }

// Clients connect and send nothing until the limit is reached. A new connection takes the place of one
// without an open request, never of one with a request.
func TestSilentOnesGiveWayToNewOnes(t *testing.T) {
	l := New(4)
	for id := ID(1); id <= 4; id++ {
		l.Accept(0, id, none)
	}
	l.MarkActive(0, 1)
	l.MarkActive(0, 2)
	l.MarkIdle(time.Second, 2)
	if evicted, evicts, ok := l.Accept(time.Second, 5, none); !ok || !evicts || evicted != 3 {
		t.Errorf("evicted %d (%t, %t), want 3, the longest without a request", evicted, evicts, ok)
	}
	l.MarkActive(time.Second, 4)
	l.MarkActive(time.Second, 5)
	if evicted, evicts, ok := l.Accept(time.Second, 6, none); !ok || !evicts || evicted != 2 {
		t.Errorf("evicted %d (%t, %t), want 2, which is idle", evicted, evicts, ok)
	}
	l.MarkActive(time.Second, 6)
	if _, evicts, ok := l.Accept(time.Second, 7, none); ok || evicts {
		t.Errorf("a connection with an open request was evicted")
	}
}

// A silent connection holds a descriptor that others need; one with an open request must never time out.
func TestTimeoutsOfConnections(t *testing.T) {
	l := New(100)
	l.Accept(0, 1, none)
	l.Accept(0, 2, none)
	l.MarkActive(time.Second, 2)
	if expired := l.Expired(2*time.Second, none); len(expired) != 1 || expired[0] != 1 {
		t.Errorf("due after two seconds: %v, want 1, which never asked", expired)
	}
	if expired := l.Expired(time.Hour, none); len(expired) != 0 {
		t.Errorf("due: %v, want none while a request is open", expired)
	}
	l.MarkIdle(time.Hour, 2)
	if expired := l.Expired(time.Hour+idleTimeout, none); len(expired) != 1 || l.Len() != 0 {
		t.Errorf("due after its idle timeout: %v, %d held, want 2 and none", expired, l.Len())
	}
}

// At the limit silent connections are evicted first, then idle ones, then reading ones. One with unread bytes
// may hold a complete request and must not be evicted.
func TestTheOrderInWhichConnectionsGiveWay(t *testing.T) {
	l := New(4)
	for id := ID(1); id <= 4; id++ {
		l.Accept(0, id, none)
	}
	l.MarkReading(0, 1)
	l.MarkActive(0, 2)
	l.MarkIdle(0, 2)
	unread := map[ID]bool{3: true}
	for i, want := range []ID{4, 5, 6} {
		evicted, evicts, ok := l.Accept(0, ID(5+i), func(id ID) bool { return unread[id] })
		if !ok || !evicts || evicted != want {
			t.Errorf("evicted %d (%t, %t), want %d, which is silent", evicted, evicts, ok, want)
		}
	}
	unread[7] = true
	for i, want := range []ID{2, 1} {
		evicted, evicts, ok := l.Accept(0, ID(8+i), func(id ID) bool { return unread[id] || id > 7 })
		if !ok || !evicts || evicted != want {
			t.Errorf("evicted %d (%t, %t), want %d", evicted, evicts, ok, want)
		}
	}
	if _, evicts, ok := l.Accept(0, 10, func(ID) bool { return true }); ok || evicts {
		t.Error("a connection with unread bytes was evicted")
	}
}

// The process was held up while a request arrived, and its connection times out before it is read. Unread
// bytes keep an idle connection open for as long as they wait, any other one for the grace.
func TestUnreadBytesPutOffTimeouts(t *testing.T) {
	all := func(ID) bool { return true }
	l := New(100)
	l.Accept(0, 1, none)
	l.Accept(0, 2, none)
	l.MarkReading(time.Second, 2)
	l.Accept(0, 3, none)
	l.MarkActive(0, 3)
	l.MarkIdle(0, 3)
	if expired := l.Expired(requestTimeout+requestGrace-1, all); len(expired) != 0 {
		t.Errorf("closed %v, want none while bytes wait", expired)
	}
	if expired := l.Expired(requestTimeout+requestGrace, all); len(expired) != 2 || expired[0] != 1 || expired[1] != 2 {
		t.Errorf("closed %v, want 1 and 2: a first request's time runs from Accept", expired)
	}
	if expired := l.Expired(time.Hour, all); len(expired) != 0 {
		t.Errorf("closed %v, want none: a request has arrived", expired)
	}
	if expired := l.Expired(time.Hour, none); len(expired) != 1 || expired[0] != 3 {
		t.Errorf("closed %v, want 3", expired)
	}
}

// For any calls in any order: the limit holds, no active connection is closed, none with unread bytes is
// evicted, and the same calls have the same results.
func TestConnectionsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 6).Draw(t, "most")
		a, b := New(most), New(most)
		activeOnes, unread := map[ID]bool{}, map[ID]bool{}
		waits := func(id ID) bool { return unread[id] }
		now := time.Duration(0)
		for n := ID(1); n < 60; n++ {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			id := ID(rapid.IntRange(1, int(n)).Draw(t, "id"))
			var gone []ID
			switch rapid.IntRange(0, 6).Draw(t, "call") {
			case 0:
				evicted, evicts, ok := a.Accept(now, n+100, waits)
				if unread[evicted] {
					t.Fatalf("%d, with unread bytes, was evicted", evicted)
				}
				evicted2, evicts2, ok2 := b.Accept(now, n+100, waits)
				if evicted != evicted2 || evicts != evicts2 || ok != ok2 {
					t.Fatal("two limiters differ")
				}
				if evicts {
					gone = append(gone, evicted)
				}
			case 1:
				a.MarkActive(now, id+100)
				b.MarkActive(now, id+100)
				if a.entries[id+100] != nil {
					activeOnes[id+100] = true
				}
			case 2:
				a.MarkIdle(now, id+100)
				b.MarkIdle(now, id+100)
				delete(activeOnes, id+100)
			case 3:
				a.MarkReading(now, id+100)
				b.MarkReading(now, id+100)
				delete(activeOnes, id+100)
			case 4:
				a.Remove(id + 100)
				b.Remove(id + 100)
				delete(activeOnes, id+100)
			case 5:
				gone = a.Expired(now, waits)
				b.Expired(now, waits)
			case 6:
				unread[id+100] = !unread[id+100]
			}
			for _, g := range gone {
				if activeOnes[g] {
					t.Fatalf("active %d was closed", g)
				}
			}
			silentOnes, idleOnes, readingOnes := a.queues[silent].Len(), a.queues[idle].Len(), a.queues[reading].Len()
			if a.Len() > most || silentOnes+idleOnes+readingOnes+len(activeOnes) != a.Len() {
				t.Fatalf("%d connections of %d: %d silent, %d idle, %d reading, %d active", a.Len(), most,
					silentOnes, idleOnes, readingOnes, len(activeOnes))
			}
		}
	})
}
