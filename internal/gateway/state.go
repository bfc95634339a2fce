package gateway

import (
	"maps"
	"strconv"
	"time"

	"winghatch/decide"
	"winghatch/internal/usage/outbox"
)

// State is what operators read of a gateway at GET /state. Counts are since the start of the process. The JSON keys are
// read by tools and scripts and never change; TestJSONKeys pins them.
type State struct {
	Fleet              string            `json:"fleet"`
	Rank               int               `json:"rank"`
	Zone               string            `json:"zone,omitempty"`
	Uptime             time.Duration     `json:"up_ns"`
	Sessions           int               `json:"sessions"`
	OpenRequests       int64             `json:"open"`
	QueueLength        int               `json:"queue"` // of the loop's inputs
	LoopTurns          int64             `json:"turns"`
	Served             int64             `json:"served"`
	Rejected           map[string]int64  `json:"refused"`     // by reason
	FrontendRejections map[string]int64  `json:"turned_away"` // by reason; these never reached the loop
	Failed             int64             `json:"failed"`
	Abandoned          int64             `json:"gone"` // requests whose client left first
	Attempts           int64             `json:"attempts"`
	Outcomes           map[string]int64  `json:"outcomes"` // of attempts
	LateResponses      int64             `json:"late"`     // to attempts that had ended
	ServerConnections  int               `json:"node_connections"`
	Datagrams          DatagramCounts    `json:"datagrams"`
	CustomerNames      map[uint64]string `json:"names"` // by their keys in Core
	Core               CoreState         `json:"core"`

	PlanChanges    int                `json:"changes"`     // that are known here
	PlanDigest     string             `json:"changes_sum"` // equal where the same changes are known
	Reservations   []ReservationState `json:"reservations,omitempty"`
	Usage          *UsageState        `json:"export,omitempty"`
	PlanLogFailure string             `json:"book_log,omitempty"` // why the plan log can't be written
}

// UsageState is the state of the usage outbox.
type UsageState struct {
	Incarnation  uint64                `json:"life"`
	OpenAttempts int                   `json:"open"` // without a settlement in the log
	Records      uint64                `json:"records"`
	Acknowledged uint64                `json:"acked"` // the receiver has all records up to this one
	Bytes        int64                 `json:"bytes"` // of the log
	MaxBytes     int64                 `json:"bound"`
	Rejecting    bool                  `json:"refusing"` // requests are rejected, as their use can't be recorded
	Failure      string                `json:"failure,omitempty"`
	Outbox       outbox.Counts         `json:"desk"`
	Delivery     outbox.DeliveryCounts `json:"ship"`
	LostRecords  uint64                `json:"lost_records"`
	Gaps         int                   `json:"holes"`      // in the log, as of the start
	TornBytes    int64                 `json:"torn_bytes"` // at the log's end, as of the start
}

// State returns the state as of now. It waits for the loop.
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

// addTo adds what the loop owns.
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

// LoopSummary is what package platform logs of a loop now and then.
type LoopSummary struct {
	Rejected     map[string]int64 // by reason, since the start
	Outcomes     map[string]int64 // of attempts, since the start
	Pressure     float64
	RetryBudget  float64
	OpenRequests int           // with a final answer too, while attempts are in flight
	TimerLag     time.Duration // how late a timer was at most: the process was not scheduled, or busy
	LongestTurn  time.Duration // of the loop
}

// Summary returns a summary. TimerLag and LongestTurn are since the last one.
func (l *Loop) Summary() (s LoopSummary) {
	l.Do(func() {
		status := l.core.Status()
		s = LoopSummary{
			Rejected:     maps.Clone(l.rejections),
			Outcomes:     maps.Clone(l.outcomes),
			Pressure:     status.Pressure,
			RetryBudget:  status.RetryBudget,
			OpenRequests: len(l.requests),
			TimerLag:     l.timerLag,
			LongestTurn:  l.longestTurn,
		}
		l.timerLag, l.longestTurn = 0, 0
	})
	return s
}
