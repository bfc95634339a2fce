package decide

import (
	"math/rand"
	"time"
)

// Gateway makes the decisions of one gateway of a fleet. Create it with [New]. The package documentation
// describes the contract with the caller. A Gateway is not safe for concurrent use.
type Gateway struct {
	cfg Config
	rng *rand.Rand // the only source of randomness

	clock            // time of the current event
	actions []Action // actions of the current event, in order

	classes    classTable
	customers  customerTable
	planDemand planDemand
	endpoints  endpointTable
	// Requests by ID that have no final answer yet or still have an attempt in flight.
	requests      map[string]*request
	timers        timerTable
	gossip        gossipState
	owners        ownerState
	responseStats responseStats
	load          fleetLoad
	retryBudget   retryBudget
}

// classTable holds the configured classes.
type classTable struct {
	byName            map[string]*class
	shortestObjective float64       // shortest latency objective in seconds
	longestObjective  time.Duration // longest latency objective
}

// New returns a Gateway that knows only its configuration. The seed initializes its random number
// generator. If a setting is invalid, New returns the *[SettingError] of the first one.
func New(cfg Config, seed int64) (*Gateway, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{
		cfg:         cfg,
		rng:         rand.New(rand.NewSource(seed)),
		classes:     newClassTable(cfg.Classes),
		customers:   newCustomerTable(&cfg),
		planDemand:  newPlanDemand(len(cfg.Plans)),
		requests:    map[string]*request{},
		timers:      newTimerTable(),
		retryBudget: retryBudget{tokens: maxRetryBudget},
	}
	g.endpoints = newEndpointTable(len(cfg.Classes), g.objectiveMultiple(orphanLifetime))
	g.gossip = newGossipState(cfg, g.rng)
	g.owners = newOwnerState(g.rng)
	return g, nil
}

func newClassTable(classes []Class) classTable {
	t := classTable{byName: map[string]*class{}}
	for i, k := range classes {
		objective := k.LatencyObjective.Seconds()
		t.byName[k.Name] = &class{index: i, Class: k, baselineLatency: initialLatencyFraction * objective}
		t.longestObjective = max(t.longestObjective, k.LatencyObjective)
		if t.shortestObjective == 0 || objective < t.shortestObjective {
			t.shortestObjective = objective
		}
	}
	return t
}

// Handle processes one event at the time now and returns the actions to carry out, in order. If now is
// earlier than the time of the previous event, the previous time is used. The first call also sets the
// heartbeat timer. Events that are nil, of an unknown type, or about requests, attempts or timers that do
// not exist are ignored. Handle must not be called concurrently.
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

// emit appends an action to those of the current event.
func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// objectiveMultiple returns n times the shortest latency objective. Durations that concern a request are
// defined as such multiples because deployments differ in time scale.
func (g *Gateway) objectiveMultiple(n float64) time.Duration {
	return time.Duration(n * g.classes.shortestObjective * float64(time.Second))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
