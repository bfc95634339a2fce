package config

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"winghatch/decide"
	"winghatch/internal/usage/outbox"
)

// Format writes a fleet as a document that Parse reads back to the same fleet.
func Format(f *Fleet) []byte {
	w := &writer{}
	c := &f.Decide
	w.open("fleet %s", quote(f.Name))
	w.set("secret", quote(hex.EncodeToString(f.Secret[:])))
	w.text("list", f.EndpointList)
	w.text("list-kept", f.EndpointListPattern)
	w.text("kept", f.StateDirPattern)
	w.rate("capacity", f.CapacityPerSecond)
	w.set("log", quote(map[bool]string{true: "json", false: "text"}[f.Log.JSON]))
	w.text("log-level", f.Log.Level)
	w.number("max-units", c.MaxUnits)
	w.flag("settled", c.SettledOnResponse)
	w.rate("intake", c.GossipCapacity)
	if c.UsageReportPeriod > 0 {
		w.duration("meter", c.UsageReportPeriod)
	}
	for _, k := range c.Classes {
		w.class(k)
	}
	for _, p := range c.Plans {
		w.plan(p)
	}
	l := c.Limits
	w.open("limits")
	w.set("attempts", strconv.Itoa(l.MaxAttempts))
	w.flag("parallel", l.Hedging)
	w.flag("cancel", l.Cancel)
	w.flag("peers", l.Gossip)
	w.flag("retry-after", l.RetryAfter)
	w.duration("max-retry-after", l.MaxRetryAfter)
	w.duration("connect-timeout", l.ConnectTimeout)
	w.close()
	s := c.Safety
	w.open("safety")
	w.duration("answer-slack", s.AnswerSlack)
	w.duration("drain-grace", s.DrainGrace)
	w.number("cold-from", s.SlowStartCapacity)
	w.duration("cold-for", s.SlowStartDuration)
	w.number("fall-multiple", s.OverloadMultiple)
	w.duration("fall-window", s.OverloadWindow)
	w.duration("ask-within", s.ListMaxAge)
	w.close()
	p := c.Prices
	w.open("prices")
	w.number("cross-zone", p.CrossZone)
	w.number("waste", p.Waste)
	w.number("probe", p.HealthCheck)
	w.number("peer", p.Gossip)
	w.number("late-fail", p.LateFailure)
	w.number("counter", p.Counter)
	w.close()
	w.caps(f.Caps)
	if t := f.Tracing; t.URL != "" {
		w.open("traces")
		w.text("to", t.URL)
		w.number("share", t.SampleFraction)
		w.rate("rate", t.MaxPerSecond)
		w.set("queue", strconv.Itoa(t.MaxSpans))
		w.duration("timeout", t.Timeout)
		w.close()
	}
	if m := f.Metrics; m.Enabled {
		w.open("measures")
		w.text("to", m.URL)
		w.duration("every", m.Interval)
		w.duration("timeout", m.Timeout)
		w.duration("max-age", m.MaxAge)
		w.set("queue", strconv.Itoa(m.MaxSamples))
		w.set("memory", strconv.Itoa(m.MaxBytes))
		w.set("batch", strconv.Itoa(m.BatchSize))
		w.set("shards", strconv.Itoa(m.Shards))
		w.set("members", strconv.Itoa(m.MaxMembers))
		w.set("protocol", quote(map[bool]string{true: "1.0", false: "2.0"}[m.VersionOne]))
		w.close()
	}
	if e := f.UsageExport; e.URL != "" {
		w.open("export")
		w.text("to", e.URL)
		w.set("durability", quote(e.Durability.String()))
		w.duration("every", e.SyncInterval)
		w.set("disk", strconv.Itoa(e.MaxLogBytes))
		w.set("batch", strconv.Itoa(e.BatchSize))
		w.duration("timeout", e.Timeout)
		w.set("unwritable", quote(map[outbox.Policy]string{outbox.PolicyReject: "refuse", outbox.PolicyServe: "serve"}[e.OnUnwritable]))
		w.close()
	}
	for _, g := range f.Gateways {
		w.open("gateway")
		w.text("zone", g.Zone)
		w.text("listen", g.Listen)
		w.text("peer", g.GossipAddress)
		w.text("peer-bind", g.GossipBind)
		w.text("state", g.StateAddress)
		w.text("changes", g.ChangesFile)
		w.close()
	}
	for _, m := range f.Members {
		w.open("member %s", quote(m.Name))
		w.text("plan", m.Plan)
		w.set("first", strconv.Itoa(m.First))
		w.set("spread", strconv.Itoa(m.Spread))
		for _, k := range m.Keys {
			w.set("key", quote(k.String()))
		}
		w.close()
	}
	w.close()
	return w.b.Bytes()
}

// writer writes blocks; a setting that has its zero value is left out unless a zero says something.
type writer struct {
	b     bytes.Buffer
	depth int
}

func (w *writer) line(s string) { fmt.Fprintf(&w.b, "%s%s\n", strings.Repeat("    ", w.depth), s) }

func (w *writer) open(format string, args ...any) {
	w.line(fmt.Sprintf(format, args...) + " {")
	w.depth++
}

func (w *writer) close() {
	w.depth--
	w.line("}")
}

func (w *writer) set(name, value string) { w.line(name + " " + value) }

func (w *writer) text(name, v string) {
	if v != "" {
		w.set(name, quote(v))
	}
}

func (w *writer) flag(name string, v bool) { w.set(name, "#"+strconv.FormatBool(v)) }

func (w *writer) number(name string, v float64) { w.set(name, strconv.FormatFloat(v, 'g', -1, 64)) }

func (w *writer) duration(name string, v time.Duration) { w.set(name, quote(v.String())) }

func (w *writer) rate(name string, v float64) {
	w.set(name, quote(strconv.FormatFloat(v, 'g', -1, 64)+"/s"))
}

func (w *writer) class(k decide.Class) {
	w.open("class %s", quote(k.Name))
	w.set("effect", quote([...]string{"unsafe", "keyed", "safe"}[k.Idempotency]))
	if k.Idempotency == decide.IdempotentByKey {
		w.set("group", quote([...]string{"cell", "zone", "all"}[k.DedupScope]))
		w.duration("window", k.DedupWindow)
	}
	w.duration("aim", k.LatencyObjective)
	w.duration("deadline", k.Deadline)
	w.number("worth", k.PriorityWeight)
	w.number("late-worth", k.LateWeight)
	w.close()
}

func (w *writer) plan(p decide.Plan) {
	w.open("plan %s", quote(p.Name))
	w.rate("rate", p.Rate)
	w.number("burst", p.Burst)
	w.rate("ceiling-rate", p.CeilingRate)
	w.number("ceiling-burst", p.CeilingBurst)
	w.number("ceiling-slack", p.CeilingSlack)
	w.set("max-open", strconv.Itoa(p.MaxInFlight))
	w.number("price", p.PriorityWeight)
	w.number("over-worth", p.OverQuotaValue)
	w.number("over-cost", p.OverQuotaCost)
	w.close()
}

func (w *writer) caps(c ResourceLimits) {
	w.open("caps")
	w.set("sessions", strconv.Itoa(c.MaxSessions))
	w.set("open", strconv.Itoa(c.MaxInFlight))
	w.set("session-open", strconv.Itoa(c.MaxInFlightPerSession))
	w.set("batch", strconv.Itoa(c.MaxBatch))
	w.set("message", strconv.Itoa(c.MaxMessageBytes))
	w.set("frame", strconv.Itoa(c.MaxFrameBytes))
	w.set("queue", strconv.Itoa(c.MaxQueuedBytes))
	w.duration("handshake", c.HandshakeTimeout)
	w.duration("write", c.WriteTimeout)
	w.duration("ping", c.PingAfter)
	w.set("node-connections", strconv.Itoa(c.MaxConnsPerEndpoint))
	w.set("node-calls", strconv.Itoa(c.MaxRequestsPerConn))
	w.duration("node-idle", c.EndpointIdleTimeout)
	w.close()
}

// quote writes a string as KDL has it; only what may not stand in one is escaped.
func quote(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, c := range s {
		switch {
		case c == '"' || c == '\\':
			b.WriteByte('\\')
			b.WriteRune(c)
		case c < ' ' || c == 0x7f || c >= 0x80 && c <= 0x9f || c >= 0x2000 && c <= 0x206f || c == 0xfeff:
			fmt.Fprintf(&b, `\u{%x}`, c)
		default:
			b.WriteRune(c)
		}
	}
	b.WriteByte('"')
	return b.String()
}
