package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/url"
	"time"

	"winghatch/decide"
	"winghatch/internal/config/decode"
	"winghatch/internal/config/kdl"
	"winghatch/internal/credentials"
	"winghatch/internal/quotaplan"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/wal"
)

const (
	// maxInteger is the upper bound of numbers that have no bound of their own.
	maxInteger = math.MaxInt32
	// minLogBytes is the smallest valid UsageExport.MaxLogBytes. It is a multiple of the log's smallest
	// segment and of the space that package gateway reserves for settlements.
	minLogBytes = 4 << 20
)

// fleetFields returns the functions that read the settings of the fleet node into f.
func (d *decoder) fleetFields(f *Fleet) decode.Fields {
	c := &f.Decide
	levels := map[string]string{"debug": "debug", "info": "info", "warn": "warn", "error": "error"}
	return decode.Fields{
		"secret":    d.secret(&f.Secret),
		"list":      decode.Address(&f.EndpointList),
		"list-kept": decode.String(&f.EndpointListPattern),
		"kept":      decode.String(&f.StateDirPattern),
		"capacity":  decode.Rate(&f.CapacityPerSecond),
		"max-units": decode.Number(&c.MaxUnits, 0, maxInteger),
		"settled":   decode.Bool(&c.SettledOnResponse),
		"intake":    decode.Rate(&c.GossipCapacity),
		"meter":     decode.Duration(&c.UsageReportPeriod, time.Millisecond),
		"log":       decode.Choice(&f.Log.JSON, map[string]bool{"json": true, "text": false}),
		"log-level": decode.Choice(&f.Log.Level, levels),
	}
}

// fleetBlocks returns the functions that read the blocks of the fleet node into f.
func (d *decoder) fleetBlocks(f *Fleet) decode.Blocks {
	c := &f.Decide
	return decode.Blocks{
		"zone": func(at string, n *kdl.Node) { d.BlockName(at, n, d.zones) },
		"class": func(at string, n *kdl.Node) {
			c.Classes = append(c.Classes, d.class(d.BlockName(at, n, d.classNames), n))
		},
		"plan": func(at string, n *kdl.Node) {
			c.Plans = append(c.Plans, d.plan(d.BlockName(at, n, d.planNames), n))
		},
		"gateway": func(at string, n *kdl.Node) { f.Gateways = append(f.Gateways, d.gateway(at, n)) },
		"member": func(at string, n *kdl.Node) {
			name := d.BlockName(at, n, d.memberNames)
			d.members = append(d.members, memberBlock{"member " + name, n.Pos, d.member(name, n)})
		},
		"limits":   func(at string, n *kdl.Node) { d.limits(at, n, &c.Limits) },
		"safety":   func(at string, n *kdl.Node) { d.safety(at, n, f) },
		"prices":   func(at string, n *kdl.Node) { d.prices(at, n, &f.Prices) },
		"measures": func(at string, n *kdl.Node) { d.metrics(at, n, &f.Metrics) },
		"traces":   func(at string, n *kdl.Node) { d.tracing(at, n, &f.Tracing) },
		"export":   func(at string, n *kdl.Node) { d.usageExport(at, n, &f.UsageExport) },
		"caps":     func(at string, n *kdl.Node) { d.resourceLimits(at, n, &f.Caps) },
	}
}

// secret returns a function that reads the secret of the fleet. Its error contains the length of the value
// but not the value, which may be a secret with a typing error.
func (d *decoder) secret(to *credentials.Secret) func(decode.Setting) {
	return func(s decode.Setting) {
		raw, err := hex.DecodeString(s.Value.Text)
		if err != nil || len(raw) != len(to) {
			d.Fail(s.Value.Pos, s.Field,
				"%d characters, want %d hexadecimal digits from \"winghatch key secret\"",
				len(s.Value.Text), 2*len(to))
			return
		}
		copy(to[:], raw)
	}
}

// The names in documents of the values of enumerated settings.
var (
	idempotencies = map[string]decide.Idempotency{
		"safe": decide.Idempotent, "keyed": decide.IdempotentByKey, "unsafe": decide.NotIdempotent}
	dedupScopes = map[string]decide.DedupScope{
		"all": decide.DedupInFleet, "zone": decide.DedupInZone, "cell": decide.DedupInCell}
	unwritablePolicies = map[string]outbox.Policy{"refuse": outbox.PolicyReject, "serve": outbox.PolicyServe}
)

func (d *decoder) class(name string, n *kdl.Node) decide.Class {
	c := decide.Class{Name: name, PriorityWeight: 1, DedupScope: decide.DedupInFleet}
	at := "class " + name
	scopeGiven := false
	d.Block(at, n, decode.Fields{
		"effect": decode.Choice(&c.Idempotency, idempotencies),
		"group": func(s decode.Setting) {
			scopeGiven = true
			decode.Choice(&c.DedupScope, dedupScopes)(s)
		},
		"window":     decode.Duration(&c.DedupWindow, time.Millisecond),
		"aim":        decode.Duration(&c.LatencyObjective, time.Millisecond),
		"deadline":   decode.Duration(&c.Deadline, time.Millisecond),
		"worth":      decode.Number(&c.PriorityWeight, 0, maxInteger),
		"late-worth": decode.Number(&c.LateWeight, 0, 1),
	}, nil, "effect", "aim", "deadline")
	switch {
	case c.Idempotency == decide.IdempotentByKey && c.DedupWindow == 0:
		d.Fail(n.Pos, at+".window", "missing, required because the effect is keyed")
	case c.Idempotency != decide.IdempotentByKey && (c.DedupWindow > 0 || scopeGiven):
		d.Fail(n.Pos, at+".effect", "not keyed, but window or group is given")
	case c.Deadline > 0 && c.Deadline < c.LatencyObjective:
		d.Fail(n.Pos, at+".deadline", "%v, want the aim of %v or more", c.Deadline, c.LatencyObjective)
	}
	return c
}

func (d *decoder) plan(name string, n *kdl.Node) decide.Plan {
	p := decide.Plan{Name: name, PriorityWeight: 1}
	at := "plan " + name
	d.Block(at, n, decode.Fields{
		"rate":          decode.Rate(&p.Rate),
		"burst":         decode.Number(&p.Burst, 0, maxInteger),
		"ceiling-rate":  decode.Rate(&p.CeilingRate),
		"ceiling-burst": decode.Number(&p.CeilingBurst, 0, maxInteger),
		"ceiling-slack": decode.Number(&p.CeilingSlack, 0, maxInteger),
		"max-open":      decode.Int(&p.MaxInFlight, 0, maxInteger),
		"price":         decode.Number(&p.PriorityWeight, 0, maxInteger),
		"over-worth":    decode.Number(&p.OverQuotaValue, 0, maxInteger),
		"over-cost":     decode.Number(&p.OverQuotaCost, 0, maxInteger),
	}, nil)
	for _, e := range quotaplan.CheckPlan(&p) {
		d.Fail(n.Pos, at+"."+e.Field, "%s", e.Text)
	}
	return p
}

func (d *decoder) gateway(at string, n *kdl.Node) (g Gateway) {
	d.RejectArguments(at, n)
	d.Block(at, n, decode.Fields{
		"listen":    decode.Address(&g.Listen),
		"peer":      decode.Address(&g.GossipAddress),
		"peer-bind": decode.Address(&g.GossipBind),
		"state":     decode.Address(&g.StateAddress),
		"changes":   decode.String(&g.ChangesFile),
		"zone": func(s decode.Setting) {
			decode.String(&g.Zone)(s)
			if len(d.zones) > 0 && !d.zones[g.Zone] {
				s.Reject("one of " + listNames(d.zones))
			}
		},
	}, nil, d.required("listen")...)
	return g
}

func (d *decoder) member(name string, n *kdl.Node) Member {
	m := Member{Name: name}
	at := "member " + name
	d.Block(at, n, decode.Fields{
		"plan":   decode.String(&m.Plan),
		"first":  decode.Int(&m.First, 0, maxInteger),
		"spread": decode.Int(&m.Spread, 1, maxInteger),
	}, decode.Blocks{
		"key": func(_ string, n *kdl.Node) {
			for _, v := range n.Args {
				k, err := credentials.ParseDigest(v.Text)
				if err != nil {
					d.Fail(v.Pos, at+".key", "%s, %v", v, err)
					continue
				}
				m.Keys = append(m.Keys, k)
			}
		},
	}, "plan")
	if len(m.Keys) == 0 && !d.draft {
		d.Fail(n.Pos, at+".key", "missing, want one or more digests from \"winghatch key new\"")
	}
	return m
}

func (d *decoder) limits(at string, n *kdl.Node, l *decide.Limits) {
	d.RejectArguments(at, n)
	d.Block(at, n, decode.Fields{
		"attempts":        decode.Int(&l.MaxAttempts, 1, 100),
		"parallel":        decode.Bool(&l.Hedging),
		"cancel":          decode.Bool(&l.Cancel),
		"peers":           decode.Bool(&l.Gossip),
		"retry-after":     decode.Bool(&l.RetryAfter),
		"max-retry-after": decode.Duration(&l.MaxRetryAfter, 0),
		"connect-timeout": decode.Duration(&l.ConnectTimeout, time.Millisecond),
	}, nil)
}

func (d *decoder) safety(at string, n *kdl.Node, f *Fleet) {
	s := &f.Decide.Safety
	d.RejectArguments(at, n)
	d.Block(at, n, decode.Fields{
		"answer-slack":  decode.Duration(&s.AnswerSlack, 0),
		"drain-grace":   decode.Duration(&s.DrainGrace, 0),
		"cold-from":     decode.Number(&s.SlowStartCapacity, 0, 1),
		"cold-for":      decode.Duration(&s.SlowStartDuration, 0),
		"fall-multiple": decode.Number(&s.OverloadMultiple, 0, maxInteger),
		"fall-window":   decode.Duration(&s.OverloadWindow, 0),
		"ask-within":    decode.Duration(&f.EndpointListMaxAge, 0),
	}, nil)
}

func (d *decoder) prices(at string, n *kdl.Node, p *Prices) {
	d.RejectArguments(at, n)
	d.Block(at, n, decode.Fields{
		"cross-zone": decode.Number(&p.CrossZone, 0, maxInteger),
		"waste":      decode.Number(&p.Waste, 0, maxInteger),
		"probe":      decode.Number(&p.HealthCheck, 0, maxInteger),
		"peer":       decode.Number(&p.Gossip, 0, maxInteger),
		"late-fail":  decode.Number(&p.LateFailure, 0, maxInteger),
		"counter":    decode.Number(&p.Counter, 0, maxInteger),
	}, nil)
}

func (d *decoder) usageExport(at string, n *kdl.Node, e *UsageExport) {
	d.RejectArguments(at, n)
	modes := map[string]wal.SyncMode{}
	for _, m := range []wal.SyncMode{wal.SyncAlways, wal.SyncInterval, wal.SyncNever} {
		modes[m.String()] = m
	}
	d.Block(at, n, decode.Fields{
		"to":         httpURL(&e.URL),
		"durability": decode.Choice(&e.Durability, modes),
		"every":      decode.Duration(&e.SyncInterval, time.Millisecond),
		"disk": func(s decode.Setting) {
			if decode.Size(&e.MaxLogBytes)(s); e.MaxLogBytes < minLogBytes {
				s.Reject(fmt.Sprintf("%d bytes or more", minLogBytes))
			}
		},
		"batch":      decode.Int(&e.BatchSize, 1, 100000),
		"timeout":    decode.Duration(&e.Timeout, time.Millisecond),
		"unwritable": decode.Choice(&e.OnUnwritable, unwritablePolicies),
	}, nil, "to")
}

func (d *decoder) metrics(at string, n *kdl.Node, m *Metrics) {
	d.RejectArguments(at, n)
	m.Enabled = true
	d.Block(at, n, decode.Fields{
		"to":       httpURL(&m.URL),
		"every":    decode.Duration(&m.Interval, 10*time.Millisecond),
		"timeout":  decode.Duration(&m.Timeout, time.Millisecond),
		"max-age":  decode.Duration(&m.MaxAge, time.Second),
		"queue":    decode.Int(&m.MaxSamples, 100, maxInteger),
		"memory":   decode.Size(&m.MaxBytes),
		"batch":    decode.Int(&m.BatchSize, 1, 100000),
		"shards":   decode.Int(&m.Shards, 1, 64),
		"members":  decode.Int(&m.MaxMembers, 0, 100000),
		"protocol": decode.Choice(&m.VersionOne, map[string]bool{"1.0": true, "2.0": false}),
	}, nil)
}

func (d *decoder) tracing(at string, n *kdl.Node, t *Tracing) {
	d.RejectArguments(at, n)
	d.Block(at, n, decode.Fields{
		"to":      httpURL(&t.URL),
		"share":   decode.Number(&t.SampleFraction, 0, 1),
		"rate":    decode.Rate(&t.MaxPerSecond),
		"queue":   decode.Int(&t.MaxSpans, 1, 1<<20),
		"timeout": decode.Duration(&t.Timeout, time.Millisecond),
	}, nil, "to")
}

func (d *decoder) resourceLimits(at string, n *kdl.Node, l *ResourceLimits) {
	d.RejectArguments(at, n)
	d.Block(at, n, decode.Fields{
		"sessions":         decode.Int(&l.MaxSessions, 1, maxInteger),
		"open":             decode.Int(&l.MaxInFlight, 1, maxInteger),
		"session-open":     decode.Int(&l.MaxInFlightPerSession, 1, maxInteger),
		"batch":            decode.Int(&l.MaxBatch, 1, maxInteger),
		"message":          decode.Size(&l.MaxMessageBytes),
		"frame":            decode.Size(&l.MaxFrameBytes),
		"queue":            decode.Size(&l.MaxQueuedBytes),
		"memory":           decode.Size(&l.MaxSessionMemory),
		"handshake":        decode.Duration(&l.HandshakeTimeout, time.Millisecond),
		"write":            decode.Duration(&l.WriteTimeout, time.Millisecond),
		"ping":             decode.Duration(&l.PingAfter, 10*time.Millisecond),
		"node-connections": decode.Int(&l.MaxConnsPerEndpoint, 1, 1024),
		"node-calls":       decode.Int(&l.MaxRequestsPerConn, 1, maxInteger),
		"node-idle":        decode.Duration(&l.EndpointIdleTimeout, time.Millisecond),
	}, nil)
}

// httpURL reads a URL with the scheme http or https.
func httpURL(to *string) func(decode.Setting) {
	return func(s decode.Setting) {
		u, err := url.Parse(s.Value.Text)
		if s.Value.Kind != kdl.String || err != nil || u.Scheme != "http" && u.Scheme != "https" ||
			u.Host == "" {
			s.Reject(`a URL such as "http://127.0.0.1:8090/use"`)
			return
		}
		*to = s.Value.Text
	}
}
