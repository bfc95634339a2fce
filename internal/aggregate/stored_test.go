package aggregate

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"winghatch/internal/testbed/storeddata"
)

// transcript runs a random simulation of a small fleet. It returns the number of messages that the gateways
// sent, and a hash of these messages and the final totals.
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
				w.add(i, w.keys[rng.Intn(len(w.keys))],
					Totals{1, uint64(rng.Intn(3)), uint64(rng.Intn(2)), 3 * rng.Float64()})
			}
			w.run(time.Duration(rng.Intn(8000)) * time.Millisecond)
		}
	}
	clear(w.partition)
	w.run(time.Minute)
	for _, x := range w.aggregators {
		for _, s := range x.FleetTotals() {
			fmt.Fprintf(d, "%t %s %t %d %d %d %v\n",
				s.Key.IsClass, s.Key.Name, s.Primary, s.Served, s.Rejected, s.Failed, s.Units)
		}
	}
	return w.sent, d.Sum64()
}

// During a rollout, gateways of two versions report to each other. If the messages, their timing or the
// summation differ between versions, the totals are wrong. The test repeats random simulations and compares
// their transcripts with those stored by an earlier version.
func TestStoredTranscripts(t *testing.T) {
	storeddata.CheckTranscripts(t, "testdata/transcripts.txt", transcript)
}
