package gateway

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"winghatch/decide"
	"winghatch/internal/config/decode"
	"winghatch/internal/config/kdl"
	"winghatch/internal/quotaplan"
)

// changesPollInterval is how often the file of plan changes is read.
const changesPollInterval = 500 * time.Millisecond

// Bounds of numbers in the file. Integers up to maxNumber are exact in float64, which JSON readers use.
const (
	maxNumber      = 1 << 53   // of a plan change
	maxReservation = 1e12      // units
	maxBurst       = 1e9       // units
	maxOpenLimit   = 1<<31 - 1 // attempts in flight
	maxPrice       = 1e9       // priority weight, without unit
)

// ReadChanges reads a file of plan changes: KDL nodes named "change" with the fields of one each, times in RFC 3339. It
// returns the place of each change. The error lists all mistakes with their places.
func ReadChanges(file string, src []byte) ([]quotaplan.Change, []kdl.Pos, error) {
	nodes, err := decode.Parse(file, src)
	if err != nil {
		return nil, nil, err
	}
	d := &decode.Decoder{File: file}
	var changes []quotaplan.Change
	var places []kdl.Pos
	seen := map[uint64]bool{}
	for _, n := range nodes {
		if n.Name != "change" {
			d.Fail(n.Pos, n.Name, "%q is not known, want nodes named \"change\"", n.Name)
			continue
		}
		c := readChange(d, n)
		if seen[c.Number] && c.Number > 0 {
			d.Fail(n.Pos, "change.number", "%d, given before in this file", c.Number)
		}
		seen[c.Number] = true
		changes = append(changes, c)
		places = append(places, n.Pos)
	}
	return changes, places, d.Err()
}

func readChange(d *decode.Decoder, n *kdl.Node) (c quotaplan.Change) {
	d.RejectArguments("change", n)
	kinds := map[string]quotaplan.Kind{}
	for k := quotaplan.Move; k <= quotaplan.Shorten; k++ {
		kinds[k.String()] = k
	}
	number, target := 0, 0
	d.Block("change", n, decode.Fields{
		"number":        decode.Int(&number, 1, maxNumber),
		"kind":          decode.Choice(&c.Kind, kinds),
		"target":        decode.Int(&target, 1, maxNumber),
		"member":        decode.String(&c.Member),
		"plan":          decode.String(&c.Plan),
		"from":          timeSetting(&c.From),
		"to":            timeSetting(&c.To),
		"units":         decode.Number(&c.Units, 0, maxReservation),
		"use-rate":      decode.Rate(&c.Rate),
		"rate":          decode.Rate(&c.Terms.Rate),
		"burst":         decode.Number(&c.Terms.Burst, 0, maxBurst),
		"ceiling-rate":  decode.Rate(&c.Terms.CeilingRate),
		"ceiling-burst": decode.Number(&c.Terms.CeilingBurst, 0, maxBurst),
		"ceiling-slack": decode.Number(&c.Terms.CeilingSlack, 0, maxBurst),
		"max-open":      decode.Int(&c.Terms.MaxInFlight, 0, maxOpenLimit),
		"price":         decode.Number(&c.Terms.PriorityWeight, 0, maxPrice),
	}, nil, "number", "kind")
	c.Number, c.Target, c.Terms.Name = uint64(number), uint64(target), c.Plan
	if c.Kind != quotaplan.Terms {
		c.Terms = decide.Plan{}
	}
	return c
}

func timeSetting(to *int64) func(decode.Setting) {
	return func(s decode.Setting) {
		at, err := time.Parse(time.RFC3339Nano, s.Value.Text)
		if err != nil {
			s.Reject("a time such as \"2026-12-07T08:00:00Z\"")
			return
		}
		*to = at.UnixNano()
	}
}

// watchChanges submits the plan changes of a file whenever its content differs from before, until ctx ends. A file
// with a mistake in it, as one that is being written, changes nothing; of a valid one each change is accepted or
// rejected independently of the others.
func (g *Gateway) watchChanges(ctx context.Context, file string) {
	var last string // content, or the error that was logged
	for {
		src, err := os.ReadFile(file)
		switch {
		case err == nil && string(src) != last:
			last = string(src)
			g.applyChanges(file, src)
		case err != nil && !errors.Is(err, os.ErrNotExist) && err.Error() != last:
			last = err.Error()
			g.log.Error("Failed to read the file of plan changes", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(changesPollInterval):
		}
	}
}

// applyChanges submits the changes of a file that are not known yet.
func (g *Gateway) applyChanges(file string, src []byte) {
	changes, places, err := ReadChanges(file, src)
	if err != nil {
		g.log.Error("Invalid file of plan changes, ignored as a whole", "err", err)
		return
	}
	for i, c := range changes {
		known := false
		g.loop.Do(func() { known = g.loop.plans.replica.Contains(c) })
		if known {
			continue
		}
		if _, err := g.Submit(c); err != nil {
			at := fmt.Sprintf("%s:%d:%d", file, places[i].Line, places[i].Column)
			g.log.Error("Plan change rejected", "at", at, "err", err)
		}
	}
}
