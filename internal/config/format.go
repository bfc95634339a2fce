package config

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"winghatch/decide"
)

// Format returns f as a KDL document. Parse of that document returns an equal Fleet.
func Format(f *Fleet) []byte {
	w := &writer{}
	c := &f.Decide
	w.open("fleet %s", quote(f.Name))
	w.fleet(f)
	for _, k := range c.Classes {
		w.class(k)
	}
	for _, p := range c.Plans {
		w.plan(p)
	}
	w.limits(c.Limits)
	w.safety(f)
	w.prices(f.Prices)
	w.resourceLimits(f.Caps)
	if f.Tracing.URL != "" {
		w.tracing(f.Tracing)
	}
	if f.Metrics.Enabled {
		w.metrics(f.Metrics)
	}
	if f.UsageExport.URL != "" {
		w.usageExport(f.UsageExport)
	}
	for _, g := range f.Gateways {
		w.gateway(g)
	}
	for _, m := range f.Members {
		w.member(m)
	}
	w.close()
	return w.buffer.Bytes()
}

// indent is the indentation of one block level.
const indent = "    "

// writer writes blocks and settings to a buffer. Each method named after a type of value writes one setting;
// each named after a block writes that block.
type writer struct {
	buffer bytes.Buffer
	depth  int
}

func (w *writer) line(s string) {
	fmt.Fprintf(&w.buffer, "%s%s\n", strings.Repeat(indent, w.depth), s)
}

func (w *writer) open(format string, args ...any) {
	w.line(fmt.Sprintf(format, args...) + " {")
	w.depth++
}

func (w *writer) close() {
	w.depth--
	w.line("}")
}

func (w *writer) set(name, value string) { w.line(name + " " + value) }

// text writes a string setting. It writes nothing if the string is empty.
func (w *writer) text(name, v string) {
	if v != "" {
		w.set(name, quote(v))
	}
}

func (w *writer) flag(name string, v bool) { w.set(name, "#"+strconv.FormatBool(v)) }

func (w *writer) integer(name string, v int) { w.set(name, strconv.Itoa(v)) }

func (w *writer) number(name string, v float64) { w.set(name, strconv.FormatFloat(v, 'g', -1, 64)) }

func (w *writer) duration(name string, v time.Duration) { w.set(name, quote(v.String())) }

func (w *writer) rate(name string, v float64) {
	w.set(name, quote(strconv.FormatFloat(v, 'g', -1, 64)+"/s"))
}

func (w *writer) fleet(f *Fleet) {
	c := &f.Decide
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
}

func (w *writer) class(k decide.Class) {
	w.open("class %s", quote(k.Name))
	w.set("effect", quote(nameOf(idempotencies, k.Idempotency)))
	if k.Idempotency == decide.IdempotentByKey {
		w.set("group", quote(nameOf(dedupScopes, k.DedupScope)))
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
	w.integer("max-open", p.MaxInFlight)
	w.number("price", p.PriorityWeight)
	w.number("over-worth", p.OverQuotaValue)
	w.number("over-cost", p.OverQuotaCost)
	w.close()
}

func (w *writer) limits(l decide.Limits) {
	w.open("limits")
	w.integer("attempts", l.MaxAttempts)
	w.flag("parallel", l.Hedging)
	w.flag("cancel", l.Cancel)
	w.flag("peers", l.Gossip)
	w.flag("retry-after", l.RetryAfter)
	w.duration("max-retry-after", l.MaxRetryAfter)
	w.duration("connect-timeout", l.ConnectTimeout)
	w.close()
}

func (w *writer) safety(f *Fleet) {
	s := f.Decide.Safety
	w.open("safety")
	w.duration("answer-slack", s.AnswerSlack)
	w.duration("drain-grace", s.DrainGrace)
	w.number("cold-from", s.SlowStartCapacity)
	w.duration("cold-for", s.SlowStartDuration)
	w.number("fall-multiple", s.OverloadMultiple)
	w.duration("fall-window", s.OverloadWindow)
	w.duration("ask-within", f.EndpointListMaxAge)
	w.close()
}

func (w *writer) prices(p Prices) {
	w.open("prices")
	w.number("cross-zone", p.CrossZone)
	w.number("waste", p.Waste)
	w.number("probe", p.HealthCheck)
	w.number("peer", p.Gossip)
	w.number("late-fail", p.LateFailure)
	w.number("counter", p.Counter)
	w.close()
}

func (w *writer) resourceLimits(l ResourceLimits) {
	w.open("caps")
	w.integer("sessions", l.MaxSessions)
	w.integer("open", l.MaxInFlight)
	w.integer("session-open", l.MaxInFlightPerSession)
	w.integer("batch", l.MaxBatch)
	w.integer("message", l.MaxMessageBytes)
	w.integer("frame", l.MaxFrameBytes)
	w.integer("queue", l.MaxQueuedBytes)
	w.integer("memory", l.MaxSessionMemory)
	w.duration("handshake", l.HandshakeTimeout)
	w.duration("write", l.WriteTimeout)
	w.duration("ping", l.PingAfter)
	w.integer("node-connections", l.MaxConnsPerEndpoint)
	w.integer("node-calls", l.MaxRequestsPerConn)
	w.duration("node-idle", l.EndpointIdleTimeout)
	w.close()
}

func (w *writer) tracing(t Tracing) {
	w.open("traces")
	w.text("to", t.URL)
	w.number("share", t.SampleFraction)
	w.rate("rate", t.MaxPerSecond)
	w.integer("queue", t.MaxSpans)
	w.duration("timeout", t.Timeout)
	w.close()
}

func (w *writer) metrics(m Metrics) {
	w.open("measures")
	w.text("to", m.URL)
	w.duration("every", m.Interval)
	w.duration("timeout", m.Timeout)
	w.duration("max-age", m.MaxAge)
	w.integer("queue", m.MaxSamples)
	w.integer("memory", m.MaxBytes)
	w.integer("batch", m.BatchSize)
	w.integer("shards", m.Shards)
	w.integer("members", m.MaxMembers)
	w.set("protocol", quote(map[bool]string{true: "1.0", false: "2.0"}[m.VersionOne]))
	w.close()
}

func (w *writer) usageExport(e UsageExport) {
	w.open("export")
	w.text("to", e.URL)
	w.set("durability", quote(e.Durability.String()))
	w.duration("every", e.SyncInterval)
	w.integer("disk", e.MaxLogBytes)
	w.integer("batch", e.BatchSize)
	w.duration("timeout", e.Timeout)
	w.set("unwritable", quote(nameOf(unwritablePolicies, e.OnUnwritable)))
	w.close()
}

func (w *writer) gateway(g Gateway) {
	w.open("gateway")
	w.text("zone", g.Zone)
	w.text("listen", g.Listen)
	w.text("peer", g.GossipAddress)
	w.text("peer-bind", g.GossipBind)
	w.text("state", g.StateAddress)
	w.text("changes", g.ChangesFile)
	w.close()
}

func (w *writer) member(m Member) {
	w.open("member %s", quote(m.Name))
	w.text("plan", m.Plan)
	w.integer("first", m.First)
	w.integer("spread", m.Spread)
	for _, k := range m.Keys {
		w.set("key", quote(k.String()))
	}
	w.close()
}

// nameOf returns the name of a value in documents, or "" if it has none.
func nameOf[T comparable](names map[string]T, value T) string {
	for name, v := range names {
		if v == value {
			return name
		}
	}
	return ""
}

// quote returns s as a quoted KDL string. It escapes quotes, backslashes, and control and format characters;
// a document must not contain the latter two, or editors do not show them.
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
