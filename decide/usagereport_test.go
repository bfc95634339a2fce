package decide

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

func TestMeterDecidesThePartWherePeersAreSilent(t *testing.T) {
	for metered, want := range map[int]float64{1 + 100: 0.9, 1 + 1000: 1.0 / 3, 0: 1.0 / 3} {
		r := newHarness(t, nil)
		id, s := r.mustSend("get", "wide")
		r.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: ms, RequestDone: true, ReportedUsage: metered})
		c := r.g.customers.byKey[hashKey("c")]
		r.g.charge(c, 1800) // 900 units a second over the memory, of a rate of 1000
		if r.g.refresh(c); math.Abs(c.bucket.share-want) > 0.01 {
			t.Errorf("told %d: part is %v, want %v", metered, c.bucket.share, want)
		}
	}
}

// TestQuotasWhereGatewaysHearNothingOfEachOther plays eighty gateways without messages. Customers ask at random ones; the
// meter tells with each answer what a customer used of its quota in the last whole second. A cap of two attempts out is
// shared by gateways each of which could let one pass, and a mark of a few units by gateways each of which has a bucket.
func TestQuotasWhereGatewaysHearNothingOfEachOther(t *testing.T) {
	const gateways, seconds, from = 80, 40, 20
	for _, c := range []struct {
		plan       Plan
		ask        [2]float64 // requests a second of customers that ask for much and for little
		most, fair float64    // of what is let in: times the quota of those, share of these
	}{
		{Plan{Name: "p", MaxInFlight: 2}, [2]float64{30, 1}, 2, 0.35},
		{Plan{Name: "p", Rate: 4, Burst: 8}, [2]float64{40, 1}, 2, 0.6},
	} {
		cfg := testConfig()
		cfg.Plans, cfg.Limits.Gossip, cfg.Gateways, cfg.UsageReportPeriod, cfg.SettledOnResponse = []Plan{c.plan}, false, gateways, time.Second, false
		rng := rand.New(rand.NewSource(3))
		var gws []*Gateway
		for i := range gateways {
			cfg.Rank = i
			g, err := New(cfg, int64(i))
			if err != nil {
				t.Fatal(err)
			}
			var servers []Server
			for n := range 40 {
				servers = append(servers, Server{ID: fmt.Sprint("s", n), Zone: "a"})
			}
			g.Handle(0, EndpointUpdate{Kind: FullUpdate, Servers: servers})
			gws = append(gws, g)
		}
		type answer struct {
			g          int
			id, server string
			customer   int
		}
		const customers, service = 10, 400 * ms // every other one asks for much
		due := map[time.Duration][]answer{}
		var out, peak, told, used [customers]float64
		var asked, let, busy [2]float64
		step := 10 * ms
		for now := step; now < seconds*time.Second; now += step {
			if now%time.Second == 0 {
				for i := range customers {
					if told[i] = 1 + 100*used[i]/max(c.plan.Rate, 1); c.plan.MaxInFlight > 0 {
						told[i] = 1 + 100*peak[i]/float64(c.plan.MaxInFlight)
					}
					peak[i], used[i] = out[i], 0
				}
			}
			for _, a := range due[now] {
				out[a.customer]--
				gws[a.g].Handle(now, AttemptEnded{ID: a.id, Server: a.server, Outcome: OutcomeOK, Duration: service, RequestDone: true, ReportedUsage: int(told[a.customer])})
			}
			delete(due, now)
			if now%(100*ms) == 0 {
				for _, g := range gws {
					g.Handle(now, TimerFired{heartbeatToken})
				}
			}
			for i := range customers {
				for range poisson(rng, c.ask[i%2]*step.Seconds()) {
					g := rng.Intn(gateways)
					id := fmt.Sprint(now, i, g, rng.Int())
					acts := gws[g].Handle(now, Request{ID: id, Class: "get", Plan: "p", Customer: fmt.Sprint("c", i), Units: 1,
						Deadline: now + 2*time.Second, GatewayCount: gateways})
					late := now >= from*time.Second
					asked[i%2] += float64(boolToInt(late))
					for _, s := range actionsOf[Send](acts) {
						out[i]++
						used[i]++
						peak[i] = max(peak[i], out[i])
						let[i%2] += float64(boolToInt(late))
						due[now+service] = append(due[now+service], answer{g, id, s.Server, i})
					}
				}
				if now >= from*time.Second {
					busy[i%2] += out[i] * step.Seconds()
				}
			}
		}
		quota := float64(c.plan.MaxInFlight)
		got := busy[0] / (customers / 2) / (seconds - from)
		if c.plan.Rate > 0 {
			quota, got = c.plan.Rate, let[0]/(customers/2)/(seconds-from)
		}
		if got > c.most*quota || got < 0.4*quota {
			t.Errorf("%+v: customers that ask for much get %.1f, want %v to %v", c.plan, got, 0.4*quota, c.most*quota)
		}
		if share := let[1] / asked[1]; share < c.fair {
			t.Errorf("%+v: of customers that ask for little %.2f is let in, want %v", c.plan, share, c.fair)
		}
	}
}
