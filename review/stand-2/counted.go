package main

import (
	"fmt"
	"math"
	"sync"
	"time"
)

func init() { cases["counted-twice"] = countedTwice }

// countedTwice sends requests whose answers report a size of their own, each a different one, while one of seven
// servers quickly fails many of its requests, and looks at what the receiver of usage has of each request.
func countedTwice(r *run) ([]string, error) {
	const (
		servers = 7
		workers = 6
		calls   = 400 // of each worker
	)
	f, err := startFleet(r, fleetOptions{gateways: 2, export: true, durability: "interval", servers: servers,
		plan: `rate "4000/s"; burst 12000; price 1.2`,
		flags: func(i int) string {
			if i == 0 && r.trouble {
				return " --errors 0.7"
			}
			return ""
		}})
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	answered := map[int64]string{} // names of requests by the sizes that clients were told, in units of 1e-6
	total, others := 0.0, map[string]int{}
	var wg sync.WaitGroup
	var sessionErr error
	for w := range workers {
		wg.Go(func() {
			s, err := openSession(f.listens[w%2], memberKey)
			if err != nil {
				mu.Lock()
				sessionErr = err
				mu.Unlock()
				return
			}
			defer s.end()
			for i := range calls {
				id := w*calls + i
				size := 3 + float64(id+1)*1e-4 // no two requests have the same size
				answer, err := s.call("order-lookup", map[string]any{"units": 1,
					"work": map[string]any{"try": fmt.Sprintf("t%d", id), "true_units": size}})
				if err != nil {
					return
				}
				a := <-answer
				mu.Lock()
				r.logf("t%d at gateway %d: %s %s, %.4f units", id, w%2, a.kind, a.reason, a.units)
				if a.kind == "served" {
					answered[int64(math.Round(a.units*1e6))] = fmt.Sprintf("t%d", id)
					total += a.units
				} else {
					others[a.kind+" "+a.reason]++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	if sessionErr != nil {
		return nil, sessionErr
	}
	last, rest := -1, 0
	for range 40 {
		time.Sleep(500 * time.Millisecond)
		events, err := readUsage(f.usage)
		if err != nil {
			return nil, err
		}
		if rest++; len(events) != last {
			last, rest = len(events), 0
		}
		if rest == 6 {
			break
		}
	}
	events, err := readUsage(f.usage)
	if err != nil {
		return nil, err
	}
	byRequest := map[string][]usageEvent{}
	exported := 0.0
	for _, e := range events {
		byRequest[e.Data.Request] = append(byRequest[e.Data.Request], e)
	}
	if len(events) == 0 {
		return nil, fmt.Errorf("the receiver has no event at all")
	}
	var violations []string
	found := 0
	for request, list := range byRequest {
		name, sum, what := "", 0.0, ""
		for _, e := range list {
			if n, ok := answered[int64(math.Round(e.Data.Units*1e6))]; ok && e.Data.Outcome == "answered" {
				name = n
			}
			sum += e.Data.Units
			what += fmt.Sprintf(" [%s %s: %v units, %s]", e.Source, e.ID, e.Data.Units, e.Data.Outcome)
		}
		if name == "" {
			continue // not answered to a client with a size
		}
		found++
		exported += sum
		if len(list) > 1 {
			r.logf("%s, request %s, was counted %d times:%s", name, request, len(list), what)
			violations = append(violations, fmt.Sprintf("%s was counted %d times, as %.4f units in all:%s", name,
				len(list), sum, what))
		}
	}
	r.logf("answered %d with %.4f units in all, found %d of them at the receiver with %.4f units in all, other ends %v",
		len(answered), total, found, exported, others)
	if len(answered) < workers*calls/2 {
		return nil, fmt.Errorf("only %d requests were answered", len(answered))
	}
	if found < len(answered) {
		return nil, fmt.Errorf("%d answered requests are not at the receiver yet", len(answered)-found)
	}
	return violations, nil
}
