// Package decide makes the decisions of a quota-keeping API gateway: whom to let in, which server to
// send a request to, when to try again and when to stop.
//
// A [Gateway] is a plain state machine. The caller owns the clock, the network and the queue of events; it
// calls [Gateway.Handle] once for each [Event] and carries out the returned actions in order. The package
// does no I/O, reads no clock, starts no goroutine and keeps no state outside the Gateway: the same
// configuration, seed and events always give the same actions. A Gateway is not safe for concurrent use.
//
// All times are a [time.Duration] since an origin of the caller's choice; they must never run backwards.
package decide

import (
	"fmt"
	"math"
	"time"
)

// Idempotency says whether a request of a class may run more than once.
type Idempotency int

// The effects a class may have.
const (
	NotIdempotent   Idempotency = iota // must never run twice
	IdempotentByKey                    // servers of one Group drop a repeat within the class's Window
	Idempotent                         // may run any number of times
)

// DedupScope says which servers drop each other's repeats of a keyed request.
type DedupScope int

// The groups of servers.
const (
	DedupInCell DedupScope = iota
	DedupInZone
	DedupInFleet
)

// Class describes a kind of request.
type Class struct {
	Name             string
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long a repeat is dropped
	LatencyObjective time.Duration // an answer within this earns the full worth
	ObjectiveStretch float64       // the aim grows by this multiple of a request's own work
	Deadline         time.Duration // what a client waits for over all of its tries
	PriorityWeight   float64
	LateWeight       float64 // part of the worth that an answer past the aim earns
	Streaming        bool
}

// Plan describes the quota of each customer on it, over all gateways together.
type Plan struct {
	Name           string
	Rate           float64 // units a second; 0 means no such quota
	Burst          float64 // units at once
	CeilingRate    float64 // hard ceiling, units a second; 0 means none
	CeilingBurst   float64
	CeilingSlack   float64
	MaxInFlight    int // attempts out at once; 0 means no such quota
	PriorityWeight float64
	OverQuotaValue float64 // part of its worth that a request earns when sent on beyond the quota
	OverQuotaCost  float64 // part of its worth that such a request costs
}

// Limits tells what a gateway is allowed to do.
type Limits struct {
	MaxAttempts    int
	Hedging        bool // two attempts of a request may be out at once
	Cancel         bool
	Gossip         bool
	HealthChecks   bool
	RetryAfter     bool
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
}

// Safety holds the figures of the rules.
type Safety struct {
	AnswerSlack       time.Duration
	DrainGrace        time.Duration
	SlowStartCapacity float64       // part of its capacity that a started server has at least
	SlowStartDuration time.Duration // it is warm no later than this
	OverloadMultiple  float64       // work beyond this multiple of its present capacity ...
	OverloadWindow    time.Duration // ... for this long makes it fall over
	ListMaxAge        time.Duration // with Subscribe: how long an unasked list stays good
}

// Prices are points taken off the result, each for one unit of what it names.
type Prices struct {
	CrossZone, Waste, HealthCheck, Gossip, LateFailure, Counter float64
}

// Config is all that a gateway is told when it starts.
type Config struct {
	Rank, Gateways    int // this gateway's number, from 0, and how many there are
	Zone              string
	Classes           []Class
	Plans             []Plan
	SettledOnResponse bool // units told with a request are a guess; the answer tells the true ones
	MaxUnits          float64
	UsageReportPeriod time.Duration // 0: no meter
	GossipCapacity    float64       // messages a second that a gateway takes in
	Counter           bool          // a shared counter may be called
	CounterTimeout    time.Duration
	Limits            Limits
	Safety            Safety
	Prices            Prices
	ReportsOnProbe    bool // load reports come with probe results only
	Subscribe         bool // list changes come only when asked for
}

func checkNonNegative(field string, v float64) error {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return fmt.Errorf("decide: %s is %v, want a number of 0 or more", field, v)
	}
	return nil
}

// Validate reports the first setting that a gateway can't work with.
func (c *Config) Validate() error {
	if c.Gateways < 1 {
		return fmt.Errorf("decide: Gateways is %d, want 1 or more", c.Gateways)
	}
	if c.Rank < 0 || c.Rank >= c.Gateways {
		return fmt.Errorf("decide: Rank is %d, want 0 to %d", c.Rank, c.Gateways-1)
	}
	if len(c.Classes) == 0 {
		return fmt.Errorf("decide: Classes is empty, want one or more")
	}
	if c.Limits.MaxAttempts < 1 {
		return fmt.Errorf("decide: Limits.MaxAttempts is %d, want 1 or more", c.Limits.MaxAttempts)
	}
	if c.Safety.SlowStartDuration > 0 && c.Safety.OverloadWindow <= 0 {
		return fmt.Errorf("decide: Safety.FallWindow is %v, want more than 0", c.Safety.OverloadWindow)
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"Safety.ColdFrom", c.Safety.SlowStartCapacity}, {"Safety.FallMultiple", c.Safety.OverloadMultiple},
		{"PeerIntake", c.GossipCapacity}, {"MaxUnits", c.MaxUnits}} {
		if err := checkNonNegative(f.name, f.v); err != nil {
			return err
		}
	}
	for i, k := range c.Classes {
		if err := k.validate(fmt.Sprintf("Classes[%d]", i)); err != nil {
			return err
		}
	}
	for i, p := range c.Plans {
		if err := p.validate(fmt.Sprintf("Plans[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

func (k *Class) validate(at string) error {
	if k.Name == "" {
		return fmt.Errorf("decide: %s.Name is empty", at)
	}
	if k.LatencyObjective <= 0 {
		return fmt.Errorf("decide: %s.Aim is %v, want more than 0", at, k.LatencyObjective)
	}
	return checkNonNegative(at+".Worth", k.PriorityWeight)
}

func (p *Plan) validate(at string) error {
	if p.Name == "" {
		return fmt.Errorf("decide: %s.Name is empty", at)
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"Rate", p.Rate}, {"Burst", p.Burst}, {"CeilingRate", p.CeilingRate},
		{"CeilingBurst", p.CeilingBurst}, {"CeilingSlack", p.CeilingSlack}, {"MaxOpen", float64(p.MaxInFlight)},
		{"Price", p.PriorityWeight}, {"OverWorth", p.OverQuotaValue}, {"OverCost", p.OverQuotaCost}} {
		if err := checkNonNegative(at+"."+f.name, f.v); err != nil {
			return err
		}
	}
	return nil
}

// Outcome tells how an attempt, a probe or a counter call ended.
type Outcome int

// The outcomes. Full, NoConnection and Moot prove that the attempt never ran.
const (
	OutcomeOK Outcome = 1 + iota
	OutcomeError
	OutcomeRejected
	OutcomeTimedOut
	OutcomeConnectFailed
	OutcomeReset
	OutcomeCancelled
	OutcomeNotDispatched
)

// neverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) neverRan() bool {
	return o == OutcomeRejected || o == OutcomeConnectFailed || o == OutcomeNotDispatched
}

// ServerState is what the list of servers says of one of them.
type ServerState int

// The states of a server.
const (
	Serving ServerState = iota
	Draining
	Removed
)

// Server is an entry of the list of servers.
type Server struct {
	ID        string
	Zone      string
	Cell      int
	Kind      string
	State     ServerState
	StartedAt time.Duration // 0: long ago
	Weight    float64
}

// LoadReport is a server's own account of its load, by name of the figure (queue, util, qps, latency_ms,
// inflight, errors_per_s).
type LoadReport map[string]float64

// Event is something that a gateway is told.
type Event interface{ event() }

// UpdateKind tells how an EndpointUpdate is to be read.
type UpdateKind int

// The kinds of update.
const (
	DeltaUpdate  UpdateKind = iota // changed entries only
	FullUpdate                     // the whole list
	StaleUpdate                    // the whole list as last held, maybe long out of date
	FailedUpdate                   // asking failed; the former list stays
)

type (
	// EndpointUpdate brings news of the list of servers.
	EndpointUpdate struct {
		Kind    UpdateKind
		Version uint64
		Servers []Server
	}
	// Request is a client's request; it must get one final answer before Deadline.
	Request struct {
		ID, Class, Plan, Customer  string
		Units                      float64
		Deadline                   time.Duration
		FirstGateway, GatewayCount int // the customer's gateways: number of the first, and how many
		IsRetry                    bool
		Mutates                    bool
		Reserved                   bool // its units were set aside elsewhere: no bucket is asked or charged
	}
	// PlanChange puts a customer on the terms given, from now on, whatever plan its requests name. The plan's name must
	// be of a known one. What the customer has used stays used; ReturnedUnits units of it are given back.
	PlanChange struct {
		Customer      string
		Plan          Plan
		ReturnedUnits float64
	}
	// ResponseStarted says that a streamed answer has begun.
	ResponseStarted struct {
		ID, Server string
		Attempt    int
		Duration   time.Duration
	}
	// AttemptEnded tells how an attempt ended. RequestDone: the request is finished.
	AttemptEnded struct {
		ID, Server    string
		Attempt       int
		Outcome       Outcome
		Duration      time.Duration
		RequestDone   bool
		ReportedUsage int     // 1 + the customer's use in percent of its rate; 0: not told
		ActualUnits   float64 // 0: not told
		LoadReport    LoadReport
	}
	// ClientDisconnected says that the client left; no answer is owed.
	ClientDisconnected struct{ ID string }
	// TimerFired is the answer to SetTimer.
	TimerFired struct{ Token uint64 }
	// HealthCheckEnded is the answer to HealthCheck.
	HealthCheckEnded struct {
		Server     string
		Outcome    Outcome
		Duration   time.Duration
		LoadReport LoadReport
	}
	// GossipReceived is what another gateway told.
	GossipReceived struct {
		From int
		Text string
	}
	// CounterUpdated is the answer to AddToCounter.
	CounterUpdated struct {
		Name     uint64
		Outcome  Outcome
		Total    float64
		Duration time.Duration
	}
)

func (EndpointUpdate) event()     {}
func (Request) event()            {}
func (ResponseStarted) event()    {}
func (AttemptEnded) event()       {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (HealthCheckEnded) event()   {}
func (GossipReceived) event()     {}
func (CounterUpdated) event()     {}
func (PlanChange) event()         {}

// RejectReason tells refusals apart, for operators; clients need none of it.
type RejectReason string

// The reasons of a refusal.
const (
	ReasonOverQuota           RejectReason = "over_mark" // the customer's bucket is over its mark
	ReasonTooManyInFlight     RejectReason = "over_cap"  // its attempts out are
	ReasonOverCeiling         RejectReason = "over_ceiling"
	ReasonLoadShed            RejectReason = "shed"      // the servers are pressed and others are worth more
	ReasonDeadlineUnreachable RejectReason = "hopeless"  // an answer can't be in time
	ReasonNoServer            RejectReason = "no_server" // none may take it
	ReasonNeverExecuted       RejectReason = "in_vain"   // attempts were made, none of which ran
	ReasonUnknownClassOrPlan  RejectReason = "not_offered"
)

// Action is something that a gateway wants done.
type Action interface{ action() }

type (
	// Send starts an attempt. A request's attempts are numbered from 0.
	Send struct {
		ID, Server  string
		Timeout     time.Duration // 0: until the client gives up
		WriteBefore time.Duration // it may be written up to then, however long its connection takes; 0: always
	}
	// Cancel stops waiting for an attempt.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Reject is a final answer that promises the client that trying again does no harm.
	Reject struct {
		ID         string
		RetryAfter time.Duration // 0: no advice
		Reason     RejectReason
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID string }
	// SetTimer asks for a TimerFired.
	SetTimer struct {
		At    time.Duration
		Token uint64
	}
	// HealthCheck asks a server for its load.
	HealthCheck struct{ Server string }
	// CloseIdle drops the idle connections to a server.
	CloseIdle struct{ Server string }
	// Subscribe asks for changes of the list of servers, or no more of them.
	Subscribe struct{ On bool }
	// FetchList asks for the whole list once.
	FetchList struct{}
	// SendGossip sends a message to one peer.
	SendGossip struct {
		To   int
		Text string
	}
	// AddToCounter adds to a named number of the shared counter.
	AddToCounter struct {
		Name uint64
		Add  float64
		TTL  time.Duration
	}
	// Log adds a line to the operator's log.
	Log struct{ Text string }
)

func (Send) action()         {}
func (Cancel) action()       {}
func (Reject) action()       {}
func (Fail) action()         {}
func (SetTimer) action()     {}
func (HealthCheck) action()  {}
func (CloseIdle) action()    {}
func (Subscribe) action()    {}
func (FetchList) action()    {}
func (SendGossip) action()   {}
func (AddToCounter) action() {}
func (Log) action()          {}
