package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() { cases["late-copy"] = lateCopy }

// lateCopySettings are the settings of a small deployment with one keyed class, in which a second copy may be
// sent while the first is out.
func lateCopySettings(window time.Duration) map[string]any {
	ns := func(d time.Duration) int64 { return d.Nanoseconds() }
	return map[string]any{
		"Family": "gate", "MembershipMode": "automatic", "Zone": "raum-nord", "Zones": []string{"raum-nord"},
		"Kinds": []string{"std-2c"}, "Tier": 0, "Tiers": []string{"ausleihe-server"}, "TickNs": 4000000,
		"Classes": []map[string]any{{
			"Name": "katalog", "Effect": "safe", "Group": "all", "AimNs": ns(time.Second),
			"GiveUpNs": ns(3800 * time.Millisecond), "WindowNs": ns(window), "Importance": 1.0, "LateWorth": 0.0,
			"Stream": false,
		}, {
			"Name": "ausleihe", "Effect": "keyed", "Group": "all", "AimNs": ns(1500 * time.Millisecond),
			"GiveUpNs": ns(3800 * time.Millisecond), "WindowNs": ns(window), "Importance": 2.0, "LateWorth": 0.2,
			"Stream": false,
		}},
		"TiersOfService": []map[string]any{{
			"Name": "kanton-gross", "Refill": 1000.0, "MostAtOnce": 3000.0, "Pays": 1.8, "BeyondEarns": 0.0,
			"ExcessCost": 1.2, "NeverOverRate": 0.0, "NeverOverDepth": 0.0, "HardSlack": 0.0, "Parallel": 0,
		}},
		"Extra": map[string]any{"CostAfter": false, "PeerIntake": 40.0, "UnitsTop": 4, "MeterNs": 0,
			"HasCounter": false, "CounterPrice": 0.0, "CountWaitNs": 0},
		"Limits": map[string]any{"SendCap": 5, "OpenCap": 30000, "ParallelTries": true, "MayCancel": true,
			"Peers": false, "Probes": false, "RetryAfter": true, "MaxRetryAfterNs": ns(500 * time.Millisecond),
			"ConnectTimeoutNs": ns(1500 * time.Millisecond), "ConnIdleNs": ns(30 * time.Second),
			"StreamsPerConn": 1, "CpuUsPerS": 600000, "CpuUsPerRequest": 0.0},
		"Safety": map[string]any{"AnswerSlackNs": 16000000, "DrainGraceNs": 2000000000, "ColdNs": ns(14 * time.Second),
			"FallNs": ns(3 * time.Second), "ColdFrom": 0.19, "FallMultiple": 2.5,
			"AskWithinNs": ns(10 * time.Second)},
	}
}

// lateCopy lets the new connections to one server at a time come up about a second late, and resets some
// connections under requests that have begun. It looks for keys that were executed twice.
func lateCopy(r *run) ([]string, error) {
	const (
		window     = 500 * time.Millisecond
		servers    = 4
		gateways   = 2
		rate       = 100 // requests a second, of all clients together
		episodes   = 12
		lateFor    = 900 * time.Millisecond
		resetShare = 0.25
	)
	dd := &dedup{window: window, seen: map[string]time.Time{}}
	var mu sync.Mutex
	random := rand.New(rand.NewSource(6))
	executions := map[string][]execution{}
	resets := false
	var backends []*backend
	var targets []target
	for i := range servers {
		b, err := startBackend(r, fmt.Sprintf("s%d", i), dd, 50*time.Millisecond, true)
		if err != nil {
			return nil, err
		}
		b.onRun = func(e execution) {
			if e.key == "" {
				return
			}
			mu.Lock()
			executions[e.key] = append(executions[e.key], e)
			mu.Unlock()
		}
		b.onReply = func(string) fault {
			mu.Lock()
			defer mu.Unlock()
			if resets && random.Float64() < resetShare {
				return reset
			}
			return answer
		}
		backends = append(backends, b)
		targets = append(targets, target{UID: fmt.Sprintf("s-%d", i), Endpoint: b.addr, Zone: "raum-nord",
			Model: "std-2c", Cell: i, State: "ready", Hint: 1})
	}
	d, err := startDiscovery(r, targets)
	if err != nil {
		return nil, err
	}
	nodes, err := startGateways(r, d, lateCopySettings(window), gateways, 64, 512)
	if err != nil {
		return nil, err
	}
	var callers []*caller
	for _, n := range nodes {
		callers = append(callers, &caller{addr: n.listen})
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	statuses := map[int]int{}
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / rate)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			q := call{txn: fmt.Sprintf("t%06d", n), class: "katalog", plan: "kanton-gross",
				customer: fmt.Sprintf("%016x", 1000+n%20), units: 1, spread: gateways,
				remaining: 3800 * time.Millisecond}
			if n%5 > 1 {
				q.class, q.key = "ausleihe", fmt.Sprintf("k%06d", n)
			}
			c := callers[n/5%gateways]
			wg.Go(func() {
				a := c.do(q)
				r.logf("client %s %s sent at %.4f: status %d %q err %v", q.txn, q.key,
					a.sentAt.Sub(r.start).Seconds(), a.status, a.body, a.err)
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(3 * time.Second)
	for e := range episodes {
		b := backends[e%servers]
		if r.trouble {
			r.logf("connections to %s come up late, some connections are reset", b.name)
			end, err := b.startLate()
			if err != nil {
				return nil, err
			}
			mu.Lock()
			resets = true
			mu.Unlock()
			time.Sleep(lateFor)
			end()
			r.logf("connections to %s come up again", b.name)
			mu.Lock()
			resets = false
			mu.Unlock()
		}
		time.Sleep(3500 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	made, late := 0, 0
	for _, b := range backends {
		b.mu.Lock()
		made, late = made+b.accepted, late+b.cameLate
		b.mu.Unlock()
	}
	r.logf("connections to servers that came up: %d, at most %d of them late", made, late)
	r.logf("answers by status: %v", statuses)
	for _, n := range nodes {
		if !n.proc.running() {
			return nil, fmt.Errorf("%s ended by itself", n.name)
		}
	}
	if statuses[200] < 100 {
		return nil, fmt.Errorf("only %d requests were served", statuses[200])
	}
	var violations []string
	for key, list := range executions {
		if len(list) > 1 {
			violations = append(violations, fmt.Sprintf("key %s of request %s ran %d times: at %s at %.4f, at %s at %.4f",
				key, list[0].txn, len(list), list[0].server, list[0].at.Sub(r.start).Seconds(),
				list[1].server, list[1].at.Sub(r.start).Seconds()))
		}
	}
	return violations, nil
}
