package gossip

import (
	"slices"
	"time"
)

const (
	// incarnationTimeout is the time without datagrams from the latest incarnation of a sender after which an
	// earlier epoch is accepted. Epochs are times on the sender's wall clock. A sender that restarts after
	// its clock was set back has a lower epoch than before, and without this exception its datagrams would be
	// dropped forever.
	incarnationTimeout = 2 * time.Second

	// maxIncarnations is the number of incarnations of a sender that are remembered, so that old datagrams
	// are still recognized when an earlier incarnation, or a copy of its datagrams, reappears.
	maxIncarnations = 4

	// replayWindowSize is the number of sequence numbers, up to the highest one, that are tracked for an
	// incarnation. Datagrams with lower sequence numbers are dropped. It is the number of bits in
	// replayWindow.seen.
	replayWindowSize = 64
)

// replayFilter detects repeated datagrams of one sender and those of its earlier incarnations.
type replayFilter struct {
	incarnations []replayWindow // ordered by the last accepted datagram with the latest one last
	lastReceived time.Time      // when a datagram was last accepted
}

// accept reports whether a datagram is new and, if so, records it.
func (f *replayFilter) accept(epoch, sequence uint64, now time.Time) bool {
	if n := len(f.incarnations); n > 0 {
		latest := f.incarnations[n-1].epoch
		if epoch < latest && now.Sub(f.lastReceived) < incarnationTimeout {
			return false
		}
	}
	w := replayWindow{epoch: epoch}
	index := slices.IndexFunc(f.incarnations, func(i replayWindow) bool { return i.epoch == epoch })
	if index >= 0 {
		w = f.incarnations[index]
	}
	if !w.accept(sequence) {
		return false
	}
	if index >= 0 {
		f.incarnations = slices.Delete(f.incarnations, index, index+1)
	}
	f.incarnations = append(f.incarnations, w)
	if len(f.incarnations) > maxIncarnations {
		f.incarnations = slices.Delete(f.incarnations, 0, 1)
	}
	f.lastReceived = now
	return true
}

// replayWindow records the sequence numbers that were received from one incarnation.
type replayWindow struct {
	epoch   uint64
	highest uint64 // highest sequence number received; 0: none
	seen    uint64 // bit n is set if highest-n was received
}

// accept reports whether a sequence number is new and, if so, records it.
func (w *replayWindow) accept(sequence uint64) bool {
	if sequence > w.highest {
		w.advance(sequence)
		return true
	}
	age := w.highest - sequence
	if age >= replayWindowSize || w.seen>>age&1 == 1 {
		return false
	}
	w.seen |= 1 << age
	return true
}

// advance moves the window to a new highest sequence number.
func (w *replayWindow) advance(sequence uint64) {
	if step := sequence - w.highest; step < replayWindowSize {
		w.seen = w.seen<<step | 1
	} else {
		w.seen = 1
	}
	w.highest = sequence
}
