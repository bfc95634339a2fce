package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["split-reservations"] = splitReservations }

// splitReservations reserves units for two members at two gateways while these don't hear each other for some
// seconds, and uses what was accepted.
func splitReservations(r *run) ([]string, error) {
	const (
		units  = 400
		cutFor = 5500 * time.Millisecond
	)
	peers := &peerNet{}
	r.atEnd(peers.close)
	// Half of the fleet's capacity may be reserved: 20 units a second, 600 in a window of 30 s.
	f, err := startFleet(r, fleetOptions{gateways: 2, peers: peers, capacity: "40/s",
		plan: `rate "40/s"; burst 120; price 1.2`})
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	cutAt := time.Now()
	if r.trouble {
		r.logf("the gateways don't hear each other")
		peers.cut.Store(true)
	}
	time.Sleep(500 * time.Millisecond)
	from := time.Now().Add(8 * time.Second)
	accepted := make([]bool, len(members))
	for i, m := range members {
		out, err := f.command(fmt.Sprintf("bin/winghatch reserve --config %s --rank %d %s --units %d --from %s --to %s",
			f.config, i, m.name, units, from.UTC().Format(time.RFC3339), from.Add(30*time.Second).UTC().Format(time.RFC3339)))
		accepted[i] = err == nil && strings.Contains(out, "taken:")
		r.logf("reservation of %s at gateway %d: accepted %t", m.name, i, accepted[i])
		if !r.trouble {
			time.Sleep(time.Second)
		}
	}
	if !accepted[0] && !accepted[1] {
		return nil, fmt.Errorf("no reservation was accepted")
	}
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	peers.cut.Store(false)
	r.logf("the gateways hear each other again")
	time.Sleep(time.Until(from.Add(time.Second)))
	for i := range f.listens {
		f.command(fmt.Sprintf("bin/winghatch plan history --config %s --rank %d", f.config, i))
	}
	var violations []string
	for i, m := range members {
		if !accepted[i] {
			continue
		}
		used, reasons := 0, map[string]int{}
		for gateway, addr := range f.listens {
			s, err := openSession(addr, m.key)
			if err != nil {
				return nil, err
			}
			for n := range 40 {
				answer, err := s.call("order-lookup", map[string]any{"units": 1, "reserved": true,
					"work": map[string]any{"try": fmt.Sprintf("%s-%d-%d", m.name, gateway, n), "true_units": 1}})
				if err != nil {
					return nil, err
				}
				a := <-answer
				r.logf("reserved request %d of %s at gateway %d: %s %s", n, m.name, gateway, a.kind, a.reason)
				if a.kind == "served" {
					used++
				} else {
					reasons[a.kind+" "+a.reason]++
					time.Sleep(50 * time.Millisecond)
				}
			}
			s.end()
		}
		r.logf("%s: 80 reserved requests, %d served, %v", m.name, used, reasons)
		if used == 0 && reasons["rejected reserve_none"] == 0 {
			return nil, fmt.Errorf("%s: no request was let in, for other reasons: %v", m.name, reasons)
		}
		if used == 0 {
			violations = append(violations, fmt.Sprintf("the reservation of %s was accepted, and none of 80 marked "+
				"requests in its window was let in: %v", m.name, reasons))
		}
	}
	return violations, nil
}
