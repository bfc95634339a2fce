package settings

import (
	"time"

	"winghatch/decide"
)

// document is the settings object of the platform. Field names are the keys of the platform, and times are in
// nanoseconds. Keys without a field are ignored.
//
// Some fields are decoded only to check their type. A value of the wrong type under any of the platform's
// keys makes the start fail, because it shows that the configuration was written for another program.
type document struct {
	Rank, Instances int
	Zone            string
	Classes         []class
	TiersOfService  []tier
	Extra           extra
	Limits          limits
	Safety          safety

	// Decoded only to check their type.
	MembershipMode string
	Prices         struct{ CrossZone, Waste, Probe, Peer, LateFail float64 }
	Telemetry      struct{ How string }
}

// class is an element of Classes.
type class struct {
	Name, Effect, Group               string
	AimNs, GiveUpNs, WindowNs         int64
	AimStretch, Importance, LateWorth float64
	Stream                            bool
}

// tier is an element of TiersOfService. Package decide calls it a plan.
type tier struct {
	Name                                     string
	Refill, MostAtOnce                       float64
	NeverOverRate, NeverOverDepth, HardSlack float64
	Parallel                                 int
	Pays, BeyondEarns, ExcessCost            float64
}

// extra is the value of Extra. It holds the settings of gossip, units and usage reports.
type extra struct {
	CostAfter            bool
	PeerIntake, UnitsTop float64
	MeterNs              int64

	// Decoded only to check their type.
	HasCounter   bool
	CounterPrice float64
	CountWaitNs  int64
}

// limits is the value of Limits.
type limits struct {
	SendCap, OpenCap                              int
	ParallelTries, MayCancel, Peers, RetryAfter   bool
	MaxRetryAfterNs, ConnectTimeoutNs, ConnIdleNs int64

	Probes bool // decoded only to check its type
}

// safety is the value of Safety.
type safety struct {
	AnswerSlackNs, DrainGraceNs, ColdNs, FallNs int64
	ColdFrom, FallMultiple                      float64

	AskWithinNs int64 // decoded only to check its type
}

// Values of the keys Effect and Group of a class. A class without a Group has the smallest deduplication
// scope.
var (
	idempotencyByEffect = map[string]decide.Idempotency{
		"safe":   decide.Idempotent,
		"keyed":  decide.IdempotentByKey,
		"unsafe": decide.NotIdempotent,
	}
	dedupScopeByGroup = map[string]decide.DedupScope{
		"all":  decide.DedupInFleet,
		"zone": decide.DedupInZone,
		"cell": decide.DedupInCell,
		"":     decide.DedupInCell,
	}
)

// config converts all settings except the classes and plans.
func (d *document) config() decide.Config {
	return decide.Config{
		Rank:              d.Rank,
		Gateways:          d.Instances,
		Zone:              d.Zone,
		SettledOnResponse: d.Extra.CostAfter,
		MaxUnits:          d.Extra.UnitsTop,
		UsageReportPeriod: time.Duration(d.Extra.MeterNs),
		GossipCapacity:    d.Extra.PeerIntake,
		Limits:            d.Limits.convert(),
		Safety:            d.Safety.convert(),
	}
}

// convert returns the limits for package decide. OpenCap and ConnIdleNs are not among them, see
// [ConnectionLimits].
func (l *limits) convert() decide.Limits {
	return decide.Limits{
		MaxAttempts:    l.SendCap,
		Hedging:        l.ParallelTries,
		Cancel:         l.MayCancel,
		Gossip:         l.Peers,
		RetryAfter:     l.RetryAfter,
		MaxRetryAfter:  time.Duration(l.MaxRetryAfterNs),
		ConnectTimeout: time.Duration(l.ConnectTimeoutNs),
	}
}

// convert returns the safety settings for package decide.
func (s *safety) convert() decide.Safety {
	return decide.Safety{
		AnswerSlack:       time.Duration(s.AnswerSlackNs),
		DrainGrace:        time.Duration(s.DrainGraceNs),
		SlowStartCapacity: s.ColdFrom,
		SlowStartDuration: time.Duration(s.ColdNs),
		OverloadMultiple:  s.FallMultiple,
		OverloadWindow:    time.Duration(s.FallNs),
	}
}

// convert returns the class for package decide. The caller converts Effect and Group and passes the results,
// because their values may be unknown.
func (k *class) convert(effect decide.Idempotency, group decide.DedupScope) decide.Class {
	return decide.Class{
		Name:             k.Name,
		Idempotency:      effect,
		DedupScope:       group,
		DedupWindow:      time.Duration(k.WindowNs),
		LatencyObjective: time.Duration(k.AimNs),
		ObjectiveStretch: k.AimStretch,
		Deadline:         time.Duration(k.GiveUpNs),
		PriorityWeight:   k.Importance,
		LateWeight:       k.LateWorth,
		Streaming:        k.Stream,
	}
}

// convert returns the plan for package decide.
func (t *tier) convert() decide.Plan {
	return decide.Plan{
		Name:           t.Name,
		Rate:           t.Refill,
		Burst:          t.MostAtOnce,
		CeilingRate:    t.NeverOverRate,
		CeilingBurst:   t.NeverOverDepth,
		CeilingSlack:   t.HardSlack,
		MaxInFlight:    t.Parallel,
		PriorityWeight: t.Pays,
		OverQuotaValue: t.BeyondEarns,
		OverQuotaCost:  t.ExcessCost,
	}
}
