// Package settings reads the settings object of the platform, which the simulator's wire and a real gateway's
// configuration share, as the core's configuration.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"winghatch/decide"
)

// words are the platform's for decide.Config. Keys that are not named here are ignored.
type document struct {
	Classes []struct {
		Name, Effect, Group               string
		AimNs, GiveUpNs, WindowNs         int64
		AimStretch, Importance, LateWorth float64
		Stream                            bool
	}
	TiersOfService []struct {
		Name                                     string
		Refill, MostAtOnce                       float64
		NeverOverRate, NeverOverDepth, HardSlack float64
		Parallel                                 int
		Pays, BeyondEarns, ExcessCost            float64
	}
	Extra struct {
		HasCounter, CostAfter              bool
		CounterPrice, PeerIntake, UnitsTop float64
		CountWaitNs, MeterNs               int64
	}
	Limits struct {
		SendCap, OpenCap                                    int
		ParallelTries, MayCancel, Peers, Probes, RetryAfter bool
		MaxRetryAfterNs, ConnectTimeoutNs, ConnIdleNs       int64
	}
	Safety struct {
		AnswerSlackNs, DrainGraceNs, ColdNs, FallNs, AskWithinNs int64
		ColdFrom, FallMultiple                                   float64
	}
	Prices struct {
		CrossZone, Waste, Probe, Peer, LateFail float64
	}
	Telemetry            struct{ How string }
	Rank, Instances      int
	MembershipMode, Zone string
}

// Bounds are settings that sockets keep and the core needs not know.
type ConnectionLimits struct {
	MaxOpenRequests int           // requests open at once; 0: not told
	IdleTimeout     time.Duration // connections to servers are closed by the servers' machines after this; 0: not told
}

// FieldOf names the field at which decoding stopped.
func FieldError(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Errorf("field %q: can't take a %s", t.Field, t.Value)
	}
	return err
}

// Parse reads the object. Errors name the field.
func Parse(raw json.RawMessage) (decide.Config, ConnectionLimits, error) {
	var s document
	if err := json.Unmarshal(raw, &s); err != nil {
		return decide.Config{}, ConnectionLimits{}, FieldError(err)
	}
	b := ConnectionLimits{s.Limits.OpenCap, time.Duration(s.Limits.ConnIdleNs)}
	c := decide.Config{Rank: s.Rank, Gateways: s.Instances, Zone: s.Zone, SettledOnResponse: s.Extra.CostAfter,
		MaxUnits: s.Extra.UnitsTop, UsageReportPeriod: time.Duration(s.Extra.MeterNs), GossipCapacity: s.Extra.PeerIntake,
		Counter: s.Extra.HasCounter, CounterTimeout: time.Duration(s.Extra.CountWaitNs),
		ReportsOnProbe: s.Telemetry.How == "probe", Subscribe: s.MembershipMode == "subscribe"}
	c.Limits = decide.Limits{MaxAttempts: s.Limits.SendCap, Hedging: s.Limits.ParallelTries,
		Cancel: s.Limits.MayCancel, Gossip: s.Limits.Peers, HealthChecks: s.Limits.Probes,
		RetryAfter: s.Limits.RetryAfter, MaxRetryAfter: time.Duration(s.Limits.MaxRetryAfterNs),
		ConnectTimeout: time.Duration(s.Limits.ConnectTimeoutNs)}
	c.Safety = decide.Safety{AnswerSlack: time.Duration(s.Safety.AnswerSlackNs),
		DrainGrace: time.Duration(s.Safety.DrainGraceNs), SlowStartCapacity: s.Safety.ColdFrom,
		SlowStartDuration: time.Duration(s.Safety.ColdNs), OverloadMultiple: s.Safety.FallMultiple,
		OverloadWindow: time.Duration(s.Safety.FallNs), ListMaxAge: time.Duration(s.Safety.AskWithinNs)}
	c.Prices = decide.Prices{CrossZone: s.Prices.CrossZone, Waste: s.Prices.Waste, HealthCheck: s.Prices.Probe,
		Gossip: s.Prices.Peer, LateFailure: s.Prices.LateFail, Counter: s.Extra.CounterPrice}
	effects := map[string]decide.Idempotency{"safe": decide.Idempotent, "keyed": decide.IdempotentByKey, "unsafe": decide.NotIdempotent}
	groups := map[string]decide.DedupScope{"all": decide.DedupInFleet, "zone": decide.DedupInZone,
		"cell": decide.DedupInCell, "": decide.DedupInCell}
	for _, l := range []struct {
		name string
		v    int64
	}{{"Limits.ConnIdleNs", s.Limits.ConnIdleNs}, {"Limits.ConnectTimeoutNs", s.Limits.ConnectTimeoutNs}} {
		if l.v < 0 {
			return c, b, fmt.Errorf("%s is %d, want 0 or more", l.name, l.v)
		}
	}
	named := map[string]bool{}
	for i, k := range s.Classes {
		switch {
		case named[k.Name]:
			return c, b, fmt.Errorf("Classes[%d].Name is %q, want each once", i, k.Name)
		case k.GiveUpNs <= 0:
			return c, b, fmt.Errorf("Classes[%d].GiveUpNs is %d, want more than 0", i, k.GiveUpNs)
		case k.WindowNs < 0:
			return c, b, fmt.Errorf("Classes[%d].WindowNs is %d, want 0 or more", i, k.WindowNs)
		}
		named[k.Name] = true
		effect, ok := effects[k.Effect]
		if !ok {
			return c, b, fmt.Errorf("Classes[%d].Effect: unknown %q", i, k.Effect)
		}
		group, ok := groups[k.Group]
		if !ok {
			return c, b, fmt.Errorf("Classes[%d].Group: unknown %q", i, k.Group)
		}
		c.Classes = append(c.Classes, decide.Class{Name: k.Name, Idempotency: effect, DedupScope: group,
			DedupWindow: time.Duration(k.WindowNs), LatencyObjective: time.Duration(k.AimNs), ObjectiveStretch: k.AimStretch,
			Deadline: time.Duration(k.GiveUpNs), PriorityWeight: k.Importance, LateWeight: k.LateWorth, Streaming: k.Stream})
	}
	clear(named)
	for i, p := range s.TiersOfService {
		if named[p.Name] {
			return c, b, fmt.Errorf("TiersOfService[%d].Name is %q, want each once", i, p.Name)
		}
		named[p.Name] = true
		c.Plans = append(c.Plans, decide.Plan{Name: p.Name, Rate: p.Refill, Burst: p.MostAtOnce,
			CeilingRate: p.NeverOverRate, CeilingBurst: p.NeverOverDepth, CeilingSlack: p.HardSlack,
			MaxInFlight: p.Parallel, PriorityWeight: p.Pays, OverQuotaValue: p.BeyondEarns, OverQuotaCost: p.ExcessCost})
	}
	return c, b, nil
}

// ReportName is the core's word for a figure of a load report.
func LoadReportField(wire string) string {
	switch wire {
	case "outstanding":
		return "inflight"
	case "backlog":
		return "queue"
	case "utilization":
		return "util"
	case "recent_ms":
		return "latency_ms"
	case "throughput":
		return "qps"
	}
	return wire
}
