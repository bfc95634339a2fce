// The types of what a gateway keeps; what is done with it stands in decide.go.

package decide

import (
	"math"
	"math/rand"
	"slices"
	"strings"
	"time"
)

type peer struct {
	heard, sent       time.Duration
	epoch, seq, mySeq int
	known             bool // heard since this gateway started
	younger           bool // it started after this gateway, so all of its totals are news
	queue             []*customer
}

// Gateway decides for one gateway. Make it with New.
type Gateway struct {
	cfg            Config
	rng            *rand.Rand
	now, started   time.Duration
	begun          bool
	stoodAt, stood time.Duration // when this gateway last went on after standing still, and how long it had
	out            []Action
	classes        map[string]*class
	plans          map[string]int
	perAsk         []float64         // by plan, the usual demand of a customer for each time it asked here, as a logarithm
	terms          map[uint64]*terms // of customers that were put on other terms
	servers        map[string]*server
	order          []*server // by ID
	requests       map[string]*request
	timers         map[uint64]attemptRef
	nextToken      uint64
	customers      map[uint64]*customer
	queue          []*customer // customers in the order of first sight, to sweep the idle
	peers          []peer
	epoch          int
	budget         float64
	done           rate          // answers of all servers
	quickest       float64       // shortest aim of a class, seconds
	longest        time.Duration // longest aim of a class
	value          float64       // usual worth per unit of work of what is let in

	mesh    bool                // everyone tells everyone
	asks    map[uint64]*request // that wait for a home, by number
	askNo   uint64
	seen    rate // answers that were seen or told
	news    newest
	usual   struct{ open, done float64 } // mean of the gateways: work open, answers a second
	shorts  map[uint64]*server
	askRate rate                  // questions that came in
	trip    time.Duration         // usual time of a home's answer
	silent  map[int]time.Duration // homes that gave no answer, until then
	all     survey
	serving float64   // servers, as the list tells
	used    []*server // of late, or cold; see survey
	leaving bool      // some server is gone and not forgotten yet
}

type class struct {
	Class
	no   int
	base float64       // usual seconds of an answer
	n    float64       // answers seen
	at   time.Duration // of the last
	left time.Duration // the most time that a first try came with
}

// terms are a customer's own; no is the plan's number in messages.
type terms struct {
	Plan
	no int
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

	used              rate
	metered, factor   float64 // what the meter last told, units a second; factor on the part by it
	meteredAt         time.Duration
	demand, asks      float64 // see Gateway.demand; at demandAt, askedAt
	demandAt, askedAt time.Duration
	told              []told
	queued            []bool
	open              int
	store             float64 // units of this gateway's slice of the ceiling

	fleet        rate          // units that all gateways ask of this home
	asksAll      float64       // units a second that all gateways ask, as the home told ...
	toldAt, shut time.Duration // ... then; refused at once until then, by the home's word
	grants       []grant       // of the home
	wait         float64       // seconds that the home lets refused ones wait
}

// grant is what a home let one gateway pass on.
type grant struct {
	from int
	no   uint64
	at   time.Duration
	ok   bool
	out  bool // an attempt is out
}

type server struct {
	Server
	slow, outAvg       float64 // times the usual time of a class; its usual load
	slowAt             time.Duration
	out                int
	ghosts             []time.Duration // when the attempts were sent that ended unanswered and may still run
	miss               []rate          // by class: share left or failed, and when that was known
	short              uint64          // its name in messages
	sends              rate
	lastGood, budgetAt time.Duration
	budget             float64 // cold budget, in requests
	coldUntil          time.Duration
	used               bool // it is among the gateway's used ones
}

// survey counts the servers at each beat and each change of the list, so that no request needs to.
type survey struct {
	serving, warm, sends, open float64
}

type attempt struct {
	server    *server
	n         int
	at        time.Duration
	over, ran bool // ran: it may have run
}

type attemptRef struct {
	id  string
	n   int
	due time.Duration
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
	no                  uint64 // of the question to the home
	asked               int    // questions put
	askedAt             time.Duration
	asking              bool
	granted             int          // the home that let it in, or -1
	more                float64      // units used beyond those told at first
	why                 RejectReason // of its refusal, if it comes to that
}

// aims is a time in quickest aims. Times that belong to one request are told so, as sites differ in scale.
func (g *Gateway) aims(n float64) time.Duration {
	return time.Duration(n * g.quickest * float64(time.Second))
}

const beatToken = 1 // timer of the beat; tokens above it name attempts and questions

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

// New returns a gateway that knows only its configuration. The seed feeds its random choices.
func New(cfg Config, seed int64) (*Gateway, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, rng: rand.New(rand.NewSource(seed)), classes: map[string]*class{},
		plans: map[string]int{}, servers: map[string]*server{}, requests: map[string]*request{},
		timers: map[uint64]attemptRef{}, nextToken: beatToken + 1, customers: map[uint64]*customer{},
		asks: map[uint64]*request{}, terms: map[uint64]*terms{}, shorts: map[uint64]*server{},
		silent: map[int]time.Duration{}, trip: askFirst, budget: budgetMost}
	if g.mesh = g.tellsAll(); g.mesh && cfg.Limits.Gossip {
		g.peers = make([]peer, cfg.Gateways)
	}
	for i, k := range cfg.Classes {
		g.classes[k.Name] = &class{no: i, Class: k, base: firstGuess * k.LatencyObjective.Seconds()}
		g.longest = max(g.longest, k.LatencyObjective)
		if g.quickest == 0 || k.LatencyObjective.Seconds() < g.quickest {
			g.quickest = k.LatencyObjective.Seconds()
		}
	}
	g.perAsk = slices.Repeat([]float64{math.Log(askAtStart)}, len(cfg.Plans))
	for i, p := range cfg.Plans {
		g.plans[p.Name] = i
	}
	g.epoch, g.askNo = g.rng.Intn(64*64), uint64(g.rng.Intn(4096))
	return g, nil
}

// wake sets a timer for an attempt, or for a question that the number -1 stands for.
func (g *Gateway) wake(id string, n int, at time.Duration) {
	g.timers[g.nextToken] = attemptRef{id, n, at}
	g.do(SetTimer{at, g.nextToken})
	g.nextToken++
}

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

// inSet reports whether a customer's requests may come in through the gateway of that number.
func (g *Gateway) inSet(c *customer, rank int) bool {
	return (rank-c.first+g.cfg.Gateways)%g.cfg.Gateways < c.spread
}

func (g *Gateway) attempt(id string, n int) *attempt {
	if r := g.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		return r.attempts[n]
	}
	return nil
}

// server finds a server, or makes it.
func (g *Gateway) server(id string) *server {
	if s := g.servers[id]; s != nil {
		return s
	}
	s := &server{slow: 1, outAvg: 0.5, miss: make([]rate, len(g.cfg.Classes)), short: shortKey(id) & shortMask}
	g.shorts[s.short] = s
	g.servers[id] = s
	at, _ := slices.BinarySearchFunc(g.order, id, func(s *server, id string) int {
		return strings.Compare(s.ID, id)
	})
	g.order = slices.Insert(g.order, at, s)
	return s
}

func (g *Gateway) customer(key uint64, planNo int) *customer {
	if c := g.customers[key]; c != nil {
		c.last = g.now
		return c
	}
	p := &g.cfg.Plans[planNo]
	if t := g.terms[key]; t != nil {
		p, planNo = &t.Plan, t.no
	}
	c := &customer{key: key, plan: p, planNo: planNo, spread: g.cfg.Gateways, at: g.started, last: g.now,
		told: make([]told, len(g.peers)), queued: make([]bool, len(g.peers))}
	c.part, c.factor, c.toldAt = 1/float64(c.spread), 1, -partMemory
	c.demandAt = -time.Hour // never
	if !g.mesh {
		c.whole = g.startsAt(c)
	}
	c.level = c.part * startLevel * p.Burst // leaks, and the store fills, from the start on
	g.customers[key] = c
	g.queue = append(g.queue, c)
	return c
}

// forgetGone drops servers that are gone once nothing of theirs is out: where servers are replaced all day by new ones
// under new names, those of the whole day would else be kept and looked at.
func (g *Gateway) forgetGone() {
	if !g.leaving {
		return
	}
	g.leaving = false
	g.order = slices.DeleteFunc(g.order, func(s *server) bool {
		if s.State != Removed {
			return false
		}
		if g.load(s) > 0 {
			g.leaving = true
			return false
		}
		delete(g.servers, s.ID)
		if g.shorts[s.short] == s {
			delete(g.shorts, s.short)
		}
		return true
	})
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

// newest are the last few sights of own requests.
type newest struct {
	v [newsOf]sight
	n int
}

func (n *newest) add(v sight) {
	if v.class > maxClass {
		return // a word has no digit for it
	}
	copy(n.v[1:], n.v[:])
	n.v[0], n.n = v, min(n.n+1, newsOf)
}
