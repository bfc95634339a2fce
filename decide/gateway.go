package decide

import (
	"math"
	"math/rand"
	"slices"
	"time"
)

const (
	// and two beats without any event: this gateway stood still
	stallThreshold = 100 * time.Millisecond
)

// Gateway decides for one gateway. Make it with New.
type Gateway struct {
	cfg            Config
	rng            *rand.Rand
	now, startedAt time.Duration
	running        bool
	// when this gateway last went on after standing still, and how long it had
	stallEndedAt, stallDuration time.Duration
	actions                     []Action
	classes                     map[string]*class
	planIndex                   map[string]int
	// by plan, the usual demand of a customer for each time it asked here, as a logarithm
	logDemandPerRequest []float64
	planOverrides       map[uint64]*planOverride // of customers that were put on other terms
	endpointByID        map[string]*endpoint
	endpoints           []*endpoint // by ID
	requests            map[string]*request
	timers              map[uint64]attemptRef
	nextToken           uint64
	customers           map[uint64]*customer
	customerOrder       []*customer // customers in the order of first sight, to sweep the idle
	peers               []peer
	epoch               int
	retryBudget         float64
	responseRate        rate          // answers of all servers
	shortestObjective   float64       // shortest aim of a class, seconds
	longestObjective    time.Duration // longest aim of a class
	meanValueDensity    float64       // usual worth per unit of work of what is let in

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

type attemptRef struct {
	requestID string
	attempt   int
	dueAt     time.Duration
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
		pendingGrants: map[uint64]*request{}, planOverrides: map[uint64]*planOverride{},
		endpointByShortID: map[uint64]*endpoint{},
		unresponsiveUntil: map[int]time.Duration{}, grantRoundTrip: initialGrantRoundTrip,
		retryBudget: maxRetryBudget}
	if g.fullGossip = g.supportsFullGossip(); g.fullGossip && cfg.Limits.Gossip {
		g.peers = make([]peer, cfg.Gateways)
	}
	for i, k := range cfg.Classes {
		g.classes[k.Name] = &class{index: i, Class: k, usualLatency: initialLatencyFraction *
			k.LatencyObjective.Seconds()}
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

// Handle takes one event at the time now and returns what is to be done, in order.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.actions = nil
	if gap := now - g.now; g.running && gap > stallThreshold+2*g.heartbeatInterval() {
		g.stallEndedAt, g.stallDuration = now, gap
	}
	g.now = max(now, g.now)
	if !g.running {
		g.running, g.startedAt = true, g.now
		g.emit(SetTimer{g.now + g.heartbeatInterval(), heartbeatToken})
	}
	switch e := ev.(type) {
	case EndpointUpdate:
		g.updateEndpoints(e)
	case Request:
		g.receiveRequest(e)
	case ResponseStarted:
		if a := g.findAttempt(e.ID, e.Attempt); a != nil {
			g.requests[e.ID].streaming = true
			a.endpoint.lastResponse = g.now
		}
	case AttemptEnded:
		g.attemptEnded(e)
	case ClientDisconnected:
		g.finish(g.requests[e.ID])
	case TimerFired:
		g.timerFired(e.Token)
	case GossipReceived:
		g.receiveGossip(e)
	case PlanChange:
		g.changePlan(e)
	}
	return g.actions
}

func (g *Gateway) timerFired(token uint64) {
	if token == heartbeatToken {
		g.heartbeat()
		return
	}
	ref, ok := g.timers[token]
	delete(g.timers, token)
	if r := g.requests[ref.requestID]; ok && ref.attempt < 0 && r != nil && r.awaitingGrant {
		g.grantTimedOut(r, ref.dueAt)
	} else if a := g.findAttempt(ref.requestID, ref.attempt); ok && a != nil && !a.ended {
		g.attemptOverdue(r, a)
	}
}

func (g *Gateway) heartbeatInterval() time.Duration {
	if !g.fullGossip {
		return ownerHeartbeatInterval
	}
	perS := gossipCapacityUsed * g.cfg.GossipCapacity / float64(max(1, g.cfg.Gateways-1))
	return time.Duration(float64(time.Second) / max(perS, 1))
}

func (g *Gateway) heartbeat() {
	g.emit(SetTimer{g.now + g.heartbeatInterval(), heartbeatToken})
	for i := range g.peers {
		p := &g.peers[i]
		if i == g.cfg.Rank || (len(p.pending) == 0 && g.now-p.lastSent < keepaliveInterval) {
			continue
		}
		p.lastSent, p.sentSeq = g.now, (p.sentSeq+1)%4096
		g.emit(SendGossip{i, g.nextGossipMessage(i, p)})
	}
	g.dropRemovedEndpoints()
	g.sumEndpoints()
	g.updateFleetLoad(g.totals.inFlight, g.responseRate.perSecond(g.now), ownLoadGain)
	g.dropIdleCustomers()
}
