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

// Effect says whether a request of a class may run more than once.
type Effect int

// The effects a class may have.
const (
	Unsafe Effect = iota // must never run twice
	Keyed                // servers of one Group drop a repeat within the class's Window
	Safe                 // may run any number of times
)

// Group says which servers drop each other's repeats of a keyed request.
type Group int

// The groups of servers.
const (
	GroupCell Group = iota
	GroupZone
	GroupAll
)

// Class describes a kind of request.
type Class struct {
	Name       string
	Effect     Effect
	Group      Group         // for Keyed
	Window     time.Duration // for Keyed: how long a repeat is dropped
	Aim        time.Duration // an answer within this earns the full worth
	AimStretch float64       // the aim grows by this multiple of a request's own work
	Deadline   time.Duration // what a client waits for over all of its tries
	Worth      float64
	LateWorth  float64 // part of the worth that an answer past the aim earns
	Stream     bool
}

// Plan describes the quota of each customer on it, over all gateways together.
type Plan struct {
	Name         string
	Rate         float64 // units a second; 0 means no such quota
	Burst        float64 // units at once
	CeilingRate  float64 // hard ceiling, units a second; 0 means none
	CeilingBurst float64
	CeilingSlack float64
	MaxOpen      int // attempts out at once; 0 means no such quota
	Price        float64
	OverWorth    float64 // part of its worth that a request earns when sent on beyond the quota
	OverCost     float64 // part of its worth that such a request costs
}

// Limits tells what a gateway is allowed to do.
type Limits struct {
	MaxAttempts    int
	Parallel       bool // two attempts of a request may be out at once
	Cancel         bool
	Peers          bool
	Probes         bool
	RetryAfter     bool
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
}

// Safety holds the figures of the rules.
type Safety struct {
	AnswerSlack  time.Duration
	DrainGrace   time.Duration
	ColdFrom     float64       // part of its capacity that a started server has at least
	ColdFor      time.Duration // it is warm no later than this
	FallMultiple float64       // work beyond this multiple of its present capacity ...
	FallWindow   time.Duration // ... for this long makes it fall over
	AskWithin    time.Duration // with Subscribe: how long an unasked list stays good
}

// Prices are points taken off the result, each for one unit of what it names.
type Prices struct {
	CrossZone, Waste, Probe, Peer, LateFail, Counter float64
}

// Config is all that a gateway is told when it starts.
type Config struct {
	Rank, Gateways int // this gateway's number, from 0, and how many there are
	Zone           string
	Classes        []Class
	Plans          []Plan
	SettledLater   bool // units told with a request are a guess; the answer tells the true ones
	MaxUnits       float64
	MeterPeriod    time.Duration // 0: no meter
	PeerIntake     float64       // messages a second that a gateway takes in
	Counter        bool          // a shared counter may be called
	CounterTimeout time.Duration
	Limits         Limits
	Safety         Safety
	Prices         Prices
	ReportsOnProbe bool // load reports come with probe results only
	Subscribe      bool // list changes come only when asked for
}

func finite(field string, v float64) error {
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
	if c.Safety.ColdFor > 0 && c.Safety.FallWindow <= 0 {
		return fmt.Errorf("decide: Safety.FallWindow is %v, want more than 0", c.Safety.FallWindow)
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"Safety.ColdFrom", c.Safety.ColdFrom}, {"Safety.FallMultiple", c.Safety.FallMultiple},
		{"PeerIntake", c.PeerIntake}, {"MaxUnits", c.MaxUnits}} {
		if err := finite(f.name, f.v); err != nil {
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
	if k.Aim <= 0 {
		return fmt.Errorf("decide: %s.Aim is %v, want more than 0", at, k.Aim)
	}
	return finite(at+".Worth", k.Worth)
}

func (p *Plan) validate(at string) error {
	if p.Name == "" {
		return fmt.Errorf("decide: %s.Name is empty", at)
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"Rate", p.Rate}, {"Burst", p.Burst}, {"CeilingRate", p.CeilingRate},
		{"CeilingBurst", p.CeilingBurst}, {"CeilingSlack", p.CeilingSlack}, {"MaxOpen", float64(p.MaxOpen)},
		{"Price", p.Price}, {"OverWorth", p.OverWorth}, {"OverCost", p.OverCost}} {
		if err := finite(at+"."+f.name, f.v); err != nil {
			return err
		}
	}
	return nil
}

// Outcome tells how an attempt, a probe or a counter call ended.
type Outcome int

// The outcomes. Full, NoConnection and Moot prove that the attempt never ran.
const (
	OK Outcome = 1 + iota
	Error
	Full
	TimedOut
	NoConnection
	Reset
	Cancelled
	Moot
)

// neverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) neverRan() bool { return o == Full || o == NoConnection || o == Moot }

// State is what the list of servers says of one of them.
type State int

// The states of a server.
const (
	Serving State = iota
	Draining
	Gone
)

// Server is an entry of the list of servers.
type Server struct {
	ID      string
	Zone    string
	Cell    int
	Kind    string
	State   State
	Started time.Duration // 0: long ago
	Weight  float64
}

// Report is a server's own account of its load, by name of the figure (queue, util, qps, latency_ms,
// inflight, errors_per_s).
type Report map[string]float64

// Event is something that a gateway is told.
type Event interface{ event() }

// FleetKind tells how a FleetUpdate is to be read.
type FleetKind int

// The kinds of update.
const (
	FleetDelta  FleetKind = iota // changed entries only
	FleetFull                    // the whole list
	FleetStale                   // the whole list as last held, maybe long out of date
	FleetFailed                  // asking failed; the former list stays
)

type (
	// FleetUpdate brings news of the list of servers.
	FleetUpdate struct {
		Kind    FleetKind
		Version uint64
		Servers []Server
	}
	// Request is a client's request; it must get one final answer before Deadline.
	Request struct {
		ID, Class, Plan, Customer string
		Units                     float64
		Deadline                  time.Duration
		First, Spread             int // the customer's gateways: number of the first, and how many
		Again                     bool
		Write                     bool
		Reserved                  bool // its units were set aside elsewhere: no bucket is asked or charged
	}
	// Terms puts a customer on the terms given, from now on, whatever plan its requests name. The plan's name must
	// be of a known one. What the customer has used stays used; Return units of it are given back.
	Terms struct {
		Customer string
		Plan     Plan
		Return   float64
	}
	// AnswerStarted says that a streamed answer has begun.
	AnswerStarted struct {
		ID, Server string
		Attempt    int
		Took       time.Duration
	}
	// AttemptEnded tells how an attempt ended. Done: the request is finished.
	AttemptEnded struct {
		ID, Server string
		Attempt    int
		Outcome    Outcome
		Took       time.Duration
		Done       bool
		Metered    int     // 1 + the customer's use in percent of its rate; 0: not told
		TrueUnits  float64 // 0: not told
		Report     Report
	}
	// ClientGone says that the client left; no answer is owed.
	ClientGone struct{ ID string }
	// TimerFired is the answer to SetTimer.
	TimerFired struct{ Token uint64 }
	// ProbeEnded is the answer to Probe.
	ProbeEnded struct {
		Server  string
		Outcome Outcome
		Took    time.Duration
		Report  Report
	}
	// PeerMessage is what another gateway told.
	PeerMessage struct {
		From int
		Text string
	}
	// Counted is the answer to Count.
	Counted struct {
		Name    uint64
		Outcome Outcome
		Total   float64
		Took    time.Duration
	}
)

func (FleetUpdate) event()   {}
func (Request) event()       {}
func (AnswerStarted) event() {}
func (AttemptEnded) event()  {}
func (ClientGone) event()    {}
func (TimerFired) event()    {}
func (ProbeEnded) event()    {}
func (PeerMessage) event()   {}
func (Counted) event()       {}
func (Terms) event()         {}

// Reason tells refusals apart, for operators; clients need none of it.
type Reason string

// The reasons of a refusal.
const (
	OverMark   Reason = "over_mark" // the customer's bucket is over its mark
	OverCap    Reason = "over_cap"  // its attempts out are
	OverTop    Reason = "over_ceiling"
	Shed       Reason = "shed"      // the servers are pressed and others are worth more
	Hopeless   Reason = "hopeless"  // an answer can't be in time
	NoServer   Reason = "no_server" // none may take it
	InVain     Reason = "in_vain"   // attempts were made, none of which ran
	NotOffered Reason = "not_offered"
)

// Action is something that a gateway wants done.
type Action interface{ action() }

type (
	// Send starts an attempt. A request's attempts are numbered from 0.
	Send struct {
		ID, Server string
		Timeout    time.Duration // 0: until the client gives up
		Before     time.Duration // it may be written up to then, however long its connection takes; 0: always
	}
	// Cancel stops waiting for an attempt.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Refuse is a final answer that promises the client that trying again does no harm.
	Refuse struct {
		ID         string
		RetryAfter time.Duration // 0: no advice
		Reason     Reason
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID string }
	// SetTimer asks for a TimerFired.
	SetTimer struct {
		At    time.Duration
		Token uint64
	}
	// Probe asks a server for its load.
	Probe struct{ Server string }
	// CloseIdle drops the idle connections to a server.
	CloseIdle struct{ Server string }
	// Subscribe asks for changes of the list of servers, or no more of them.
	Subscribe struct{ On bool }
	// FetchList asks for the whole list once.
	FetchList struct{}
	// Tell sends a message to one peer.
	Tell struct {
		To   int
		Text string
	}
	// Count adds to a named number of the shared counter.
	Count struct {
		Name uint64
		Add  float64
		TTL  time.Duration
	}
	// Log adds a line to the operator's log.
	Log struct{ Text string }
)

func (Send) action()      {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Probe) action()     {}
func (CloseIdle) action() {}
func (Subscribe) action() {}
func (FetchList) action() {}
func (Tell) action()      {}
func (Count) action()     {}
func (Log) action()       {}
