package aggregate

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"winghatch/internal/testbed/storeddata"
)

// transcript plays a random history of a small fleet and returns how many messages its gateways sent and a hash of
// these and of the totals at the end.
func transcript(seed int64) (messages int, hash uint64) {
	rng := rand.New(rand.NewSource(seed))
	n := 1 + int(seed)%7
	d := xxhash.New()
	w := newWorld(n, 8, seed)
	w.record = func(from, to int, data []byte) { fmt.Fprintf(d, "%d to %d: %x\n", from, to, data) }
	w.loss, w.duplicates = []float64{0, 0.3}[rng.Intn(2)], []float64{0, 0.5}[rng.Intn(2)]
	for range 30 {
		i := rng.Intn(n)
		switch rng.Intn(8) {
		case 0:
			for k := range w.partition {
				w.partition[k] = rng.Intn(2)
			}
		case 1:
			w.start(i)
		default:
			for range rng.Intn(5) {
				w.add(i, w.keys[rng.Intn(len(w.keys))], Totals{1, uint64(rng.Intn(3)), uint64(rng.Intn(2)), 3 * rng.Float64()})
			}
			w.run(time.Duration(rng.Intn(8000)) * time.Millisecond)
		}
	}
	clear(w.partition)
	w.run(time.Minute)
	for _, x := range w.aggregators {
		for _, s := range x.FleetTotals() {
			fmt.Fprintf(d, "%t %s %t %d %d %d %v\n", s.Key.IsClass, s.Key.Name, s.Primary, s.Served, s.Rejected, s.Failed, s.Units)
		}
	}
	return w.sent, d.Sum64()
}

// During a roll-out gateways of two versions report to each other. A change of the messages, of when they are sent or
// of what is added up shows as another transcript of the random histories: the stored ones are of an earlier version.
func TestStoredTranscripts(t *testing.T) {
	storeddata.CheckTranscripts(t, "testdata/transcripts.txt", transcript)
}
