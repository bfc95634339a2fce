package decide

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// Without gossip, the share must follow from usage reports, or a customer whose traffic reaches only one
// gateway would get no more than the even share. Without a report, it is the even share.
func TestShareFollowsUsageReportsWithoutGossip(t *testing.T) {
	// A report is 1 plus a percentage of the rate; 0 means that there is none.
	for report, want := range map[int]float64{1 + 100: 0.9, 1 + 1000: 1.0 / 3, 0: 1.0 / 3} {
		h := newHarness(t, nil)
		id, s := h.mustSend("get", "wide")
		h.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: ms, RequestDone: true,
			ReportedUsage: report})
		c := h.g.customers.byKey[hashKey("c")]
		h.g.charge(c, 1800) // 900 units per second over rateTimeConstant, of a rate of 1000
		if h.g.refresh(c); math.Abs(c.bucket.share-want) > 0.01 {
			t.Errorf("ReportedUsage %d: share is %v, want %v", report, c.bucket.share, want)
		}
	}
}

// Eighty gateways exchange no gossip, and customers send requests to random gateways. Each response reports
// what its customer used in the last full second. Each gateway alone could admit one of two attempts in
// flight, or has a bucket of its own for a high-water mark of a few units, so without the reports customers
// would get many times their quota. Customers with low demand must still have a fair part of their
// requests admitted.
func TestQuotaWithUsageReportsOnly(t *testing.T) {
	const end, from = 40 * time.Second, 20 * time.Second // results are counted between from and end
	for _, c := range []struct {
		plan   Plan
		demand [2]float64 // requests per second of customers with high and with low demand
		// maxMultiple is the largest multiple of the quota that customers with high demand may get;
		// minAdmitted is the least fraction of the requests of customers with low demand that must be
		// admitted.
		maxMultiple, minAdmitted float64
	}{
		{Plan{Name: "p", MaxInFlight: 2}, [2]float64{30, 1}, 2, 0.35},
		{Plan{Name: "p", Rate: 4, Burst: 8}, [2]float64{40, 1}, 2, 0.6},
	} {
		f := newReportingFleet(t, c.plan)
		for f.now = reportingStep; f.now < end; f.now += reportingStep {
			f.counting = f.now >= from
			f.step(c.demand)
		}
		quota := float64(c.plan.MaxInFlight)
		got := f.busy[0] / (reportingCustomers / 2) / (end - from).Seconds()
		if c.plan.Rate > 0 {
			quota, got = c.plan.Rate, f.admitted[0]/(reportingCustomers/2)/(end-from).Seconds()
		}
		if got > c.maxMultiple*quota || got < 0.4*quota {
			t.Errorf("%+v: customers with high demand get %.1f, want %v to %v",
				c.plan, got, 0.4*quota, c.maxMultiple*quota)
		}
		if share := f.admitted[1] / f.requested[1]; share < c.minAdmitted {
			t.Errorf("%+v: admitted %.2f of the requests of customers with low demand, want at least %v",
				c.plan, share, c.minAdmitted)
		}
	}
}

const (
	reportingGateways  = 80
	reportingCustomers = 10 // every other one has high demand
	reportingStep      = 10 * ms
	reportingLatency   = 400 * ms // latency of a response
)

// reportingFleet simulates gateways without gossip whose responses carry usage reports.
type reportingFleet struct {
	plan     Plan
	gateways []*Gateway
	rng      *rand.Rand
	now      time.Duration
	due      map[time.Duration][]reportingResponse

	inFlight, peak, used, reported [reportingCustomers]float64

	// Sums over customers with high demand and over those with low demand, collected while counting is set:
	// requests, and seconds of attempts in flight.
	counting                  bool
	requested, admitted, busy [2]float64
}

type reportingResponse struct {
	gateway    int
	id, server string
	customer   int
}

func newReportingFleet(t *testing.T, plan Plan) *reportingFleet {
	t.Helper()
	cfg := testConfig()
	cfg.Plans, cfg.Limits.Gossip, cfg.Gateways = []Plan{plan}, false, reportingGateways
	cfg.UsageReportPeriod, cfg.SettledOnResponse = time.Second, false
	var servers []Server
	for n := range 40 {
		servers = append(servers, Server{ID: fmt.Sprint("s", n), Zone: "a"})
	}
	f := &reportingFleet{plan: plan, rng: rand.New(rand.NewSource(3)),
		due: map[time.Duration][]reportingResponse{}}
	for i := range reportingGateways {
		cfg.Rank = i
		g, err := New(cfg, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(0, EndpointUpdate{Kind: FullUpdate, Servers: servers})
		f.gateways = append(f.gateways, g)
	}
	return f
}

// step simulates one time step, with requests at the rates of customers with high and with low demand.
func (f *reportingFleet) step(demand [2]float64) {
	if f.now%time.Second == 0 {
		f.report()
	}
	for _, a := range f.due[f.now] {
		f.inFlight[a.customer]--
		f.gateways[a.gateway].Handle(f.now, AttemptEnded{
			ID:            a.id,
			Server:        a.server,
			Outcome:       OutcomeOK,
			Duration:      reportingLatency,
			RequestDone:   true,
			ReportedUsage: int(f.reported[a.customer]),
		})
	}
	delete(f.due, f.now)
	if f.now%(100*ms) == 0 {
		for _, g := range f.gateways {
			g.Handle(f.now, TimerFired{heartbeatToken})
		}
	}
	for i := range reportingCustomers {
		for range poisson(f.rng, demand[i%2]*reportingStep.Seconds()) {
			f.request(i)
		}
		if f.counting {
			f.busy[i%2] += f.inFlight[i] * reportingStep.Seconds()
		}
	}
}

// report computes the usage reports for the last second.
func (f *reportingFleet) report() {
	for i := range reportingCustomers {
		f.reported[i] = 1 + 100*f.used[i]/max(f.plan.Rate, 1)
		if f.plan.MaxInFlight > 0 {
			f.reported[i] = 1 + 100*f.peak[i]/float64(f.plan.MaxInFlight)
		}
		f.peak[i], f.used[i] = f.inFlight[i], 0
	}
}

// request sends a request of a customer to a random gateway.
func (f *reportingFleet) request(customer int) {
	g := f.rng.Intn(reportingGateways)
	id := fmt.Sprint(f.now, customer, g, f.rng.Int())
	counted := float64(boolToInt(f.counting))
	f.requested[customer%2] += counted
	for _, s := range actionsOf[Send](f.gateways[g].Handle(f.now, Request{
		ID:           id,
		Class:        "get",
		Plan:         "p",
		Customer:     fmt.Sprint("c", customer),
		Units:        1,
		Deadline:     f.now + 2*time.Second,
		GatewayCount: reportingGateways,
	})) {
		f.inFlight[customer]++
		f.used[customer]++
		f.peak[customer] = max(f.peak[customer], f.inFlight[customer])
		f.admitted[customer%2] += counted
		at := f.now + reportingLatency
		f.due[at] = append(f.due[at], reportingResponse{g, id, s.Server, customer})
	}
}
