package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func none(ID) bool { return false }

func TestSilentOnesGiveWayToNewOnes(t *testing.T) {
	b := New(4)
	for id := ID(1); id <= 4; id++ {
		b.Accept(0, id, none)
	}
	b.MarkActive(0, 1)
	b.MarkActive(0, 2)
	b.MarkIdle(time.Second, 2)
	if out, closes, ok := b.Accept(time.Second, 5, none); !ok || !closes || out != 3 {
		t.Errorf("closed %d (%t, %t), want 3, the longest without a request", out, closes, ok)
	}
	b.MarkActive(time.Second, 4)
	b.MarkActive(time.Second, 5)
	if out, closes, ok := b.Accept(time.Second, 6, none); !ok || !closes || out != 2 {
		t.Errorf("closed %d (%t, %t), want 2, which rests", out, closes, ok)
	}
	b.MarkActive(time.Second, 6)
	if _, closes, ok := b.Accept(time.Second, 7, none); ok || closes {
		t.Errorf("a seat was taken from a connection with an open request")
	}
}

func TestTimeoutsOfConnections(t *testing.T) {
	b := New(100)
	b.Accept(0, 1, none)
	b.Accept(0, 2, none)
	b.MarkActive(time.Second, 2)
	if out := b.Expired(2*time.Second, none); len(out) != 1 || out[0] != 1 {
		t.Errorf("due after two seconds: %v, want 1, which never asked", out)
	}
	if out := b.Expired(time.Hour, none); len(out) != 0 {
		t.Errorf("due: %v, want none while a request is open", out)
	}
	b.MarkIdle(time.Hour, 2)
	if out := b.Expired(time.Hour+idleTimeout, none); len(out) != 1 || b.Len() != 0 {
		t.Errorf("due after its rest: %v, %d held, want 2 and none", out, b.Len())
	}
}

// Silent ones give way first, then those at rest, then what is being read; unread bytes spare each.
func TestTheOrderInWhichConnectionsGiveWay(t *testing.T) {
	b := New(4)
	for id := ID(1); id <= 4; id++ {
		b.Accept(0, id, none)
	}
	b.MarkReading(0, 1)
	b.MarkActive(0, 2)
	b.MarkIdle(0, 2)
	unread := map[ID]bool{3: true}
	for i, want := range []ID{4, 5, 6} {
		if out, closes, ok := b.Accept(0, ID(5+i), func(id ID) bool { return unread[id] }); !ok || !closes || out != want {
			t.Errorf("closed %d (%t, %t), want %d, which is silent", out, closes, ok, want)
		}
	}
	unread[7] = true
	for i, want := range []ID{2, 1} {
		if out, closes, ok := b.Accept(0, ID(8+i), func(id ID) bool { return unread[id] || id > 7 }); !ok || !closes || out != want {
			t.Errorf("closed %d (%t, %t), want %d", out, closes, ok, want)
		}
	}
	if _, closes, ok := b.Accept(0, 10, func(ID) bool { return true }); ok || closes {
		t.Error("a seat was taken from a connection with unread bytes")
	}
}

// Unread bytes spare a connection whose time is up, at rest for as long as they wait, else for a while.
func TestUnreadBytesPutOffTimeouts(t *testing.T) {
	all := func(ID) bool { return true }
	b := New(100)
	b.Accept(0, 1, none)
	b.Accept(0, 2, none)
	b.MarkReading(time.Second, 2)
	b.Accept(0, 3, none)
	b.MarkActive(0, 3)
	b.MarkIdle(0, 3)
	if out := b.Expired(requestTimeout+requestGrace-1, all); len(out) != 0 {
		t.Errorf("closed %v, want none while bytes wait", out)
	}
	if out := b.Expired(requestTimeout+requestGrace, all); len(out) != 2 || out[0] != 1 || out[1] != 2 {
		t.Errorf("closed %v, want 1 and 2: a first request's time runs from the connection's coming", out)
	}
	if out := b.Expired(time.Hour, all); len(out) != 0 {
		t.Errorf("closed %v, want none: a request has come", out)
	}
	if out := b.Expired(time.Hour, none); len(out) != 1 || out[0] != 3 {
		t.Errorf("closed %v, want 3", out)
	}
}

// Whatever comes in whatever order: never more seats than there are, none is taken from an active one, and the same calls
// have the same results.
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
				out, closes, ok := a.Accept(now, n+100, waits)
				if unread[out] {
					t.Fatalf("%d, with unread bytes, lost its seat to a new one", out)
				}
				if out2, closes2, ok2 := b.Accept(now, n+100, waits); out != out2 || closes != closes2 || ok != ok2 {
					t.Fatal("two books differ")
				}
				if closes {
					gone = append(gone, out)
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
					t.Fatalf("active %d lost its seat", g)
				}
			}
			if a.Len() > most || a.queues[silent].Len()+a.queues[idle].Len()+a.queues[reading].Len()+len(activeOnes) != a.Len() {
				t.Fatalf("%d seats of %d, %d silent, %d idle, %d reading, %d active", a.Len(), most, a.queues[silent].Len(), a.queues[idle].Len(), a.queues[reading].Len(), len(activeOnes))
			}
		}
	})
}
