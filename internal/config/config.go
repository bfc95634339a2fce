// Package config reads the settings of a fleet of gateways from a KDL document into a checked Fleet. The
// gateway, the checker and the replayer all load by Load, so what one accepts every other does.
package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"winghatch/decide"
	"winghatch/internal/config/decode"
	"winghatch/internal/config/kdl"
	"winghatch/internal/credentials"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/wal"
)

// Fleet is all settings that the gateways of a fleet share.
type Fleet struct {
	Name                string
	Secret              credentials.Secret // of the keyed hashes of members' keys and of peers' datagrams
	Decide              decide.Config
	Gateways            []Gateway // by rank
	Members             []Member
	EndpointList        string  // address of the node list; empty: none
	StateDirPattern     string  // directory of what a gateway must not forget, %d stands for the rank; empty: nothing is kept
	CapacityPerSecond   float64 // units a second that the fleet is stated to bear, for reservations; 0: not stated
	EndpointListPattern string  // file that keeps the last list, %d stands for the rank; empty: none is kept
	Caps                ResourceLimits
	UsageExport         UsageExport
	Metrics             Metrics
	Tracing             Tracing
	Log                 Log
}

// Measures say what is counted and timed, and where it goes.
type Metrics struct {
	Enabled    bool
	URL        string // URL of a remote write receiver; empty: they are only told where the state is
	Interval   time.Duration
	Timeout    time.Duration // of a batch
	MaxAge     time.Duration // older samples are dropped
	MaxSamples int           // samples that wait at most
	MaxBytes   int           // bytes of them
	BatchSize  int           // samples
	Shards     int
	MaxMembers int  // told by name at most
	VersionOne bool // speak remote write 1.0
}

// Traces say which calls are told as traces, and where. Without a URL none are.
type Tracing struct {
	URL            string  // URL of an OTLP receiver
	SampleFraction float64 // of calls that were served in time
	MaxPerSecond   float64 // a second, of all that were refused, failed or late
	MaxSpans       int     // spans that wait at most
	Timeout        time.Duration
}

// Export says where use is told and how surely. Without a URL nothing is exported.
type UsageExport struct {
	URL          string // URL of the receiver
	Durability   wal.SyncMode
	SyncInterval time.Duration // of durability interval
	MaxLogBytes  int           // bytes that the log may take
	BatchSize    int           // events
	Timeout      time.Duration // of one batch
	OnUnwritable outbox.Policy // what happens to calls while the log can't be written
}

// Gateway is one gateway's place.
type Gateway struct {
	Zone          string
	Listen        string // clients' WebSocket, host:port
	GossipAddress string // where peers send their datagrams; empty if the fleet has none
	GossipBind    string // where this gateway takes them, if that is another address than Peer
	StateAddress  string // what `winghatch state` asks; empty: nothing listens
	ChangesFile   string // file of changes that this gateway watches; empty: none
}

// Member is a customer.
type Member struct {
	Name, Plan    string
	First, Spread int                  // its entry gateways: rank of the first, and how many
	Keys          []credentials.Digest // of the keys it presents
}

// Caps bound what may wait or stay open. Times are how long a peer may take.
type ResourceLimits struct {
	MaxSessions           int // of clients
	MaxInFlight           int // calls, over all sessions
	MaxInFlightPerSession int // calls of one session
	MaxBatch              int // calls in one message
	MaxMessageBytes       int // bytes
	MaxFrameBytes         int // bytes of one of a message's frames
	MaxQueuedBytes        int // bytes that wait for one peer
	HandshakeTimeout      time.Duration
	WriteTimeout          time.Duration
	PingAfter             time.Duration // silence after which a client or node is pinged; see link.Keep
	MaxConnsPerEndpoint   int           // connections to one node
	MaxRequestsPerConn    int           // calls at once on one of them
	EndpointIdleTimeout   time.Duration
}

// Log says what the log looks like.
type Log struct {
	JSON  bool
	Level string
}

// Rank returns the decisions' settings of one gateway.
func (f *Fleet) DecideConfig(n int) (decide.Config, error) {
	c := f.Decide
	if n < 0 || n >= len(f.Gateways) {
		return c, fmt.Errorf("rank: %d, want 0 to %d", n, len(f.Gateways)-1)
	}
	c.Rank, c.Zone = n, f.Gateways[n].Zone
	return c, c.Validate()
}

// Dir is what a gateway keeps in, or empty.
func (f *Fleet) StateDir(rank int) string {
	return strings.ReplaceAll(f.StateDirPattern, "%d", strconv.Itoa(rank))
}

// Load reads a file.
func Load(file string) (*Fleet, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, src)
}

// Parse reads a document; file is only named in errors. The error holds all that is wrong.
func Parse(file string, src []byte) (*Fleet, error) {
	nodes, err := decode.Parse(file, src)
	if err != nil {
		return nil, err
	}
	d := &decoder{Decoder: decode.Decoder{File: file}}
	f := defaults()
	found := 0
	for _, n := range nodes {
		if n.Name != "fleet" {
			d.Fail(n.Pos, n.Name, "%q is not known, want one node named \"fleet\"", n.Name)
		} else if found++; found > 1 {
			d.Fail(n.Pos, "fleet", "given before, want one")
		} else {
			d.fleet(f, n)
		}
	}
	if found == 0 {
		d.Fail(kdl.Pos{Line: 1, Column: 1}, "fleet", "missing")
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	for rank := range f.Gateways {
		if _, err := f.DecideConfig(rank); err != nil {
			return nil, decode.Errors{{File: file, Pos: nodes[0].Pos, Field: "fleet", Text: err.Error()}}
		}
	}
	return f, nil
}

// Draft reads a fleet node that may lack addresses, keys and the secret, as a day's file does; errors go to d.
func Draft(d *decode.Decoder, n *kdl.Node) *Fleet {
	f := defaults()
	x := &decoder{Decoder: *d, draft: true}
	x.fleet(f, n)
	d.Errors = x.Errors
	return f
}

func defaults() *Fleet {
	f := &Fleet{Caps: ResourceLimits{MaxSessions: 20000, MaxInFlight: 30000, MaxInFlightPerSession: 1024, MaxBatch: 256, MaxMessageBytes: 64 << 10, MaxFrameBytes: 64 << 10,
		MaxQueuedBytes: 1 << 20, HandshakeTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, PingAfter: 15 * time.Second, MaxConnsPerEndpoint: 4, MaxRequestsPerConn: 256,
		EndpointIdleTimeout: 30 * time.Second}, UsageExport: UsageExport{Durability: wal.SyncInterval, SyncInterval: 100 * time.Millisecond, MaxLogBytes: 512 << 20,
		BatchSize: 500, Timeout: 10 * time.Second}, Metrics: Metrics{Interval: 15 * time.Second, Timeout: 10 * time.Second, MaxAge: time.Hour,
		MaxSamples: 100000, MaxBytes: 32 << 20, BatchSize: 2000, Shards: 2, MaxMembers: 200},
		Tracing: Tracing{SampleFraction: 0.01, MaxPerSecond: 20, MaxSpans: 2048, Timeout: 5 * time.Second}, Log: Log{Level: "info"}}
	f.Decide.Limits = decide.Limits{MaxAttempts: 3, Cancel: true, RetryAfter: true,
		MaxRetryAfter: 500 * time.Millisecond, ConnectTimeout: 250 * time.Millisecond}
	f.Decide.Safety = decide.Safety{AnswerSlack: 20 * time.Millisecond, DrainGrace: 250 * time.Millisecond}
	return f
}

const maxInteger = math.MaxInt32

// decoder adds the blocks of a fleet. A draft may lack what a runner of days fills in.
type decoder struct {
	decode.Decoder
	draft bool
}

func (d *decoder) required(names ...string) []string {
	if d.draft {
		return nil
	}
	return names
}

func (d *decoder) fleet(f *Fleet, n *kdl.Node) {
	f.Name = d.Named("fleet", n, map[string]bool{})
	c := &f.Decide
	zones := map[string]bool{}
	classNames, planNames, memberNames := map[string]bool{}, map[string]bool{}, map[string]bool{}
	type plannedMember struct {
		at  string
		pos kdl.Pos
		m   Member
	}
	var members []plannedMember
	d.Block("", n, decode.Fields{
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
		"log-level": decode.Choice(&f.Log.Level, map[string]string{"debug": "debug", "info": "info", "warn": "warn", "error": "error"}),
	}, decode.Blocks{
		"zone": func(at string, n *kdl.Node) { d.Named(at, n, zones) },
		"class": func(at string, n *kdl.Node) {
			c.Classes = append(c.Classes, d.class(d.Named(at, n, classNames), n))
		},
		"plan": func(at string, n *kdl.Node) {
			c.Plans = append(c.Plans, d.plan(d.Named(at, n, planNames), n))
		},
		"gateway": func(at string, n *kdl.Node) { f.Gateways = append(f.Gateways, d.gateway(at, n, zones)) },
		"member": func(at string, n *kdl.Node) {
			name := d.Named(at, n, memberNames)
			members = append(members, plannedMember{"member " + name, n.Pos, d.member(name, n)})
		},
		"limits":   func(at string, n *kdl.Node) { d.limits(at, n, &c.Limits) },
		"safety":   func(at string, n *kdl.Node) { d.safety(at, n, &c.Safety) },
		"prices":   func(at string, n *kdl.Node) { d.prices(at, n, &c.Prices) },
		"measures": func(at string, n *kdl.Node) { d.measures(at, n, &f.Metrics) },
		"traces": func(at string, n *kdl.Node) {
			d.Plain(at, n)
			t := &f.Tracing
			d.Block(at, n, decode.Fields{"to": address(&t.URL), "share": decode.Number(&t.SampleFraction, 0, 1), "rate": decode.Rate(&t.MaxPerSecond),
				"queue": decode.Int(&t.MaxSpans, 1, 1<<20), "timeout": decode.Duration(&t.Timeout, time.Millisecond)}, nil, "to")
		},
		"export": func(at string, n *kdl.Node) { d.export(at, n, &f.UsageExport) },
		"caps":   func(at string, n *kdl.Node) { d.caps(at, n, &f.Caps) },
	}, d.required("secret")...)
	c.Gateways = len(f.Gateways)
	if len(f.Gateways) == 0 && !d.draft {
		d.Fail(n.Pos, "gateway", "missing, want one or more")
	}
	owner := map[credentials.Digest]string{}
	for _, p := range members {
		if !planNames[p.m.Plan] && p.m.Plan != "" {
			d.Fail(p.pos, p.at+".plan", "%q, want one of %s", p.m.Plan, quotedNames(planNames))
		}
		if p.m.First >= len(f.Gateways) || p.m.Spread > len(f.Gateways) {
			d.Fail(p.pos, p.at+".spread", "first %d and spread %d, want gateways 0 to %d", p.m.First, p.m.Spread,
				len(f.Gateways)-1)
		}
		if p.m.Spread == 0 {
			p.m.Spread = len(f.Gateways)
		}
		for _, k := range p.m.Keys {
			if o := owner[k]; o != "" {
				d.Fail(p.pos, p.at+".key", "%s, the key of %s", k, o)
			}
			owner[k] = p.m.Name
		}
		f.Members = append(f.Members, p.m)
	}
	if f.UsageExport.URL != "" && f.StateDirPattern == "" && !d.draft {
		d.Fail(n.Pos, "kept", "missing, export is given and has its log there")
	}
	if f.StateDirPattern != "" && !strings.Contains(f.StateDirPattern, "%d") && len(f.Gateways) > 1 {
		d.Fail(n.Pos, "kept", "%q, want %%d in it, which stands for the rank: each gateway has its own", f.StateDirPattern)
	}
	for i, g := range f.Gateways {
		if c.Limits.Gossip && g.GossipAddress == "" && !d.draft {
			d.Fail(n.Pos, fmt.Sprintf("gateway[%d].peer", i), "missing, limits.peers is #true")
		}
	}
	if c.Limits.Gossip && c.GossipCapacity == 0 && !d.Has("intake") {
		d.Fail(n.Pos, "intake", "missing, limits.peers is #true")
	}
}

func (d *decoder) secret(to *credentials.Secret) func(decode.Setting) {
	return func(s decode.Setting) {
		raw, err := hex.DecodeString(s.Value.Text)
		if err != nil || len(raw) != len(to) {
			d.Fail(s.Value.Pos, s.Field, "%d characters, want %d hexadecimal ones (winghatch key secret makes them)",
				len(s.Value.Text), 2*len(to))
			return
		}
		copy(to[:], raw)
	}
}

func (d *decoder) class(name string, n *kdl.Node) decide.Class {
	k := decide.Class{Name: name, PriorityWeight: 1, DedupScope: decide.DedupInFleet}
	at := "class " + name
	group := false
	d.Block(at, n, decode.Fields{
		"effect": decode.Choice(&k.Idempotency, map[string]decide.Idempotency{"safe": decide.Idempotent, "keyed": decide.IdempotentByKey, "unsafe": decide.NotIdempotent}),
		"group": func(s decode.Setting) {
			group = true
			decode.Choice(&k.DedupScope, map[string]decide.DedupScope{"all": decide.DedupInFleet, "zone": decide.DedupInZone, "cell": decide.DedupInCell})(s)
		},
		"window":     decode.Duration(&k.DedupWindow, time.Millisecond),
		"aim":        decode.Duration(&k.LatencyObjective, time.Millisecond),
		"deadline":   decode.Duration(&k.Deadline, time.Millisecond),
		"worth":      decode.Number(&k.PriorityWeight, 0, maxInteger),
		"late-worth": decode.Number(&k.LateWeight, 0, 1),
	}, nil, "effect", "aim", "deadline")
	switch {
	case k.Idempotency == decide.IdempotentByKey && k.DedupWindow == 0:
		d.Fail(n.Pos, at+".window", "missing, the effect is keyed")
	case k.Idempotency != decide.IdempotentByKey && (k.DedupWindow > 0 || group):
		d.Fail(n.Pos, at+".effect", "not keyed, yet window or group is given")
	case k.Deadline > 0 && k.Deadline < k.LatencyObjective:
		d.Fail(n.Pos, at+".deadline", "%v, want the aim of %v or more", k.Deadline, k.LatencyObjective)
	}
	return k
}

func (d *decoder) plan(name string, n *kdl.Node) decide.Plan {
	p := decide.Plan{Name: name, PriorityWeight: 1}
	at := "plan " + name
	d.Block(at, n, decode.Fields{
		"rate": decode.Rate(&p.Rate), "burst": decode.Number(&p.Burst, 0, maxInteger),
		"ceiling-rate": decode.Rate(&p.CeilingRate), "ceiling-burst": decode.Number(&p.CeilingBurst, 0, maxInteger),
		"ceiling-slack": decode.Number(&p.CeilingSlack, 0, maxInteger), "max-open": decode.Int(&p.MaxInFlight, 0, maxInteger),
		"price": decode.Number(&p.PriorityWeight, 0, maxInteger), "over-worth": decode.Number(&p.OverQuotaValue, 0, maxInteger),
		"over-cost": decode.Number(&p.OverQuotaCost, 0, maxInteger),
	}, nil)
	if (p.Rate > 0) != (p.Burst > 0) {
		d.Fail(n.Pos, at+".burst", "rate %v and burst %v, want both or neither", p.Rate, p.Burst)
	}
	if (p.CeilingRate > 0) != (p.CeilingBurst > 0) {
		d.Fail(n.Pos, at+".ceiling-burst", "rate %v and burst %v, want both or neither", p.CeilingRate, p.CeilingBurst)
	}
	if p.CeilingRate > 0 && p.CeilingRate < p.Rate {
		d.Fail(n.Pos, at+".ceiling-rate", "%v, want the rate of %v or more", p.CeilingRate, p.Rate)
	}
	return p
}

func (d *decoder) gateway(at string, n *kdl.Node, zones map[string]bool) Gateway {
	var g Gateway
	d.Plain(at, n)
	d.Block(at, n, decode.Fields{"listen": decode.Address(&g.Listen), "peer": decode.Address(&g.GossipAddress), "peer-bind": decode.Address(&g.GossipBind), "state": decode.Address(&g.StateAddress),
		"changes": decode.String(&g.ChangesFile),
		"zone": func(s decode.Setting) {
			if decode.String(&g.Zone)(s); len(zones) > 0 && !zones[g.Zone] {
				s.Reject("one of " + quotedNames(zones))
			}
		}}, nil, d.required("listen")...)
	return g
}

func (d *decoder) member(name string, n *kdl.Node) Member {
	m := Member{Name: name}
	d.Block("member "+name, n, decode.Fields{"plan": decode.String(&m.Plan), "first": decode.Int(&m.First, 0, maxInteger),
		"spread": decode.Int(&m.Spread, 1, maxInteger)},
		decode.Blocks{"key": func(at string, n *kdl.Node) {
			for _, v := range n.Args {
				k, err := credentials.ParseDigest(v.Text)
				if err != nil {
					d.Fail(v.Pos, "member "+name+".key", "%s, %v", v, err)
					continue
				}
				m.Keys = append(m.Keys, k)
			}
		}}, "plan")
	if len(m.Keys) == 0 && !d.draft {
		d.Fail(n.Pos, "member "+name+".key", "missing, want one or more (winghatch key new makes them)")
	}
	return m
}

func (d *decoder) limits(at string, n *kdl.Node, l *decide.Limits) {
	d.Plain(at, n)
	d.Block(at, n, decode.Fields{"attempts": decode.Int(&l.MaxAttempts, 1, 100), "parallel": decode.Bool(&l.Hedging),
		"cancel": decode.Bool(&l.Cancel), "peers": decode.Bool(&l.Gossip), "retry-after": decode.Bool(&l.RetryAfter),
		"max-retry-after": decode.Duration(&l.MaxRetryAfter, 0),
		"connect-timeout": decode.Duration(&l.ConnectTimeout, time.Millisecond)}, nil)
}

func (d *decoder) safety(at string, n *kdl.Node, s *decide.Safety) {
	d.Plain(at, n)
	d.Block(at, n, decode.Fields{"answer-slack": decode.Duration(&s.AnswerSlack, 0), "drain-grace": decode.Duration(&s.DrainGrace, 0),
		"cold-from": decode.Number(&s.SlowStartCapacity, 0, 1), "cold-for": decode.Duration(&s.SlowStartDuration, 0),
		"fall-multiple": decode.Number(&s.OverloadMultiple, 0, maxInteger), "fall-window": decode.Duration(&s.OverloadWindow, 0),
		"ask-within": decode.Duration(&s.ListMaxAge, 0)}, nil)
}

func (d *decoder) prices(at string, n *kdl.Node, p *decide.Prices) {
	d.Plain(at, n)
	d.Block(at, n, decode.Fields{"cross-zone": decode.Number(&p.CrossZone, 0, maxInteger), "waste": decode.Number(&p.Waste, 0, maxInteger),
		"probe": decode.Number(&p.HealthCheck, 0, maxInteger), "peer": decode.Number(&p.Gossip, 0, maxInteger),
		"late-fail": decode.Number(&p.LateFailure, 0, maxInteger), "counter": decode.Number(&p.Counter, 0, maxInteger)}, nil)
}

func (d *decoder) export(at string, n *kdl.Node, e *UsageExport) {
	d.Plain(at, n)
	modes := map[string]wal.SyncMode{}
	for _, m := range []wal.SyncMode{wal.SyncAlways, wal.SyncInterval, wal.SyncNever} {
		modes[m.String()] = m
	}
	d.Block(at, n, decode.Fields{"to": address(&e.URL), "durability": decode.Choice(&e.Durability, modes), "every": decode.Duration(&e.SyncInterval, time.Millisecond),
		"disk": func(s decode.Setting) {
			if decode.Size(&e.MaxLogBytes)(s); e.MaxLogBytes < leastDisk {
				s.Reject(fmt.Sprintf("%d bytes or more", leastDisk))
			}
		}, "batch": decode.Int(&e.BatchSize, 1, 100000), "timeout": decode.Duration(&e.Timeout, time.Millisecond),
		"unwritable": decode.Choice(&e.OnUnwritable, map[string]outbox.Policy{"refuse": outbox.PolicyReject, "serve": outbox.PolicyServe})}, nil, "to")
}

func (d *decoder) measures(at string, n *kdl.Node, m *Metrics) {
	d.Plain(at, n)
	m.Enabled = true
	d.Block(at, n, decode.Fields{"to": address(&m.URL), "every": decode.Duration(&m.Interval, 10*time.Millisecond),
		"timeout": decode.Duration(&m.Timeout, time.Millisecond), "max-age": decode.Duration(&m.MaxAge, time.Second),
		"queue": decode.Int(&m.MaxSamples, 100, maxInteger), "memory": decode.Size(&m.MaxBytes), "batch": decode.Int(&m.BatchSize, 1, 100000),
		"shards": decode.Int(&m.Shards, 1, 64), "members": decode.Int(&m.MaxMembers, 0, 100000),
		"protocol": decode.Choice(&m.VersionOne, map[string]bool{"1.0": true, "2.0": false})}, nil)
}

// address reads a URL.
func address(to *string) func(decode.Setting) {
	return func(s decode.Setting) {
		u, err := url.Parse(s.Value.Text)
		if s.Value.Kind != kdl.String || err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			s.Reject(`a URL such as "http://127.0.0.1:8090/use"`)
			return
		}
		*to = s.Value.Text
	}
}

// leastDisk is the smallest bound on the export's log: four segments.
const leastDisk = 4 << 20

func (d *decoder) caps(at string, n *kdl.Node, c *ResourceLimits) {
	d.Plain(at, n)
	d.Block(at, n, decode.Fields{"sessions": decode.Int(&c.MaxSessions, 1, maxInteger), "open": decode.Int(&c.MaxInFlight, 1, maxInteger),
		"session-open": decode.Int(&c.MaxInFlightPerSession, 1, maxInteger), "batch": decode.Int(&c.MaxBatch, 1, maxInteger),
		"message": decode.Size(&c.MaxMessageBytes), "frame": decode.Size(&c.MaxFrameBytes), "queue": decode.Size(&c.MaxQueuedBytes), "handshake": decode.Duration(&c.HandshakeTimeout, time.Millisecond),
		"write": decode.Duration(&c.WriteTimeout, time.Millisecond), "ping": decode.Duration(&c.PingAfter, 10*time.Millisecond), "node-connections": decode.Int(&c.MaxConnsPerEndpoint, 1, 1024),
		"node-calls": decode.Int(&c.MaxRequestsPerConn, 1, maxInteger), "node-idle": decode.Duration(&c.EndpointIdleTimeout, time.Millisecond)}, nil)
}

func quotedNames(m map[string]bool) string {
	s := ""
	for i, k := range decode.SortedKeys(m) {
		if i > 0 {
			s += ", "
		}
		s += k
	}
	if s == "" {
		return "none (none is given)"
	}
	return s
}
