// This file holds every decision and every tuned constant; decide/api.go holds the interface: Config,
// events and actions. Read it in this order: constants; the gateway and how it takes events; the quota
// (bucket, part, ceiling, open cap); sharing (what peers tell); choice and health of servers; attempts
// and deadlines; guards of the rules.

package decide

import (
	"math"
	"math/rand"
	"slices"
	"strings"
	"time"
)

// Quota.
const (
	partMemory = 2 * time.Second // memory of asked units: long against gaps, short against shifts of traffic
	partPrior  = 0.05            // seconds of the even slice mixed in: steadies rare askers
	startLevel = 0.5             // of the mark: level after a start, as the past is unknown
	peerStale  = 1 * time.Second // a peer not heard for this long no longer settles buckets
	meterStale = 3 * time.Second // the meter is late; older totals say nothing

	meterGrow, meterShrink = 1.02, 0.95 // of the factor on the part, a report

	forgetAfter = time.Minute // idle customers are dropped; every bucket and store is as new by then
	slackPart   = 0.9         // of the ceiling's slack is used: the rest is for rounding
)

// Sharing.
const (
	intakePart = 0.8                    // of the stated intake is used by all peers together
	askedStep  = 0.25                   // of the burst: asked units that are worth telling
	quietBeat  = 400 * time.Millisecond // an idle peer still says that it lives
	maxMessage = 256                    // bytes of a message
	msgVersion = "c"                    // messages that begin otherwise are not understood and dropped
	msgHead    = 5                      // version; two digits each: epoch, number
	msgEntry   = 12                     // customer of six digits, plan, used of two, asked of two, level
	levelSteps = 30.0                   // digits of a told level for a whole burst
)

// Servers.
const (
	baseGain     = 0.03            // gain of a class's usual time: slow, it is the fleet's yardstick
	slowGain     = 0.2             // gain of a server's slowness against that: a few answers tell
	firstGuess   = 0.2             // of the aim: the usual time before any answer
	slowMemory   = 2 * time.Second // slowness fades without answers: the unused get another look
	errGain      = 0.15            // gain of a server's share of errors
	errEject     = 0.3             // share of errors, beyond twice the fleet's, at which a server is ejected
	ejectFor     = 2 * time.Second // first ejection; doubled each time ...
	ejectMost    = 8 * time.Second // ... up to this
	ejectPart    = 0.34            // of the servers may be ejected at once
	trialsNeeded = 3               // good answers, one at a time, that end an ejection
	crossZone    = 1.03            // factor on the estimate of a server in another zone
	coldMargin   = 0.5             // of the cold budget is used: costs vary and others' traffic is guessed
	sendMemory   = 5 * time.Second // memory of the sends to a server
)

// Attempts.
const (
	ghostFor    = 1500 * time.Millisecond // work that nobody waits for counts as load no longer than this
	waitPart    = 0.7                     // work that nobody waits for counts as load for so long
	openLeast   = 3.0                     // attempts out a server, of all gateways, that are always allowed
	aimMargin   = 6 * time.Millisecond    // an answer must be back at the client within the aim
	overdueX    = 4.0                     // times its estimate: an attempt is overdue
	overdueMin  = 150 * time.Millisecond
	budgetPart  = 0.15 // further attempts a first attempt, by this much the retry budget grows ...
	budgetMost  = 10.0 // ... up to this many
	shedFrom    = 0.25 // of the cap on open work, where the least worth work is shed
	shedTo      = 0.8  // of the time left: an estimate over it is hopeless
	retryAdvice = 200 * time.Millisecond
)

const beatToken = 1 // timer of the beat; tokens above it name attempts

type peer struct {
	heard, sent       time.Duration
	epoch, seq, mySeq int
	known             bool // heard since this gateway started
	younger           bool // it started after this gateway, so all of its totals are news
	queue             []*customer
}

// Gateway decides for one gateway. Make it with New.
type Gateway struct {
	cfg          Config
	rng          *rand.Rand
	now, started time.Duration
	begun        bool
	out          []Action
	classes      map[string]*class
	plans        map[string]int
	servers      map[string]*server
	order        []*server // by ID
	requests     map[string]*request
	timers       map[uint64]attemptRef
	nextToken    uint64
	customers    map[uint64]*customer
	queue        []*customer // customers in the order of first sight, to sweep the idle
	peers        []peer
	epoch        int
	budget       float64
	done         rate    // answers of all servers
	quickest     float64 // shortest aim of a class, seconds
	value        float64 // usual worth per unit of work of what is let in
}

type class struct {
	Class
	base float64 // usual seconds of an answer
}

// New returns a gateway that knows only its configuration. The seed feeds its random choices.
func New(cfg Config, seed int64) (*Gateway, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, rng: rand.New(rand.NewSource(seed)), classes: map[string]*class{},
		plans: map[string]int{}, servers: map[string]*server{}, requests: map[string]*request{},
		timers: map[uint64]attemptRef{}, nextToken: beatToken + 1, customers: map[uint64]*customer{},
		peers: make([]peer, cfg.Gateways), budget: budgetMost}
	for _, k := range cfg.Classes {
		g.classes[k.Name] = &class{Class: k, base: firstGuess * k.Aim.Seconds()}
		if g.quickest == 0 || k.Aim.Seconds() < g.quickest {
			g.quickest = k.Aim.Seconds()
		}
	}
	for i, p := range cfg.Plans {
		g.plans[p.Name] = i
	}
	g.epoch = g.rng.Intn(64 * 64)
	return g, nil
}

// Handle takes one event at the time now and returns what is to be done, in order.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.out = nil
	g.now = max(now, g.now)
	if !g.begun {
		g.begun, g.started = true, g.now
		g.do(SetTimer{g.now + g.beatEvery(), beatToken})
	}
	switch e := ev.(type) {
	case FleetUpdate:
		g.fleet(e)
	case Request:
		g.request(e)
	case AnswerStarted:
		if a := g.attempt(e.ID, e.Attempt); a != nil {
			g.requests[e.ID].streaming = true
			g.answered(a.server)
		}
	case AttemptEnded:
		g.ended(e)
	case ClientGone:
		g.finish(g.requests[e.ID])
	case TimerFired:
		g.timer(e.Token)
	case PeerMessage:
		g.heard(e)
	}
	return g.out
}

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

func (g *Gateway) timer(token uint64) {
	if token == beatToken {
		g.beat()
		return
	}
	ref, ok := g.timers[token]
	delete(g.timers, token)
	if a := g.attempt(ref.id, ref.n); ok && a != nil && !a.over {
		g.overdue(g.requests[ref.id], a)
	}
}

// ---- Quota.

// rate is a sum of units that fades with partMemory; its value is in units a second.
type rate struct {
	v  float64
	at time.Duration
}

func (r *rate) add(now time.Duration, units float64) {
	r.v = r.get(now) + units/partMemory.Seconds()
	r.at = now
}

func (r *rate) get(now time.Duration) float64 {
	return r.v * math.Exp(-(now-r.at).Seconds()/partMemory.Seconds())
}

// told is what one peer last said of a customer.
type told struct {
	have        bool
	used, asked int
	rate        rate
}

type customer struct {
	key           uint64
	plan          *Plan
	planNo        int
	first, spread int
	at, last      time.Duration // of the last leak, of the last use
	level, part   float64       // of this gateway's bucket; its part of rate and mark
	whole         float64       // of the bucket that all gateways together fill, as far as told
	settled       time.Duration // the level follows what peers told up to then
	asked         rate

	usedSum, askedSum, askedTold float64

	used            rate
	metered, factor float64 // what the meter last told, units a second; factor on the part by it
	meteredAt       time.Duration
	told            []told
	queued          []bool
	open            int
	store           float64 // units of this gateway's slice of the ceiling
}

func (g *Gateway) customer(key uint64, planNo int) *customer {
	if c := g.customers[key]; c != nil {
		c.last = g.now
		return c
	}
	p := &g.cfg.Plans[planNo]
	c := &customer{key: key, plan: p, planNo: planNo, spread: g.cfg.Gateways, at: g.started, last: g.now,
		told: make([]told, g.cfg.Gateways), queued: make([]bool, g.cfg.Gateways)}
	c.part, c.factor = 1/float64(c.spread), 1
	c.level = c.part * startLevel * p.Burst // leaks, and the store fills, from the start on
	g.customers[key] = c
	g.queue = append(g.queue, c)
	return c
}

// inSet reports whether a customer's requests may come in through the gateway of that number.
func (g *Gateway) inSet(c *customer, rank int) bool {
	return (rank-c.first+g.cfg.Gateways)%g.cfg.Gateways < c.spread
}

// leak brings a customer's buckets, store and part up to now.
func (g *Gateway) leak(c *customer) {
	dt := (g.now - c.at).Seconds()
	c.at = g.now
	c.level = max(0, c.level-c.part*c.plan.Rate*dt)
	c.whole = max(0, c.whole-c.plan.Rate*dt)
	even := 1 / float64(c.spread)
	c.store = min(c.store+c.plan.CeilingRate*even*dt, c.plan.CeilingBurst*even)
	own := c.asked.get(g.now) + partPrior*c.plan.Rate*even
	all := own
	oldest := g.now
	for i := range g.peers {
		if i != g.cfg.Rank && g.inSet(c, i) {
			all += c.told[i].rate.get(g.now) + partPrior*c.plan.Rate*even
			if oldest = min(oldest, g.peers[i].heard); !g.peers[i].known {
				oldest = g.now - peerStale
			}
		}
	}
	c.part = even
	if g.now-oldest >= peerStale || all == 0 {
		if c.metered > 0 && g.now-c.meteredAt < meterStale {
			c.part = max(even, min(1, c.factor*c.used.get(g.now)/c.metered))
		}
		return
	}
	c.part = max(even, own/all)
	if c.spread > 1 && oldest > c.settled {
		if c.settled = oldest; all <= c.plan.Rate {
			c.level = 0 // else all contend for what leaks: each takes its part alone
		}
		c.level = max(c.level, c.part*c.whole)
	}
}

// admit decides whether the quota has room and, if so, charges the request.
func (g *Gateway) admit(c *customer, r *request) bool {
	g.leak(c)
	c.asked.add(g.now, r.units)
	if c.askedSum += r.units; c.askedSum-c.askedTold > askedStep*c.plan.Burst {
		c.askedTold = c.askedSum
		g.tellSoon(c, 0, len(g.peers)) // what was sent on is told at once, what was only asked by the step
	}
	if c.plan.Rate > 0 && c.level+c.part*r.units > c.part*c.plan.Burst {
		return false
	}
	if c.plan.MaxOpen > 0 && float64(c.open) >= math.Ceil(c.part*float64(c.plan.MaxOpen)) {
		return false
	}
	return true
}

// meter takes what an answer tells of the customer's use; it decides the part where peers are silent.
func (g *Gateway) meter(c *customer, percent int) {
	c.metered, c.meteredAt = float64(percent-1)/100*c.plan.Rate, g.now
	c.factor = min(1, c.factor*meterGrow)
	if c.metered > c.plan.Rate {
		c.factor *= meterShrink
	}
}

// underCeiling guards the rule on ceilings: this gateway's even slice of the store, empty at a start.
func (c *customer) underCeiling(units float64) bool {
	return c.plan.CeilingRate == 0 || c.store+slackPart*c.plan.CeilingSlack/float64(c.spread) >= units
}

func (g *Gateway) charge(c *customer, units float64) {
	c.level += units
	c.whole += units
	c.usedSum += units
	c.used.add(g.now, units)
	g.tellSoon(c, 0, len(g.peers))
}

// ---- Sharing.

const digits = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"

func encode(b *strings.Builder, v uint64, n int) {
	for i := n - 1; i >= 0; i-- {
		b.WriteByte(digits[v>>(6*i)&63])
	}
}

// decode reads digits; ok is false if there are others.
func decode(s string) (v uint64, ok bool) {
	for i := 0; i < len(s); i++ {
		d := strings.IndexByte(digits, s[i])
		if d < 0 {
			return 0, false
		}
		v = v<<6 | uint64(d)
	}
	return v, true
}

// shortKey names a customer in messages: 36 bits of an FNV-1a hash.
func shortKey(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return (h ^ h>>36) & (1<<36 - 1)
}

// diff is the step from one two-digit total to a later one; totals wrap and may also fall a little.
func diff(from, to int) float64 { return float64((to-from+2048+4096)%4096 - 2048) }

func (g *Gateway) beatEvery() time.Duration {
	perS := intakePart * g.cfg.PeerIntake / float64(max(1, g.cfg.Gateways-1))
	return time.Duration(float64(time.Second) / max(perS, 1))
}

// tellSoon queues what is known of a customer for the gateways of those numbers that are in its set.
func (g *Gateway) tellSoon(c *customer, from, to int) {
	for i := from; i < to; i++ {
		if g.cfg.Limits.Peers && i != g.cfg.Rank && g.inSet(c, i) && !c.queued[i] {
			c.queued[i] = true
			g.peers[i].queue = append(g.peers[i].queue, c)
		}
	}
}

func (g *Gateway) beat() {
	g.do(SetTimer{g.now + g.beatEvery(), beatToken})
	for i := range g.peers {
		p := &g.peers[i]
		if i == g.cfg.Rank || !g.cfg.Limits.Peers || (len(p.queue) == 0 && g.now-p.sent < quietBeat) {
			continue
		}
		p.sent, p.mySeq = g.now, (p.mySeq+1)%4096
		g.do(Tell{i, g.message(i, p)})
	}
	g.sweep()
}

func (g *Gateway) message(i int, p *peer) string {
	var b strings.Builder
	b.WriteString(msgVersion)
	encode(&b, uint64(g.epoch), 2)
	encode(&b, uint64(p.mySeq), 2)
	n := min(len(p.queue), (maxMessage-msgHead)/msgEntry)
	for _, c := range p.queue[:n] {
		c.queued[i] = false
		g.leak(c)
		encode(&b, c.key, 6)
		encode(&b, uint64(c.planNo), 1)
		encode(&b, uint64(int64(math.Round(c.usedSum)))&4095, 2)
		encode(&b, uint64(int64(math.Round(c.askedSum)))&4095, 2)
		encode(&b, uint64(min(63, math.Round(levelSteps*c.whole/max(c.plan.Burst, 1)))), 1)
	}
	p.queue = append([]*customer(nil), p.queue[n:]...)
	return b.String()
}

// heard takes a peer's message. Totals make lost and repeated messages harmless, the number makes late
// ones so, the epoch a restart of the peer.
func (g *Gateway) heard(e PeerMessage) {
	if e.From < 0 || e.From >= len(g.peers) || e.From == g.cfg.Rank || len(e.Text) < msgHead ||
		e.Text[:1] != msgVersion || (len(e.Text)-msgHead)%msgEntry != 0 {
		return
	}
	if _, ok := decode(e.Text[1:]); !ok {
		return
	}
	head, _ := decode(e.Text[1:msgHead])
	epoch, seq := int(head>>12), int(head&4095)
	p := &g.peers[e.From]
	if p.known && p.epoch == epoch && diff(p.seq, seq) <= 0 {
		return
	}
	if !p.known || p.epoch != epoch {
		g.greet(e.From, p)
	}
	p.epoch, p.seq, p.known, p.heard = epoch, seq, true, g.now
	for s := e.Text[msgHead:]; s != ""; s = s[msgEntry:] {
		g.learn(e.From, p, s[:msgEntry])
	}
}

// greet meets a new life of a peer: its totals begin anew, and it is told all there is to tell.
func (g *Gateway) greet(i int, p *peer) {
	p.younger = p.known
	for _, c := range g.queue {
		c.told[i].have = false
		g.tellSoon(c, i, i+1)
	}
}

func (g *Gateway) learn(from int, p *peer, s string) {
	key, _ := decode(s[:6])
	planNo, _ := decode(s[6:7])
	used, _ := decode(s[7:9])
	asked, _ := decode(s[9:11])
	level, _ := decode(s[11:])
	if int(planNo) >= len(g.cfg.Plans) {
		return
	}
	c := g.customer(key, int(planNo))
	g.leak(c)
	t := &c.told[from]
	if !t.have {
		t.have = true
		if p.younger {
			t.used, t.asked = 0, 0
		} else {
			t.used, t.asked = int(used), int(asked)
			c.whole = max(c.whole, float64(level)/levelSteps*c.plan.Burst)
		}
	}
	c.whole = max(0, c.whole+diff(t.used, int(used)))
	t.rate.add(g.now, max(0, diff(t.asked, int(asked))))
	t.used, t.asked = int(used), int(asked)
}

// sweep drops customers that have been idle for long, a few at each beat.
func (g *Gateway) sweep() {
	for n := 0; n < 4 && len(g.queue) > 0; n++ {
		c := g.queue[0]
		g.queue = g.queue[1:]
		if c.open == 0 && g.now-c.last > forgetAfter && !slices.Contains(c.queued, true) {
			delete(g.customers, c.key)
			continue
		}
		g.queue = append(g.queue, c)
	}
}

// ---- Choice and health of servers.

type server struct {
	Server
	slow, outAvg       float64 // times the usual time of a class; its usual load
	slowAt             time.Duration
	out                int
	ghosts             []time.Duration // when the attempts were sent that ended unanswered and may still run
	errs               float64
	sends              rate
	lastGood, budgetAt time.Duration
	budget             float64       // cold budget, in requests
	coldUntil, ejected time.Duration // until then
	ejections          int
	trials             int // good answers still wanted; 0: no trial
}

func (g *Gateway) fleet(e FleetUpdate) {
	if e.Kind == FleetFailed {
		return
	}
	listed := map[string]bool{}
	for _, s := range e.Servers {
		listed[s.ID] = true
		g.listed(s, e.Kind == FleetStale)
	}
	if e.Kind != FleetDelta {
		for _, s := range g.order {
			if !listed[s.ID] {
				s.State = Gone
			}
		}
	}
}

func (g *Gateway) listed(e Server, stale bool) {
	s := g.servers[e.ID]
	if s == nil {
		s = &server{slow: 1, outAvg: 0.5}
		g.servers[e.ID] = s
		at, _ := slices.BinarySearchFunc(g.order, e.ID, func(s *server, id string) int {
			return strings.Compare(s.ID, id)
		})
		g.order = slices.Insert(g.order, at, s)
	}
	if e.Started > s.Started && e.Started+g.cfg.Safety.ColdFor > g.now {
		s.coldUntil, s.budget, s.budgetAt = e.Started+g.cfg.Safety.ColdFor, 0, g.now
		s.slow, s.errs, s.ejected, s.trials, s.ejections = 1, 0, 0, 0, 0
	}
	s.Server = e
}

// estimate is the time in seconds that an answer of the server to a request of the class should take.
func (g *Gateway) estimate(s *server, k *class) float64 {
	return k.base * g.slowness(s) * (1 + g.load(s)) / (1 + s.outAvg)
}

// slowness is a server's, faded by the time since its last answer.
func (g *Gateway) slowness(s *server) float64 {
	return 1 + (s.slow-1)*math.Exp(-(g.now-s.slowAt).Seconds()/slowMemory.Seconds())
}

// load is what this gateway has at the server: attempts out, and ghosts. A jammed server works on what has
// timed out while its attempts out look few; without ghosts the jam feeds itself. Where a server drops such
// work the first later answer clears them, so they cost little.
func (g *Gateway) load(s *server) float64 {
	for len(s.ghosts) > 0 && g.now-s.ghosts[0] > ghostFor {
		s.ghosts = s.ghosts[1:]
	}
	return float64(s.out + len(s.ghosts))
}

// coldRate guards the rule on cold servers: requests a second that this gateway may send to it. What this
// gateway sends a usual server is its own share of the fleet's traffic, so that all gateways together stay
// within the multiple without agreement.
func (g *Gateway) coldRate(s *server) float64 {
	warm := g.mean(func(o *server) bool { return o.coldUntil <= g.now },
		func(o *server) float64 { return o.sends.get(g.now) })
	f := g.cfg.Safety.ColdFrom
	age := 1 - (s.coldUntil-g.now).Seconds()/g.cfg.Safety.ColdFor.Seconds()
	return coldMargin * g.cfg.Safety.FallMultiple * (f + (1-f)*age) * warm
}

// mean is the mean of a figure over the serving servers that count.
func (g *Gateway) mean(counts func(*server) bool, figure func(*server) float64) float64 {
	sum, n := 0.0, 0
	for _, o := range g.order {
		if o.State == Serving && counts(o) {
			sum += figure(o)
			n++
		}
	}
	return sum / float64(max(n, 1))
}

func (g *Gateway) cold(s *server) bool {
	if s.coldUntil <= g.now {
		return false
	}
	s.budget = min(1, s.budget+g.coldRate(s)*(g.now-s.budgetAt).Seconds())
	s.budgetAt = g.now
	return s.budget < 1
}

// usable reports whether a request may go to the server by health and by the rules.
func (g *Gateway) usable(s *server, r *request) bool {
	if s.State != Serving || s.ejected > g.now || g.cold(s) || !g.mayRepeatAt(r, s) {
		return false
	}
	return s.trials == 0 || (s.out == 0 && r.class.Effect != Unsafe)
}

// choose takes the server with the least estimate; last is the one that failed the request before.
func (g *Gateway) choose(r *request, last *server) (best *server, cost float64) {
	for _, s := range g.order {
		if !g.usable(s, r) {
			continue
		}
		c := g.estimate(s, r.class) / max(0.2, 1-s.errs) * (1 + 0.02*g.rng.Float64())
		if s.Zone != g.cfg.Zone {
			c *= crossZone
		}
		if s == last {
			c *= 3
		}
		if s.trials > 0 && r.class.Effect != Unsafe && g.budget >= 1 {
			return s, g.estimate(s, r.class)
		}
		if best == nil || c < cost {
			best, cost = s, c
		}
	}
	return best, cost
}

// answered notes that a server answers at all.
func (g *Gateway) answered(s *server) {
	s.lastGood = g.now
}

// learnTime takes the time of an answer, or of one that did not come in that time.
func (g *Gateway) learnTime(s *server, k *class, took time.Duration, ok bool) {
	x := took.Seconds() / max(k.base, 1e-6)
	s.slow, s.slowAt = g.slowness(s), g.now
	if ok || x > s.slow {
		s.slow += slowGain * (min(x, 20) - s.slow)
	}
	if ok {
		k.base += baseGain * (took.Seconds() - k.base)
	}
}

// failed notes an error, or that no answer came in time, and ejects the server if it has many more than the
// fleet. It guards against servers that fail quickly and so look idle, that went silent, or that a cut link
// hides; a fault that all share ejects nobody. It could harm a server that only costly requests went to.
func (g *Gateway) failed(s *server) {
	s.errs += errGain * (1 - s.errs)
	if s.trials > 0 {
		g.eject(s)
		return
	}
	others := g.mean(func(o *server) bool { return o != s }, func(o *server) float64 { return o.errs })
	if s.errs > errEject+2*others {
		g.eject(s)
	}
}

// eject takes the server out for a while, unless too many are: that is no outlier.
func (g *Gateway) eject(s *server) {
	out := g.mean(func(*server) bool { return true }, func(o *server) float64 {
		if o == s || o.ejected > g.now || o.trials > 0 {
			return 1
		}
		return 0
	})
	if s.ejected > g.now || out > ejectPart {
		return
	}
	s.ejected = g.now + min(ejectMost, ejectFor<<min(s.ejections, 4))
	s.ejections++
	s.trials, s.errs = trialsNeeded, 0
}

func (g *Gateway) good(s *server) {
	g.answered(s)
	s.errs -= errGain * s.errs
	if s.trials > 0 {
		if s.trials--; s.trials == 0 {
			s.ejections = 0
		}
	}
}

// ---- Attempts and deadlines.

type attempt struct {
	server    *server
	n         int
	at        time.Duration
	over, ran bool // ran: it may have run
}

type attemptRef struct {
	id string
	n  int
}

type request struct {
	Request
	class               *class
	cust                *customer
	units               float64
	until               time.Duration // no use after this
	attempts            []*attempt
	out                 int
	streaming, finished bool
}

func (g *Gateway) attempt(id string, n int) *attempt {
	if r := g.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		return r.attempts[n]
	}
	return nil
}

func (g *Gateway) request(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	k, planNo, ok := g.classes[e.Class], 0, false
	if planNo, ok = g.plans[e.Plan]; k == nil || !ok {
		g.do(Refuse{ID: e.ID})
		return
	}
	r := &request{Request: e, class: k, units: max(0, e.Units), until: e.Deadline}
	if k.LateWorth == 0 && !k.Stream && k.AimStretch == 0 {
		r.until = min(e.Deadline, g.now+max(0, k.Aim-aimMargin))
	}
	c := g.customer(shortKey(e.Customer), planNo)
	if e.Spread > 0 && e.Spread <= g.cfg.Gateways && (c.spread != e.Spread || c.first != e.First) {
		c.first, c.spread = e.First%g.cfg.Gateways, e.Spread
		c.store = min(c.store, c.plan.CeilingBurst/float64(c.spread))
	}
	r.cust = c
	if !g.admit(c, r) || !c.underCeiling(r.units) {
		g.refuse(e.ID)
		return
	}
	s, cost := g.choose(r, nil)
	if s == nil || g.shed(r, cost) {
		g.refuse(e.ID)
		return
	}
	g.requests[e.ID] = r
	c.store -= r.units
	g.charge(c, r.units)
	g.budget = min(budgetMost, g.budget+budgetPart)
	g.send(r, s)
}

// pressed is the open work over its cap. By Little's law open work is the answers a second times their time,
// so a cap at the answers that do come times the time they should take holds the wait down whatever the
// servers can do, and closes when they jam. A few may always be out, to find out that a jam is over.
func (g *Gateway) pressed() float64 {
	open, n := 0.0, 0.0
	for _, s := range g.order {
		if s.State == Serving {
			open += g.load(s)
			n++
		}
	}
	seen := 1 - math.Exp(-max(g.now-g.started, time.Second/4).Seconds()/partMemory.Seconds())
	mine := g.done.get(g.now) / seen * waitPart * g.quickest
	return open / max(mine, openLeast*n/float64(g.cfg.Gateways))
}

// shed decides whether the wait is too long for what the request is worth.
func (g *Gateway) shed(r *request, cost float64) bool {
	value := r.class.Worth * r.cust.plan.Price * r.units / max(r.class.base, 1e-6)
	g.value += 0.01 * (value - g.value)
	f := shedFrom + (1-shedFrom)*min(1, value/max(g.value, 1e-9))
	return g.pressed() > f || cost > shedTo*(r.until-g.now).Seconds()
}

func (g *Gateway) refuse(id string) {
	a := Refuse{ID: id}
	if g.cfg.Limits.RetryAfter {
		a.RetryAfter = min(g.cfg.Limits.MaxRetryAfter, retryAdvice)
	}
	g.do(a)
}

func (g *Gateway) send(r *request, s *server) {
	a := &attempt{server: s, n: len(r.attempts), at: g.now, ran: true}
	r.attempts = append(r.attempts, a)
	r.out++
	r.cust.open++
	s.outAvg += 0.05 * (g.load(s) - s.outAvg)
	if s.coldUntil > g.now {
		s.budget--
	}
	wait := max(overdueMin, time.Duration(overdueX*g.estimate(s, r.class)*float64(time.Second)))
	s.out++
	s.sends.add(g.now, 1)
	g.do(Send{r.ID, s.ID, max(r.until-g.now, time.Millisecond)})
	if g.now+wait < r.until {
		g.timers[g.nextToken] = attemptRef{r.ID, a.n}
		g.do(SetTimer{g.now + wait, g.nextToken})
		g.nextToken++
	}
}

// overdue looks at an attempt that should have been answered. If the server has answered others since, the
// request is merely costly; if it has not, the server may be silent.
func (g *Gateway) overdue(r *request, a *attempt) {
	s := a.server
	g.learnTime(s, r.class, g.now-a.at, false)
	if s.lastGood > a.at {
		return
	}
	g.failed(s)
	if r.finished || r.streaming || g.budget < 1 || r.class.Effect == Unsafe {
		return
	}
	if !g.cfg.Limits.Parallel {
		if g.cfg.Limits.Cancel {
			g.do(Cancel{r.ID, a.n}) // its end, as Cancelled, brings the next attempt
		}
		return
	}
	g.again(r, s)
}

// again sends a further attempt if the rules, the budget and the time left allow one.
func (g *Gateway) again(r *request, last *server) bool {
	if g.budget < 1 || len(r.attempts) >= g.cfg.Limits.MaxAttempts || (r.out > 0 && !g.cfg.Limits.Parallel) {
		return false
	}
	s, cost := g.choose(r, last)
	if s == nil || cost > (r.until-g.now).Seconds() || (r.out > 0 && s == last) {
		return false
	}
	g.budget--
	g.send(r, s)
	return true
}

func (g *Gateway) ended(e AttemptEnded) {
	r, a := g.requests[e.ID], g.attempt(e.ID, e.Attempt)
	if a == nil || a.over {
		return
	}
	a.over = true
	a.ran = !e.Outcome.neverRan()
	r.out--
	a.server.out--
	r.cust.open--
	g.judge(r, a, e)
	if e.TrueUnits > 0 && g.cfg.SettledLater {
		g.charge(r.cust, e.TrueUnits-r.units)
		r.units = e.TrueUnits
	}
	if e.Metered > 0 {
		g.meter(r.cust, e.Metered)
	}
	if e.Done {
		g.finish(r)
	}
	if r.finished {
		g.forget(r)
		return
	}
	if e.Outcome == Moot && len(r.attempts) == 1 {
		g.charge(r.cust, -r.units) // nothing was sent, so the quota took nothing
		r.cust.store += r.units
	}
	if r.out > 0 || (e.Outcome != Moot && g.again(r, a.server)) {
		return
	}
	g.giveUp(r)
}

// judge takes what an outcome says of its server.
func (g *Gateway) judge(r *request, a *attempt, e AttemptEnded) {
	s := a.server
	switch e.Outcome {
	case OK:
		g.good(s)
		g.done.add(g.now, 1)
		s.ghosts = slices.DeleteFunc(s.ghosts, func(at time.Duration) bool { return at < a.at })
		g.learnTime(s, r.class, e.Took, true)
	case Error:
		g.answered(s)
		g.failed(s)
	case Full:
		g.answered(s)
		s.slow += slowGain * s.slow
	case NoConnection, Reset:
		g.failed(s)
	case TimedOut, Cancelled:
		g.learnTime(s, r.class, e.Took, false)
		s.ghosts = append(s.ghosts, a.at)
		if e.Outcome == TimedOut {
			g.failed(s)
		}
	}
}

// ---- Guards of the rules.

// mayRepeatAt guards the rule on effects: whether the server may get the request, given the attempts that
// may have run.
func (g *Gateway) mayRepeatAt(r *request, s *server) bool {
	for _, a := range r.attempts {
		if r.class.Effect == Safe || !a.ran {
			continue
		}
		same := r.class.Group == GroupAll || (r.class.Group == GroupZone && s.Zone == a.server.Zone) ||
			(r.class.Group == GroupCell && s.Cell == a.server.Cell)
		if r.class.Effect == Unsafe || !same || g.now-a.at >= r.class.Window-aimMargin {
			return false
		}
	}
	return true
}

// giveUp gives the final answer: a refusal where that may be promised, else a failure.
func (g *Gateway) giveUp(r *request) {
	mayRun := func(a *attempt) bool { return a.ran }
	promise := r.class.Effect == Safe || !slices.ContainsFunc(r.attempts, mayRun) ||
		(r.class.Effect == Keyed && r.class.Group == GroupAll)
	if promise && r.out == 0 {
		g.refuse(r.ID)
	} else {
		g.do(Fail{r.ID})
	}
	g.finish(r)
}

// finish ends a request; what is still out is called off.
func (g *Gateway) finish(r *request) {
	if r == nil {
		return
	}
	r.finished = true
	for _, a := range r.attempts {
		if !a.over && g.cfg.Limits.Cancel && !r.streaming {
			g.do(Cancel{r.ID, a.n})
		}
	}
	g.forget(r)
}

// forget drops a finished request once nothing of it is out.
func (g *Gateway) forget(r *request) {
	if r.finished && r.out == 0 {
		delete(g.requests, r.ID)
	}
}
