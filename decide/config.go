package decide

import (
	"fmt"
	"math"
	"time"
)

// Idempotency says whether a request of a class may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	NotIdempotent   Idempotency = iota // must never run twice
	IdempotentByKey                    // servers drop a repeat within the class's DedupScope and DedupWindow
	Idempotent                         // may run any number of times
)

// DedupScope says which servers know each other's requests, for classes that are idempotent by key.
type DedupScope int

// The scopes.
const (
	DedupInCell DedupScope = iota
	DedupInZone
	DedupInFleet
)

// Class describes a kind of request.
type Class struct {
	Name        string
	Idempotency Idempotency
	DedupScope  DedupScope    // where a repeat is dropped, if IdempotentByKey
	DedupWindow time.Duration // how long after the first attempt a repeat is dropped, if IdempotentByKey

	// LatencyObjective is the time within which a response has its full value.
	LatencyObjective time.Duration
	// ObjectiveStretch extends the objective by this multiple of the request's own work.
	ObjectiveStretch float64
	// Deadline is the time that a client waits, over all requests with which it retries.
	Deadline time.Duration

	PriorityWeight float64 // value of a response relative to those of other classes
	LateWeight     float64 // fraction of that value which a response after the objective has; 0: none
	Streaming      bool    // responses are streamed: ResponseStarted comes before AttemptEnded
}

// Plan describes the quota of each customer on it, over all gateways together.
type Plan struct {
	Name           string
	Rate           float64 // units a second; 0: no limit
	Burst          float64 // units that may be used at once
	CeilingRate    float64 // hard ceiling in units a second, never exceeded; 0: none
	CeilingBurst   float64 // units that the ceiling lets pass at once
	CeilingSlack   float64 // units by which the ceiling may be overdrawn
	MaxInFlight    int     // attempts in flight at once; 0: no limit
	PriorityWeight float64 // value of a response relative to those of other plans
	OverQuotaValue float64 // fraction of its value that a request has which is forwarded over the quota
	OverQuotaCost  float64 // fraction of its value that forwarding such a request costs
}

// Limits are the bounds of what a gateway may do.
type Limits struct {
	MaxAttempts    int           // of a request
	Hedging        bool          // two attempts of a request may be in flight at once
	Cancel         bool          // attempts in flight may be cancelled
	Gossip         bool          // gateways may exchange datagrams
	RetryAfter     bool          // rejections carry a Retry-After
	MaxRetryAfter  time.Duration // longest Retry-After
	ConnectTimeout time.Duration // 0: the caller's own
}

// Safety holds the figures of the rules that hold at all times.
type Safety struct {
	AnswerSlack       time.Duration // a final answer may be this late
	DrainGrace        time.Duration // attempts at a draining server must have stopped by then
	SlowStartCapacity float64       // part of its capacity that a server has when it starts
	SlowStartDuration time.Duration // time after which it has all of it
	OverloadMultiple  float64       // a server fails if it gets this multiple of its capacity ...
	OverloadWindow    time.Duration // ... for this long
}

// Config is what a gateway knows when it starts. Some settings are for the caller, and no decision reads
// them: MaxUnits, the ConnectTimeout of Limits, the AnswerSlack and DrainGrace of Safety, the
// OverQuotaValue and OverQuotaCost of a Plan.
type Config struct {
	Rank, Gateways    int // number of this gateway, from 0, and how many there are
	Zone              string
	Classes           []Class
	Plans             []Plan
	SettledOnResponse bool          // a request's units are an estimate; AttemptEnded has the actual
	MaxUnits          float64       // of a request
	UsageReportPeriod time.Duration // period of the reports in AttemptEnded.ReportedUsage; 0: none
	GossipCapacity    float64       // datagrams a second that a gateway can receive
	Limits            Limits
	Safety            Safety
}

// SettingError says which setting a gateway can't work with.
type SettingError struct {
	Field   string // path in [Config], for instance "Classes[0].LatencyObjective"
	Problem string // for instance "is 0s, want more than 0"
}

func (e *SettingError) Error() string { return "decide: " + e.Field + " " + e.Problem }

func invalid(field, problem string, args ...any) error {
	return &SettingError{Field: field, Problem: fmt.Sprintf(problem, args...)}
}

// Validate returns a *SettingError for the first setting with which a gateway can't work.
func (c *Config) Validate() error {
	if c.Gateways < 1 {
		return invalid("Gateways", "is %d, want 1 or more", c.Gateways)
	}
	if c.Rank < 0 || c.Rank >= c.Gateways {
		return invalid("Rank", "is %d, want 0 to %d", c.Rank, c.Gateways-1)
	}
	if len(c.Classes) == 0 {
		return invalid("Classes", "is empty, want one or more")
	}
	if c.Limits.MaxAttempts < 1 {
		return invalid("Limits.MaxAttempts", "is %d, want 1 or more", c.Limits.MaxAttempts)
	}
	if c.Safety.SlowStartDuration > 0 && c.Safety.OverloadWindow <= 0 {
		return invalid("Safety.OverloadWindow", "is %v, want more than 0", c.Safety.OverloadWindow)
	}
	err := checkNumbers("", []setting{
		{"Safety.SlowStartCapacity", c.Safety.SlowStartCapacity},
		{"Safety.OverloadMultiple", c.Safety.OverloadMultiple},
		{"GossipCapacity", c.GossipCapacity},
		{"MaxUnits", c.MaxUnits},
	})
	if err != nil {
		return err
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

func (k *Class) validate(path string) error {
	if k.Name == "" {
		return invalid(path+".Name", "is empty")
	}
	if k.LatencyObjective <= 0 {
		return invalid(path+".LatencyObjective", "is %v, want more than 0", k.LatencyObjective)
	}
	return checkNumbers(path+".", []setting{{"PriorityWeight", k.PriorityWeight}})
}

func (p *Plan) validate(path string) error {
	if p.Name == "" {
		return invalid(path+".Name", "is empty")
	}
	return checkNumbers(path+".", []setting{
		{"Rate", p.Rate},
		{"Burst", p.Burst},
		{"CeilingRate", p.CeilingRate},
		{"CeilingBurst", p.CeilingBurst},
		{"CeilingSlack", p.CeilingSlack},
		{"MaxInFlight", float64(p.MaxInFlight)},
		{"PriorityWeight", p.PriorityWeight},
		{"OverQuotaValue", p.OverQuotaValue},
		{"OverQuotaCost", p.OverQuotaCost},
	})
}

// setting is a number of the configuration and its name.
type setting struct {
	name  string
	value float64
}

// checkNumbers returns an error that names the first setting which is negative or no number.
func checkNumbers(prefix string, settings []setting) error {
	for _, s := range settings {
		if math.IsNaN(s.value) || math.IsInf(s.value, 0) || s.value < 0 {
			return invalid(prefix+s.name, "is %v, want a number of 0 or more", s.value)
		}
	}
	return nil
}
