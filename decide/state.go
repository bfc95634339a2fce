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
	lastHeard, lastSent time.Duration
	epoch, seq, sentSeq int
	known               bool // heard since this gateway started
	startedLater        bool // it started after this gateway, so all of its totals are news
	pending             []*customer
}

// Gateway decides for one gateway. Make it with New.
type Gateway struct {
	cfg                         Config
	rng                         *rand.Rand
	now, startedAt              time.Duration
	running                     bool
	stallEndedAt, stallDuration time.Duration // when this gateway last went on after standing still, and how long it had
	actions                     []Action
	classes                     map[string]*class
	planIndex                   map[string]int
	logDemandPerRequest         []float64                // by plan, the usual demand of a customer for each time it asked here, as a logarithm
	planOverrides               map[uint64]*planOverride // of customers that were put on other terms
	endpointByID                map[string]*endpoint
	endpoints                   []*endpoint // by ID
	requests                    map[string]*request
	timers                      map[uint64]attemptRef
	nextToken                   uint64
	customers                   map[uint64]*customer
	customerOrder               []*customer // customers in the order of first sight, to sweep the idle
	peers                       []peer
	epoch                       int
	retryBudget                 float64
	responseRate                rate          // answers of all servers
	shortestObjective           float64       // shortest aim of a class, seconds
	longestObjective            time.Duration // longest aim of a class
	meanValueDensity            float64       // usual worth per unit of work of what is let in

	fullGossip        bool                // everyone tells everyone
	pendingGrants     map[uint64]*request // that wait for a home, by number
	lastGrantNo       uint64
	observationRate   rate // answers that were seen or told
	recent            recentObservations
	fleetLoad         struct{ open, done float64 } // mean of the gateways: work open, answers a second
	endpointByShortID map[uint64]*endpoint
	grantRequestRate  rate                  // questions that came in
	grantRoundTrip    time.Duration         // usual time of a home's answer
	unresponsiveUntil map[int]time.Duration // homes that gave no answer, until then
	totals            endpointTotals
	servingEndpoints  float64     // servers, as the list tells
	activeEndpoints   []*endpoint // of late, or cold; see survey
	hasRemoved        bool        // some server is gone and not forgotten yet
}

type class struct {
	Class
	index        int
	usualLatency float64       // usual seconds of an answer
	responses    float64       // answers seen
	lastResponse time.Duration // of the last
	maxTimeLeft  time.Duration // the most time that a first try came with
}

// terms are a customer's own; no is the plan's number in messages.
type planOverride struct {
	Plan
	planNo int
}

// told is what one peer last said of a customer.
type peerTotals struct {
	known          bool
	used, demanded int
	demandRate     rate
}

type customer struct {
	key                        uint64
	plan                       *Plan
	planNo                     int
	firstGateway, gatewayCount int
	leakedAt, lastUsed         time.Duration // of the last leak, of the last use
	level, share               float64       // of this gateway's bucket; its part of rate and mark
	fleetLevel                 float64       // of the bucket that all gateways together fill, as far as told
	reconciledAt               time.Duration // the level follows what peers told up to then
	demandRate                 rate

	usedTotal, demandTotal, demandTotalSent float64

	usageRate                       rate
	meteredUsage, meterFactor       float64 // what the meter last told, units a second; factor on the part by it
	meteredAt                       time.Duration
	demandRatio, recentRequests     float64 // see Gateway.demand; at demandAt, askedAt
	demandRatioAt, recentRequestsAt time.Duration
	peerTotals                      []peerTotals
	queuedFor                       []bool
	inFlight                        int
	ceilingTokens                   float64 // units of this gateway's slice of the ceiling

	ownerDemandRate            rate          // units that all gateways ask of this home
	fleetDemand                float64       // units a second that all gateways ask, as the home told ...
	fleetDemandAt, rejectUntil time.Duration // ... then; refused at once until then, by the home's word
	grants                     []grant       // of the home
	rejectWait                 float64       // seconds that the home lets refused ones wait
}

// grant is what a home let one gateway pass on.
type grant struct {
	from      int
	number    uint64
	decidedAt time.Duration
	granted   bool
	inFlight  bool // an attempt is out
}

type endpoint struct {
	Server
	slowness, meanInFlight       float64 // times the usual time of a class; its usual load
	slownessAt                   time.Duration
	inFlight                     int
	orphans                      []time.Duration // when the attempts were sent that ended unanswered and may still run
	failureRatio                 []rate          // by class: share left or failed, and when that was known
	shortID                      uint64          // its name in messages
	sendRate                     rate
	lastResponse, warmUpBudgetAt time.Duration
	warmUpBudget                 float64 // cold budget, in requests
	slowStartUntil               time.Duration
	active                       bool // it is among the gateway's used ones
}

// survey counts the servers at each beat and each change of the list, so that no request needs to.
type endpointTotals struct {
	serving, warm, sendRate, inFlight float64
}

type attempt struct {
	endpoint          *endpoint
	number            int
	sentAt            time.Duration
	ended, mayHaveRun bool // ran: it may have run
}

type attemptRef struct {
	requestID string
	attempt   int
	dueAt     time.Duration
}

type request struct {
	Request
	class               *class
	customer            *customer
	units               float64
	usefulUntil         time.Duration // no use after this
	attempts            []*attempt
	inFlight            int
	streaming, finished bool
	grantNo             uint64 // of the question to the home
	grantRequests       int    // questions put
	grantRequestedAt    time.Duration
	awaitingGrant       bool
	grantedBy           int          // the home that let it in, or -1
	extraUnits          float64      // units used beyond those told at first
	rejectReason        RejectReason // of its refusal, if it comes to that
}

// aims is a time in quickest aims. Times that belong to one request are told so, as sites differ in scale.
func (g *Gateway) timesObjective(n float64) time.Duration {
	return time.Duration(n * g.shortestObjective * float64(time.Second))
}

const heartbeatToken = 1 // timer of the beat; tokens above it name attempts and questions

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// New returns a gateway that knows only its configuration. The seed feeds its random choices.
func New(cfg Config, seed int64) (*Gateway, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, rng: rand.New(rand.NewSource(seed)), classes: map[string]*class{},
		planIndex: map[string]int{}, endpointByID: map[string]*endpoint{}, requests: map[string]*request{},
		timers: map[uint64]attemptRef{}, nextToken: heartbeatToken + 1, customers: map[uint64]*customer{},
		pendingGrants: map[uint64]*request{}, planOverrides: map[uint64]*planOverride{}, endpointByShortID: map[uint64]*endpoint{},
		unresponsiveUntil: map[int]time.Duration{}, grantRoundTrip: initialGrantRoundTrip, retryBudget: maxRetryBudget}
	if g.fullGossip = g.supportsFullGossip(); g.fullGossip && cfg.Limits.Gossip {
		g.peers = make([]peer, cfg.Gateways)
	}
	for i, k := range cfg.Classes {
		g.classes[k.Name] = &class{index: i, Class: k, usualLatency: initialLatencyFraction * k.LatencyObjective.Seconds()}
		g.longestObjective = max(g.longestObjective, k.LatencyObjective)
		if g.shortestObjective == 0 || k.LatencyObjective.Seconds() < g.shortestObjective {
			g.shortestObjective = k.LatencyObjective.Seconds()
		}
	}
	g.logDemandPerRequest = slices.Repeat([]float64{math.Log(initialDemandPerRequest)}, len(cfg.Plans))
	for i, p := range cfg.Plans {
		g.planIndex[p.Name] = i
	}
	g.epoch, g.lastGrantNo = g.rng.Intn(64*64), uint64(g.rng.Intn(4096))
	return g, nil
}

// wake sets a timer for an attempt, or for a question that the number -1 stands for.
func (g *Gateway) setTimer(id string, n int, at time.Duration) {
	g.timers[g.nextToken] = attemptRef{id, n, at}
	g.emit(SetTimer{at, g.nextToken})
	g.nextToken++
}

// rate is a sum of units that fades with partMemory; its value is in units a second.
type rate struct {
	value     float64
	updatedAt time.Duration
}

func (r *rate) add(now time.Duration, units float64) {
	r.value = r.perSecond(now) + units/demandMemory.Seconds()
	r.updatedAt = now
}

func (r *rate) perSecond(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.updatedAt).Seconds()/demandMemory.Seconds())
}

// inSet reports whether a customer's requests may come in through the gateway of that number.
func (g *Gateway) servesCustomer(c *customer, rank int) bool {
	return (rank-c.firstGateway+g.cfg.Gateways)%g.cfg.Gateways < c.gatewayCount
}

func (g *Gateway) findAttempt(id string, n int) *attempt {
	if r := g.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		return r.attempts[n]
	}
	return nil
}

// server finds a server, or makes it.
func (g *Gateway) findOrAddEndpoint(id string) *endpoint {
	if s := g.endpointByID[id]; s != nil {
		return s
	}
	s := &endpoint{slowness: 1, meanInFlight: 0.5, failureRatio: make([]rate, len(g.cfg.Classes)), shortID: hashKey(id) & shortIDMask}
	g.endpointByShortID[s.shortID] = s
	g.endpointByID[id] = s
	at, _ := slices.BinarySearchFunc(g.endpoints, id, func(s *endpoint, id string) int {
		return strings.Compare(s.ID, id)
	})
	g.endpoints = slices.Insert(g.endpoints, at, s)
	return s
}

func (g *Gateway) findOrAddCustomer(key uint64, planNo int) *customer {
	if c := g.customers[key]; c != nil {
		c.lastUsed = g.now
		return c
	}
	p := &g.cfg.Plans[planNo]
	if t := g.planOverrides[key]; t != nil {
		p, planNo = &t.Plan, t.planNo
	}
	c := &customer{key: key, plan: p, planNo: planNo, gatewayCount: g.cfg.Gateways, leakedAt: g.startedAt, lastUsed: g.now,
		peerTotals: make([]peerTotals, len(g.peers)), queuedFor: make([]bool, len(g.peers))}
	c.share, c.meterFactor, c.fleetDemandAt = 1/float64(c.gatewayCount), 1, -demandMemory
	c.demandRatioAt = -time.Hour // never
	if !g.fullGossip {
		c.fleetLevel = g.initialFleetLevel(c)
	}
	c.level = c.share * initialLevel * p.Burst // leaks, and the store fills, from the start on
	g.customers[key] = c
	g.customerOrder = append(g.customerOrder, c)
	return c
}

// forgetGone drops servers that are gone once nothing of theirs is out: where servers are replaced all day by new ones
// under new names, those of the whole day would else be kept and looked at.
func (g *Gateway) dropRemovedEndpoints() {
	if !g.hasRemoved {
		return
	}
	g.hasRemoved = false
	g.endpoints = slices.DeleteFunc(g.endpoints, func(s *endpoint) bool {
		if s.State != Removed {
			return false
		}
		if g.outstanding(s) > 0 {
			g.hasRemoved = true
			return false
		}
		delete(g.endpointByID, s.ID)
		if g.endpointByShortID[s.shortID] == s {
			delete(g.endpointByShortID, s.shortID)
		}
		return true
	})
}

// sweep drops customers that have been idle for long, a few at each beat.
func (g *Gateway) dropIdleCustomers() {
	for n := 0; n < 4 && len(g.customerOrder) > 0; n++ {
		c := g.customerOrder[0]
		g.customerOrder = g.customerOrder[1:]
		if c.inFlight == 0 && g.now-c.lastUsed > customerIdleTimeout && !slices.Contains(c.queuedFor, true) {
			delete(g.customers, c.key)
			continue
		}
		g.customerOrder = append(g.customerOrder, c)
	}
}

// newest are the last few sights of own requests.
type recentObservations struct {
	entries [observationsPerMessage]observation
	count   int
}

func (n *recentObservations) add(v observation) {
	if v.class > maxObservedClass {
		return // a word has no digit for it
	}
	copy(n.entries[1:], n.entries[:])
	n.entries[0], n.count = v, min(n.count+1, observationsPerMessage)
}
