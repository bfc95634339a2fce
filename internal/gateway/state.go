package gateway

import (
	"maps"
	"strconv"
	"time"

	"winghatch/decide"
	"winghatch/internal/usage/outbox"
)

// State is the response to GET /state. All counts are since the start of the process. Tools and scripts read
// the JSON keys, so the keys must not change; TestJSONKeys verifies them.
type State struct {
	Fleet              string            `json:"fleet"`
	Rank               int               `json:"rank"`
	Zone               string            `json:"zone,omitempty"`
	Uptime             time.Duration     `json:"up_ns"`
	Sessions           int               `json:"sessions"`
	OpenRequests       int64             `json:"open"`
	QueueLength        int               `json:"queue"` // inputs queued for the loop
	LoopTurns          int64             `json:"turns"`
	Served             int64             `json:"served"`
	Rejected           map[string]int64  `json:"refused"`     // requests rejected by the loop, by reason
	FrontendRejections map[string]int64  `json:"turned_away"` // rejected by the frontend, by reason
	Failed             int64             `json:"failed"`
	Abandoned          int64             `json:"gone"` // requests whose client disconnected first
	Attempts           int64             `json:"attempts"`
	Outcomes           map[string]int64  `json:"outcomes"` // ended attempts by outcome
	LateResponses      int64             `json:"late"`     // results of attempts that had already ended
	ServerConnections  int               `json:"node_connections"`
	Datagrams          DatagramCounts    `json:"datagrams"`
	CustomerNames      map[uint64]string `json:"names"` // member names by their customer keys in Core
	Core               CoreState         `json:"core"`

	PlanChanges    int                `json:"changes"`     // number of plan changes known to this gateway
	PlanDigest     string             `json:"changes_sum"` // equal on gateways that know the same changes
	Reservations   []ReservationState `json:"reservations,omitempty"`
	Usage          *UsageState        `json:"export,omitempty"`
	PlanLogFailure string             `json:"book_log,omitempty"` // why the plan log can't be written, if so
}

// UsageState is the state of the usage outbox.
type UsageState struct {
	Incarnation  uint64 `json:"life"`
	OpenAttempts int    `json:"open"`    // attempts without a settlement in the log
	Records      uint64 `json:"records"` // number of the last durable record
	Acknowledged uint64 `json:"acked"`   // number of the last acknowledged record
	Bytes        int64  `json:"bytes"`   // size of the log
	MaxBytes     int64  `json:"bound"`   // bound on Bytes
	// Rejecting reports whether requests are rejected because their usage can't be recorded.
	Rejecting   bool                  `json:"refusing"`
	Failure     string                `json:"failure,omitempty"` // why the log can't be written, if so
	Outbox      outbox.Counts         `json:"desk"`
	Delivery    outbox.DeliveryCounts `json:"ship"`
	LostRecords uint64                `json:"lost_records"` // records missing from the log and not exported
	// Gaps is the number of gaps, and TornBytes the length in bytes of an incomplete end, that were found
	// when the log was opened.
	Gaps      int   `json:"holes"`
	TornBytes int64 `json:"torn_bytes"`
}

// State returns the current state of the gateway. It waits for the loop.
func (g *Gateway) State() State {
	s := State{
		Fleet:              g.fleet.Name,
		Rank:               g.rank,
		Zone:               g.fleet.Gateways[g.rank].Zone,
		Uptime:             g.clock.Now() - clockOrigin,
		Sessions:           g.frontend.SessionCount(),
		FrontendRejections: g.frontend.Rejections(),
		ServerConnections:  g.upstream.Conns(),
		Rejected:           map[string]int64{},
		Outcomes:           map[string]int64{},
		CustomerNames:      map[uint64]string{},
	}
	if g.peers != nil {
		s.Datagrams = datagramCounts(g.peers.Counts())
	}
	for _, m := range g.fleet.Members {
		s.CustomerNames[decide.CustomerKey(m.Name)] = m.Name
	}
	l := g.loop
	l.Do(func() { l.addTo(&s) })
	s.OpenRequests = l.OpenRequests.Load()
	s.Served = l.Served.Load()
	s.Failed = l.Failed.Load()
	s.Abandoned = l.Abandoned.Load()
	s.Attempts = l.Attempts.Load()
	s.LateResponses = l.LateResponses.Load() + g.upstream.LateResponses()
	return s
}

// addTo sets the fields of s that the loop owns.
func (l *Loop) addTo(s *State) {
	s.QueueLength = l.queue.len()
	s.LoopTurns = l.turns
	s.Core = CoreState{l.core.Status()}
	if l.usage != nil {
		s.Usage = l.usage.state()
	}
	changes, digest := l.plans.replica.Digest()
	s.PlanChanges, s.PlanDigest = changes, strconv.FormatUint(digest, 16)
	s.Reservations = convertAll(l.plans.reservations.Views(), reservationState)
	s.PlanLogFailure = l.plans.failure
	maps.Copy(s.Rejected, l.rejections)
	maps.Copy(s.Outcomes, l.outcomes)
}

// state returns the state of the usage outbox for operators.
func (u *usageOutbox) state() *UsageState {
	return &UsageState{
		Incarnation:  u.outbox.Incarnation(),
		OpenAttempts: u.outbox.Unsettled(),
		Records:      u.log.LastDurable(),
		Acknowledged: u.outbox.LastAcknowledged(),
		Bytes:        u.log.Size(),
		MaxBytes:     u.maxBytes,
		Rejecting:    u.rejecting(),
		Failure:      u.failure,
		Outbox:       u.outbox.Counts,
		Delivery:     u.sender.Counts(),
		LostRecords:  u.sender.LostRecords.Load(),
		Gaps:         u.gaps,
		TornBytes:    u.tornBytes,
	}
}

// LoopSummary is the summary of a loop that package platform logs periodically.
type LoopSummary struct {
	Core     decide.Summary
	Rejected map[string]int64 // rejected requests by reason, since the start
	Outcomes map[string]int64 // ended attempts by outcome, since the start
	// OpenRequests counts the requests without a final answer and those with attempts in flight.
	OpenRequests int
	// TimerLag is the longest delay of a timer since the last summary. A large value means that the process
	// was busy or not scheduled.
	TimerLag time.Duration
	// LongestTurn is the duration of the longest turn of the loop since the last summary.
	LongestTurn time.Duration
	// QueueWait is the longest time since the last summary that an input waited in the queue.
	QueueWait time.Duration
}

// Summary returns a summary and resets TimerLag, LongestTurn and QueueWait.
func (l *Loop) Summary() (s LoopSummary) {
	l.Do(func() {
		s = LoopSummary{
			Core:         l.core.Summary(),
			Rejected:     maps.Clone(l.rejections),
			Outcomes:     maps.Clone(l.outcomes),
			OpenRequests: len(l.requests),
			TimerLag:     l.timerLag,
			LongestTurn:  l.longestTurn,
			QueueWait:    l.queueWait,
		}
		l.timerLag, l.longestTurn, l.queueWait = 0, 0, 0
	})
	return s
}
