package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"sync"
	"time"
)

func init() { cases["answered-size"] = answeredSize }

// usageEvent is an event at the receiver of usage.
type usageEvent struct {
	Source string `json:"source"`
	ID     string `json:"id"`
	Type   string `json:"type"`
	Data   struct {
		Request string  `json:"request"`
		Units   float64 `json:"units"`
		Outcome string  `json:"outcome"`
	} `json:"data"`
}

// readUsage returns the events that the receiver has stored.
func readUsage(file string) (events []usageEvent, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var e usageEvent
		if json.Unmarshal(in.Bytes(), &e) == nil {
			events = append(events, e)
		}
	}
	return events, in.Err()
}

// answeredSize sends requests whose answers report a size of their own, each a different one, kills a gateway
// outright and restarts it several times, and looks for each answered size at the receiver of usage.
func answeredSize(r *run) ([]string, error) {
	const (
		gateways = 10
		rounds   = 9 // gateways that are killed, one after the other
		workers  = 128
	)
	f, err := startFleet(r, fleetOptions{gateways: gateways, export: true, durability: "each", servers: 6,
		plan: `rate "40000/s"; burst 120000; price 1.2`})
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	answered := map[int64]float64{} // sizes that clients were told, in units of 1e-6
	n, others := 0, map[string]int{}
	for round := range rounds {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		var sessionErr error
		for range workers {
			wg.Go(func() {
				s, err := openSession(f.listens[round], memberKey)
				if err != nil {
					mu.Lock()
					sessionErr = err
					mu.Unlock()
					return
				}
				defer s.end()
				for {
					select {
					case <-stop:
						return
					default:
					}
					mu.Lock()
					n++
					size := 3 + float64(n)*1e-5 // no two requests have the same size
					id := n
					mu.Unlock()
					answer, err := s.call("order-lookup", map[string]any{"units": 1,
						"work": map[string]any{"try": fmt.Sprintf("t%d", id), "true_units": size}})
					if err != nil {
						return
					}
					a := <-answer
					mu.Lock()
					if a.kind == "served" {
						answered[int64(math.Round(a.units*1e6))] = a.units
						r.line("%d %.5f", id, a.units)
					} else {
						others[a.kind+" "+a.reason]++
						if a.kind != "rejected" {
							r.logf("%d %s %s", id, a.kind, a.reason)
						}
					}
					mu.Unlock()
					if a.kind == "none" {
						return
					}
					if a.kind == "rejected" {
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		}
		time.Sleep(400*time.Millisecond + time.Duration(round)*7*time.Millisecond)
		if r.trouble {
			r.logf("gateway %d is killed outright", round)
			f.procs[round].kill()
		}
		close(stop)
		wg.Wait()
		if sessionErr != nil {
			return nil, sessionErr
		}
		if r.trouble {
			if err := f.startGateway(round); err != nil {
				return nil, err
			}
		}
		time.Sleep(900 * time.Millisecond) // all restarts together take 10 s or more
	}
	// The receiver was reachable all the time; it has all that is owed once the number of its events rests.
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
		if rest == 8 {
			break
		}
	}
	events, err := readUsage(f.usage)
	if err != nil {
		return nil, err
	}
	exported, estimates := map[int64]int{}, 0
	for _, e := range events {
		if e.Data.Outcome == "answered" {
			exported[int64(math.Round(e.Data.Units*1e6))]++
		} else {
			estimates++
			r.logf("event %s %s: request %s, %v units, outcome %s", e.Source, e.ID, e.Data.Request, e.Data.Units,
				e.Data.Outcome)
		}
	}
	r.logf("requests %d, answered %d, other ends %v, events %d, of which at an estimate %d", n, len(answered), others,
		len(events), estimates)
	if len(events) == 0 {
		return nil, fmt.Errorf("the receiver has no event at all")
	}
	if len(answered) < 1000 {
		return nil, fmt.Errorf("only %d requests were answered", len(answered))
	}
	var violations []string
	for key, size := range answered {
		if exported[key] != 1 {
			violations = append(violations, fmt.Sprintf("a request that was answered with %.5f units was exported "+
				"%d times at this size", size, exported[key]))
		}
	}
	return violations, nil
}
