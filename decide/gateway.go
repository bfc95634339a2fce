package decide

import (
	"math/rand"
	"time"
)

// Gateway decides for one gateway of a fleet. Make it with New. The package documentation has the contract
// with its caller.
type Gateway struct {
	cfg Config
	rng *rand.Rand // the only source of chance

	clock            // time of the present event
	actions []Action // of the present event, in order

	classes     classTable
	customers   customerTable
	planDemand  planDemand
	endpoints   endpointTable
	requests    map[string]*request // that have no final answer yet, or an attempt in flight
	timers      timerTable
	gossip      gossipState
	owners      ownerState
	evidence    evidence
	load        fleetLoad
	retryBudget retryBudget
}

// classTable holds the configured classes.
type classTable struct {
	byName            map[string]*class
	shortestObjective float64       // shortest latency objective, seconds
	longestObjective  time.Duration // longest latency objective
}

// New returns a gateway that knows only its configuration. The seed feeds its random choices. The error
// names the first setting that is not valid.
func New(cfg Config, seed int64) (*Gateway, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{
		cfg:         cfg,
		rng:         rand.New(rand.NewSource(seed)),
		classes:     newClassTable(cfg.Classes),
		customers:   newCustomerTable(cfg.Plans),
		planDemand:  newPlanDemand(len(cfg.Plans)),
		requests:    map[string]*request{},
		timers:      newTimerTable(),
		retryBudget: retryBudget{tokens: maxRetryBudget},
	}
	g.endpoints = newEndpointTable(len(cfg.Classes), g.timesObjective(orphanLifetime))
	g.gossip = newGossipState(cfg, g.rng)
	g.owners = newOwnerState(g.rng)
	return g, nil
}

func newClassTable(classes []Class) classTable {
	t := classTable{byName: map[string]*class{}}
	for i, k := range classes {
		objective := k.LatencyObjective.Seconds()
		t.byName[k.Name] = &class{index: i, Class: k, usualLatency: initialLatencyFraction * objective}
		t.longestObjective = max(t.longestObjective, k.LatencyObjective)
		if t.shortestObjective == 0 || objective < t.shortestObjective {
			t.shortestObjective = objective
		}
	}
	return t
}

// Handle takes one event at the time now and returns what is to be done, in order. It must not be called by
// two goroutines at a time.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.actions = nil
	if first := g.advance(now, g.heartbeatInterval()); first {
		g.setHeartbeat()
	}
	switch e := ev.(type) {
	case EndpointUpdate:
		g.updateEndpoints(e)
	case Request:
		g.receiveRequest(e)
	case ResponseStarted:
		g.responseStarted(e)
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

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// timesObjective returns a multiple of the shortest latency objective. Times that belong to a request are
// given as such multiples, since deployments differ in scale.
func (g *Gateway) timesObjective(n float64) time.Duration {
	return time.Duration(n * g.classes.shortestObjective * float64(time.Second))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
