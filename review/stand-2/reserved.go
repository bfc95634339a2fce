package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["reserved-units"] = reservedUnits }

// reservedUnits reserves units for a member, uses some of them, kills the gateway outright and restarts it, and
// counts how many of the reserved units the member can use in all.
func reservedUnits(r *run) ([]string, error) {
	const (
		gateways = 4
		reserved = 100 // units
		kills    = 3
		perLife  = 5               // requests of one unit before each kill
		between  = 6 * time.Second // from one kill to the next
		window   = 100 * time.Second
	)
	f, err := startFleet(r, fleetOptions{gateways: gateways, plan: `rate "40/s"; burst 120; price 1.2`})
	if err != nil {
		return nil, err
	}
	// The window is open from one second on, and long enough for the whole case.
	out, err := f.command(fmt.Sprintf("bin/winghatch reserve --config %s escuela --units %d --from +1s --to +%ds",
		f.config, reserved, int(window.Seconds())))
	openUntil := time.Now().Add(window - time.Second)
	if err != nil {
		return nil, fmt.Errorf("reserve: %v: %s", err, out)
	}
	time.Sleep(1200 * time.Millisecond)
	used, unknown := 0, 0
	reasons := map[string]int{}
	params := func(n int) map[string]any {
		return map[string]any{"units": 1, "reserved": true, "key": fmt.Sprintf("k%d", n),
			"work": map[string]any{"try": fmt.Sprintf("t%d", n), "true_units": 1}}
	}
	n := 0
	// use sends marked requests of one unit to a gateway, one after the other, until the count is reached or so
	// many in a row were rejected, 100 ms apart.
	use := func(gateway, count, rejections int) error {
		s, err := openSession(f.listens[gateway], memberKey)
		if err != nil {
			return err
		}
		defer s.end()
		inRow := 0
		for done := 0; done < count && inRow < rejections; {
			n++
			answer, err := s.call("order-lookup", params(n))
			if err != nil {
				return err
			}
			a := <-answer
			r.logf("request %d of 1 reserved unit, gateway %d: %s %s, units %v", n, gateway, a.kind, a.reason, a.units)
			switch a.kind {
			case "served":
				used++
				done++
				inRow = 0
			case "rejected":
				reasons[a.reason]++
				inRow++
				time.Sleep(100 * time.Millisecond)
			default: // it may have run
				unknown++
				done++
			}
		}
		return nil
	}
	for k := range kills {
		gateway, begun := k, time.Now()
		if err := use(gateway, perLife, 20); err != nil {
			return nil, err
		}
		time.Sleep(time.Until(begun.Add(between)))
		if r.trouble {
			r.logf("gateway %d is killed outright, with no request open", gateway)
			f.procs[gateway].kill()
			if err := f.startGateway(gateway); err != nil {
				return nil, err
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	// What is left is used up through each gateway in turn.
	for gateway := range gateways {
		if err := use(gateway, 2*reserved, 16); err != nil {
			return nil, err
		}
	}
	if time.Now().After(openUntil) {
		return nil, fmt.Errorf("the window ended before all was asked for")
	}
	for reason := range reasons {
		if !strings.HasPrefix(reason, "reserve_") {
			return nil, fmt.Errorf("requests were rejected as %s, which has nothing to do with the reservation", reason)
		}
	}
	for _, state := range f.states {
		f.command("bin/winghatch state --at " + state)
	}
	f.command("bin/winghatch plan history --config " + f.config + " escuela")
	r.logf("reserved %d units: used %d, may have been used %d, rejections %v", reserved, used, unknown, reasons)
	// Tokens are sums of fractions that gateways send each other. What is left at each may be just under the unit of
	// one request, which is no loss that this case is about.
	if used+unknown < reserved-gateways {
		return []string{fmt.Sprintf("of %d units that were accepted as reserved, %d could be used while the window "+
			"was open; rejections %v", reserved, used+unknown, reasons)}, nil
	}
	return nil, nil
}
