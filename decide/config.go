package decide

import (
	"fmt"
	"math"
	"time"
)

// Idempotency says whether a request of a class may run more than once.
type Idempotency int

// Kinds of idempotency.
const (
	NotIdempotent   Idempotency = iota // must not run more than once
	IdempotentByKey                    // duplicates are dropped within DedupScope and DedupWindow
	Idempotent                         // may run any number of times
)

// DedupScope says which servers share their idempotency keys, for classes that are IdempotentByKey.
type DedupScope int

// Deduplication scopes.
const (
	DedupInCell  DedupScope = iota // servers with the same Server.Cell
	DedupInZone                    // servers with the same Server.Zone
	DedupInFleet                   // all servers
)

// Class configures a kind of request.
type Class struct {
	Name        string
	Idempotency Idempotency
	// DedupScope is the set of servers among which a duplicate is dropped. It is used only with
	// IdempotentByKey.
	DedupScope DedupScope
	// DedupWindow is the time after the first attempt within which a duplicate is dropped. It is used only
	// with IdempotentByKey.
	DedupWindow time.Duration

	// LatencyObjective is the time within which a response has its full value. It must be more than 0.
	LatencyObjective time.Duration
	// ObjectiveStretch extends the objective by this multiple of the time that servers work on the request.
	// The gateway does not know that time. If the value is not 0, it therefore treats a response as valuable
	// until the client's deadline.
	ObjectiveStretch float64
	// Deadline is the time for which a client waits, over a request and all its retries. The age of a retry
	// is computed from it; if it is 0, retries count as new requests.
	Deadline time.Duration

	PriorityWeight float64 // value of a response relative to that of other classes
	LateWeight     float64 // fraction of the value that a response has after the objective; 0: none
	Streaming      bool    // whether responses are streamed: ResponseStarted precedes AttemptEnded
}

// Plan configures the quota of each customer on the plan, over all gateways together.
type Plan struct {
	Name           string
	Rate           float64 // units per second; 0: no limit
	Burst          float64 // units that may be used at once
	CeilingRate    float64 // hard ceiling in units per second, never exceeded; 0: none
	CeilingBurst   float64 // units that the ceiling admits at once
	CeilingSlack   float64 // units by which the ceiling may be overdrawn
	MaxInFlight    int     // attempts in flight at once; 0: no limit
	PriorityWeight float64 // value of a response relative to that of other plans
	OverQuotaValue float64 // fraction of its value that a request forwarded over the quota has
	OverQuotaCost  float64 // fraction of its value that forwarding a request over the quota costs
}

// Limits bounds what a gateway may do.
type Limits struct {
	MaxAttempts    int           // attempts per request, at least 1
	Hedging        bool          // whether two attempts of a request may be in flight at once
	Cancel         bool          // whether attempts in flight may be cancelled
	Gossip         bool          // whether gateways may exchange datagrams
	RetryAfter     bool          // whether rejections suggest a wait in Reject.RetryAfter
	MaxRetryAfter  time.Duration // longest Reject.RetryAfter
	ConnectTimeout time.Duration // time to establish a connection; 0: the caller's default
}

// Safety holds the settings of rules that must never be violated, whatever the load: final answers come in
// time, draining servers are left in time, and servers in slow start are not overloaded.
type Safety struct {
	AnswerSlack       time.Duration // time after the deadline by which a final answer may be late
	DrainGrace        time.Duration // time that attempts at a draining server have to finish
	SlowStartCapacity float64       // fraction of its capacity that a server has when it starts
	// SlowStartDuration is the time after its start until a server has its full capacity. 0 means that
	// there is no slow start.
	SlowStartDuration time.Duration
	// A server fails if it receives OverloadMultiple times its capacity during OverloadWindow. The window
	// must be more than 0 if SlowStartDuration is.
	OverloadMultiple float64
	OverloadWindow   time.Duration
}

// Config is the configuration of a gateway. Some settings are meant for the caller and not used by any
// decision: MaxUnits, Limits.ConnectTimeout, Safety.AnswerSlack, Safety.DrainGrace, Safety.OverloadWindow,
// Plan.OverQuotaValue and Plan.OverQuotaCost.
type Config struct {
	Rank, Gateways int    // rank of this gateway, from 0, and number of gateways in the fleet
	Zone           string // zone of this gateway; servers in other zones are selected less often
	Classes        []Class
	Plans          []Plan
	// SettledOnResponse says that the units of a request are an estimate, which AttemptEnded.ActualUnits
	// replaces.
	SettledOnResponse bool
	MaxUnits          float64       // largest number of units of a request
	UsageReportPeriod time.Duration // period covered by AttemptEnded.ReportedUsage; 0: there are no reports
	GossipCapacity    float64       // datagrams per second that a gateway can receive
	// MaxCustomers is the number of customers whose state a gateway keeps. Beyond it, the state of those that
	// were used least recently is removed, without granting them units. See [Config.CustomerBytes] for the
	// memory that it takes. 0 means [DefaultMaxCustomers].
	MaxCustomers int
	Limits       Limits
	Safety       Safety
}

// SettingError reports a setting that is not valid.
type SettingError struct {
	Field   string // path in [Config], for example "Classes[0].LatencyObjective"
	Problem string // for example "is 0s, want more than 0"
}

// Error returns the field and the problem.
func (e *SettingError) Error() string { return "decide: " + e.Field + " " + e.Problem }

// invalid returns a *SettingError with a formatted problem.
func invalid(field, format string, args ...any) error {
	return &SettingError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Validate returns a *[SettingError] for the first setting that is not valid, or nil.
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
	if c.MaxCustomers < 0 {
		return invalid("MaxCustomers", "is %d, want 0 or more", c.MaxCustomers)
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

// validate returns a *[SettingError] for the first invalid setting of the class, or nil. The path of the
// class in [Config] begins the field.
func (k *Class) validate(path string) error {
	if k.Name == "" {
		return invalid(path+".Name", "is empty")
	}
	if k.LatencyObjective <= 0 {
		return invalid(path+".LatencyObjective", "is %v, want more than 0", k.LatencyObjective)
	}
	return checkNumbers(path+".", []setting{{"PriorityWeight", k.PriorityWeight}})
}

// validate returns a *[SettingError] for the first invalid setting of the plan, or nil. The path of the plan
// in [Config] begins the field.
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

// setting is a numeric setting and its name.
type setting struct {
	name  string
	value float64
}

// checkNumbers returns an error for the first setting that is negative, infinite or not a number.
func checkNumbers(prefix string, settings []setting) error {
	for _, s := range settings {
		if math.IsNaN(s.value) || math.IsInf(s.value, 0) || s.value < 0 {
			return invalid(prefix+s.name, "is %v, want a number of 0 or more", s.value)
		}
	}
	return nil
}
