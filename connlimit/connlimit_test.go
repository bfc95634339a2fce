package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestSilentOnesGiveWayToNewOnes(t *testing.T) {
	b := New(4)
	for id := ID(1); id <= 4; id++ {
		b.Accept(0, id)
	}
	b.Active(0, 1)
	b.Active(0, 2)
	b.Idle(time.Second, 2)
	if out, closes, ok := b.Accept(time.Second, 5); !ok || !closes || out != 3 {
		t.Errorf("closed %d (%t, %t), want 3, the longest without a request", out, closes, ok)
	}
	b.Active(time.Second, 4)
	b.Active(time.Second, 5)
	if out, closes, ok := b.Accept(time.Second, 6); !ok || !closes || out != 2 {
		t.Errorf("closed %d (%t, %t), want 2, which rests", out, closes, ok)
	}
	b.Active(time.Second, 6)
	if _, closes, ok := b.Accept(time.Second, 7); ok || closes {
		t.Errorf("a seat was taken from a connection with an open request")
	}
}

func TestTimeoutsOfConnections(t *testing.T) {
	b := New(100)
	b.Accept(0, 1)
	b.Accept(0, 2)
	b.Active(time.Second, 2)
	if out := b.Expired(2 * time.Second); len(out) != 1 || out[0] != 1 {
		t.Errorf("due after two seconds: %v, want 1, which never asked", out)
	}
	if out := b.Expired(time.Hour); len(out) != 0 {
		t.Errorf("due: %v, want none while a request is open", out)
	}
	b.Idle(time.Hour, 2)
	if out := b.Expired(time.Hour + idleTimeout); len(out) != 1 || b.Len() != 0 {
		t.Errorf("due after its rest: %v, %d held, want 2 and none", out, b.Len())
	}
}

// Whatever comes in whatever order: never more seats than there are, none is taken from a active one, and the same calls
// have the same results.
func TestConnectionsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 6).Draw(t, "most")
		a, b := New(most), New(most)
		activeOnes := map[ID]bool{}
		now := time.Duration(0)
		for n := ID(1); n < 60; n++ {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			id := ID(rapid.IntRange(1, int(n)).Draw(t, "id"))
			var gone []ID
			switch rapid.IntRange(0, 5).Draw(t, "call") {
			case 0:
				out, closes, ok := a.Accept(now, n+100)
				if out2, closes2, ok2 := b.Accept(now, n+100); out != out2 || closes != closes2 || ok != ok2 {
					t.Fatal("two books differ")
				}
				if closes {
					gone = append(gone, out)
				}
			case 1:
				a.Active(now, id+100)
				b.Active(now, id+100)
				if a.seats[id+100] != nil {
					activeOnes[id+100] = true
				}
			case 2:
				a.Idle(now, id+100)
				b.Idle(now, id+100)
				delete(activeOnes, id+100)
			case 3:
				a.Reading(now, id+100)
				b.Reading(now, id+100)
				delete(activeOnes, id+100)
			case 4:
				a.Closed(id + 100)
				b.Closed(id + 100)
				delete(activeOnes, id+100)
			case 5:
				gone = a.Expired(now)
				b.Expired(now)
			}
			for _, g := range gone {
				if activeOnes[g] {
					t.Fatalf("active %d lost its seat", g)
				}
			}
			if a.Len() > most || a.lines[0].Len()+a.lines[1].Len()+len(activeOnes) != a.Len() {
				t.Fatalf("%d seats of %d, %d reading, %d idle, %d active", a.Len(), most, a.lines[0].Len(), a.lines[1].Len(), len(activeOnes))
			}
		}
	})
}
