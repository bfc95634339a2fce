package decide

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

func TestUsageReportsDecideTheShareWithoutGossip(t *testing.T) {
	for metered, want := range map[int]float64{1 + 100: 0.9, 1 + 1000: 1.0 / 3, 0: 1.0 / 3} {
		h := newHarness(t, nil)
		id, s := h.mustSend("get", "wide")
		h.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: ms, RequestDone: true,
			ReportedUsage: metered})
		c := h.g.customers.byKey[hashKey("c")]
		h.g.charge(c, 1800) // 900 units a second over the memory, of a rate of 1000
		if h.g.refresh(c); math.Abs(c.bucket.share-want) > 0.01 {
			t.Errorf("reported %d: share is %v, want %v", metered, c.bucket.share, want)
		}
	}
}

// TestQuotasByUsageReportsAlone: eighty gateways exchange no gossip. Customers send to random ones; each response
// reports what a customer used of its quota in the last whole second. A limit of two attempts in flight is shared
// by gateways each of which could let one pass, and a mark of a few units by gateways each of which has a bucket.
func TestQuotasByUsageReportsAlone(t *testing.T) {
	const gateways, seconds, from = 80, 40, 20
	for _, c := range []struct {
		plan       Plan
		demand     [2]float64 // requests a second of customers that demand much and little
		most, fair float64    // of what is admitted: times the quota of the former, part of the latter
	}{
		{Plan{Name: "p", MaxInFlight: 2}, [2]float64{30, 1}, 2, 0.35},
		{Plan{Name: "p", Rate: 4, Burst: 8}, [2]float64{40, 1}, 2, 0.6},
	} {
		cfg := testConfig()
		cfg.Plans, cfg.Limits.Gossip, cfg.Gateways = []Plan{c.plan}, false, gateways
		cfg.UsageReportPeriod, cfg.SettledOnResponse = time.Second, false
		rng := rand.New(rand.NewSource(3))
		var fleet []*Gateway
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
			fleet = append(fleet, g)
		}
		type response struct {
			g          int
			id, server string
			customer   int
		}
		const customers, service = 10, 400 * ms // every other one demands much
		due := map[time.Duration][]response{}
		var inFlight, peak, reported, used [customers]float64
		var requested, admitted, busy [2]float64
		step := 10 * ms
		for now := step; now < seconds*time.Second; now += step {
			if now%time.Second == 0 {
				for i := range customers {
					if reported[i] = 1 + 100*used[i]/max(c.plan.Rate, 1); c.plan.MaxInFlight > 0 {
						reported[i] = 1 + 100*peak[i]/float64(c.plan.MaxInFlight)
					}
					peak[i], used[i] = inFlight[i], 0
				}
			}
			for _, a := range due[now] {
				inFlight[a.customer]--
				fleet[a.g].Handle(now, AttemptEnded{ID: a.id, Server: a.server, Outcome: OutcomeOK,
					Duration: service, RequestDone: true, ReportedUsage: int(reported[a.customer])})
			}
			delete(due, now)
			if now%(100*ms) == 0 {
				for _, g := range fleet {
					g.Handle(now, TimerFired{heartbeatToken})
				}
			}
			for i := range customers {
				for range poisson(rng, c.demand[i%2]*step.Seconds()) {
					g := rng.Intn(gateways)
					id := fmt.Sprint(now, i, g, rng.Int())
					acts := fleet[g].Handle(now, Request{ID: id, Class: "get", Plan: "p",
						Customer: fmt.Sprint("c", i), Units: 1,
						Deadline: now + 2*time.Second, GatewayCount: gateways})
					late := now >= from*time.Second
					requested[i%2] += float64(boolToInt(late))
					for _, s := range actionsOf[Send](acts) {
						inFlight[i]++
						used[i]++
						peak[i] = max(peak[i], inFlight[i])
						admitted[i%2] += float64(boolToInt(late))
						due[now+service] = append(due[now+service], response{g, id, s.Server, i})
					}
				}
				if now >= from*time.Second {
					busy[i%2] += inFlight[i] * step.Seconds()
				}
			}
		}
		quota := float64(c.plan.MaxInFlight)
		got := busy[0] / (customers / 2) / (seconds - from)
		if c.plan.Rate > 0 {
			quota, got = c.plan.Rate, admitted[0]/(customers/2)/(seconds-from)
		}
		if got > c.most*quota || got < 0.4*quota {
			t.Errorf("%+v: customers that demand much get %.1f, want %v to %v", c.plan, got, 0.4*quota, c.most*quota)
		}
		if share := admitted[1] / requested[1]; share < c.fair {
			t.Errorf("%+v: of customers that demand little %.2f is admitted, want %v", c.plan, share, c.fair)
		}
	}
}
