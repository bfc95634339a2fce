package outbox

import (
	"math/rand"
	"time"
)

// ShipEvent is something that a shipper is told.
type ShipEvent interface{ shipEvent() }

// ShipAction is something that a shipper wants done.
type ShipAction interface{ shipAction() }

type (
	// Start is the first event.
	Start struct{}
	// Fetched is the answer to Fetch: events in order; To is the last record that was looked at.
	Fetched struct {
		Events []Event
		To     uint64
		Err    string
	}
	// Posted is the answer to Post.
	Posted struct {
		Status     int           // 0: no answer
		RetryAfter time.Duration // 0: not told
		Whole      bool          // the whole body was taken before the answer came
		Why        string
	}
	// Stored is the answer to SetAside.
	Stored struct{ Err string }
	// Woken is the answer to Sleep.
	Woken struct{}
	// More says that records have become durable.
	More struct{}

	// Fetch asks for what is durable behind a record.
	Fetch struct {
		Behind uint64
		Most   int
	}
	// Post sends events in one batch.
	Post struct{ Events []Event }
	// SetAside keeps an event that the receiver will not take, where it does not hold up the others.
	SetAside struct {
		Event Event
		Why   string
	}
	// Ack says that the receiver has all up to a record, or that they are set aside.
	Ack struct{ Rec uint64 }
	// Sleep asks for Woken after a time, or, if Idle, for More as soon as there is more.
	Sleep struct {
		For  time.Duration
		Idle bool
	}
)

func (Start) shipEvent()   {}
func (Fetched) shipEvent() {}
func (Posted) shipEvent()  {}
func (Stored) shipEvent()  {}
func (Woken) shipEvent()   {}
func (More) shipEvent()    {}

func (Fetch) shipAction()    {}
func (Post) shipAction()     {}
func (SetAside) shipAction() {}
func (Ack) shipAction()      {}
func (Sleep) shipAction()    {}

const (
	backoffLeast = 100 * time.Millisecond
	backoffMost  = 30 * time.Second
	retryMost    = 5 * time.Minute // of what a receiver may ask for
	idleLook     = time.Second
	quietAck     = 10000 // records that are no events are acknowledged by so many
)

// ShipSettings are what a shipper starts from.
type ShipSettings struct {
	Behind uint64 // last record that the receiver has
	Batch  int    // events in a batch
	Seed   int64
}

// Shipper decides what goes to the receiver. One action at a time is out: it gets its answer before the next. It is
// not safe for concurrent use.
type Shipper struct {
	s       ShipSettings
	rng     *rand.Rand
	behind  uint64  // done up to there
	acked   uint64  // as last told
	to      uint64  // the fetched ones end there
	events  []Event // fetched and not done
	part    int     // of them, the first so many are in the next batch
	backoff time.Duration
	Counts  ShipCounts
}

// ShipCounts are for operators.
type ShipCounts struct {
	Sent       uint64        `json:"Sent"`
	Batches    uint64        `json:"Batches"`
	Again      uint64        `json:"Again"`
	SetAside   uint64        `json:"SetAside"`
	LastStatus int           `json:"LastStatus"`
	LastWhy    string        `json:"LastWhy"`
	Backoff    time.Duration `json:"Backoff"`
}

// NewShipper returns a shipper.
func NewShipper(s ShipSettings) *Shipper {
	s.Batch = max(1, s.Batch)
	return &Shipper{s: s, rng: rand.New(rand.NewSource(s.Seed)), behind: s.Behind, acked: s.Behind}
}

// Handle takes an event and returns the one thing to be done next, with an Ack before it where one is due.
func (s *Shipper) Handle(ev ShipEvent) []ShipAction {
	switch e := ev.(type) {
	case Fetched:
		if e.Err != "" {
			s.Counts.LastWhy = e.Err
			return []ShipAction{s.wait(0)}
		}
		s.events, s.to = e.Events, e.To
		s.part = len(e.Events)
		if len(e.Events) == 0 {
			// Only records that are no events. An acknowledgement is such a record itself: one for each would bring the
			// next, for ever.
			if s.behind = max(s.behind, e.To); s.behind-s.acked >= quietAck {
				s.acked = s.behind
				return []ShipAction{Ack{s.behind}, Sleep{idleLook, true}}
			}
			return []ShipAction{Sleep{idleLook, true}}
		}
		return []ShipAction{s.post()}
	case Posted:
		return s.posted(e)
	case Stored:
		if e.Err != "" {
			s.Counts.LastWhy = e.Err
			return []ShipAction{s.wait(0)} // it is posted again, and refused again, until it can be kept
		}
		s.Counts.SetAside++
		return s.done(1)
	}
	if len(s.events) > 0 {
		return []ShipAction{s.post()}
	}
	return []ShipAction{Fetch{s.behind, s.s.Batch}}
}

func (s *Shipper) post() ShipAction {
	s.Counts.Batches++
	return Post{s.events[:s.part]}
}

// done takes the first n off and goes on.
func (s *Shipper) done(n int) []ShipAction {
	last := s.events[n-1].Rec
	s.events = s.events[n:]
	if len(s.events) == 0 {
		last = s.to
	}
	s.behind = last
	s.backoff, s.Counts.Backoff = 0, 0
	s.acked = last
	out := []ShipAction{Ack{last}}
	if len(s.events) > 0 {
		// After a half that was taken whole the rest is tried whole: most batches hold one bad event at most.
		s.part = len(s.events)
		return append(out, s.post())
	}
	return append(out, Fetch{s.behind, s.s.Batch})
}

func (s *Shipper) posted(e Posted) []ShipAction {
	s.Counts.LastStatus, s.Counts.LastWhy = e.Status, e.Why
	switch {
	case e.Status >= 200 && e.Status < 300 && e.Whole:
		s.Counts.Sent += uint64(s.part)
		return s.done(s.part)
	case e.Status == 400 || e.Status == 413 || e.Status == 422:
		// The receiver will never take this batch. Halves of it find the event that is to blame, which alone is set
		// aside.
		if s.part > 1 {
			s.part /= 2
			return []ShipAction{s.post()}
		}
		return []ShipAction{SetAside{s.events[0], e.Why}}
	}
	s.Counts.Again++
	return []ShipAction{s.wait(e.RetryAfter)}
}

// wait backs off, with jitter: many gateways lose one receiver at the same moment.
func (s *Shipper) wait(asked time.Duration) ShipAction {
	s.backoff = min(backoffMost, max(backoffLeast, 2*s.backoff))
	d := s.backoff/2 + time.Duration(s.rng.Int63n(int64(s.backoff/2)))
	s.Counts.Backoff = max(d, min(asked, retryMost))
	return Sleep{s.Counts.Backoff, false}
}
