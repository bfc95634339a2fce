package gossip

import (
	"slices"
	"time"
)

const (
	// incarnationTimeout is how long the known incarnation of a sender has to be silent before an earlier epoch is
	// accepted. Epochs are times of the sender's wall clock: one that restarts after a step back of its clock has the
	// smaller epoch, and its datagrams would otherwise be dropped for good.
	incarnationTimeout = 2 * time.Second

	// maxIncarnations is how many incarnations of a sender are remembered, so that old datagrams are still recognized
	// when an incarnation, or a copy of its datagrams, comes back.
	maxIncarnations = 4

	// replayWindowSize is how many sequence numbers up to the highest are remembered of an incarnation; datagrams that
	// are overtaken by more are dropped.
	replayWindowSize = 64
)

// sender distinguishes new datagrams of one sender from repeated ones and from those of an earlier incarnation.
type sender struct {
	incarnations []replayWindow // in the order in which they were last received
	lastReceived time.Time
}

// accept reports whether a datagram is new, and remembers it.
func (s *sender) accept(epoch, sequence uint64, now time.Time) bool {
	if n := len(s.incarnations); n > 0 {
		latest := s.incarnations[n-1].epoch
		if epoch < latest && now.Sub(s.lastReceived) < incarnationTimeout {
			return false
		}
	}
	w := replayWindow{epoch: epoch}
	at := slices.IndexFunc(s.incarnations, func(i replayWindow) bool { return i.epoch == epoch })
	if at >= 0 {
		w = s.incarnations[at]
	}
	if !w.accept(sequence) {
		return false
	}
	if at >= 0 {
		s.incarnations = slices.Delete(s.incarnations, at, at+1)
	}
	s.incarnations = append(s.incarnations, w)
	if len(s.incarnations) > maxIncarnations {
		s.incarnations = slices.Delete(s.incarnations, 0, 1)
	}
	s.lastReceived = now
	return true
}

// replayWindow holds the sequence numbers that were received of one incarnation.
type replayWindow struct {
	epoch   uint64
	highest uint64
	seen    uint64 // bit n: highest-n was received
}

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

// advance moves the window to a new highest number.
func (w *replayWindow) advance(sequence uint64) {
	if step := sequence - w.highest; step < replayWindowSize {
		w.seen = w.seen<<step | 1
	} else {
		w.seen = 1
	}
	w.highest = sequence
}
