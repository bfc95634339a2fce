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

// changesPollInterval is the interval at which the file of plan changes is read.
const changesPollInterval = 500 * time.Millisecond

// Upper bounds of the numbers in the file. Integers up to maxChangeNumber are exact in float64, which JSON
// readers use.
const (
	maxChangeNumber   = 1 << 53   // number of a plan change
	maxReservation    = 1e12      // units
	maxBurst          = 1e9       // units
	maxInFlightLimit  = 1<<31 - 1 // attempts in flight
	maxPriorityWeight = 1e9       // priority weight, dimensionless
)

// ReadChanges parses src, the content of a file of plan changes, and returns the changes and the position of
// each one in the file. The file consists of KDL nodes named "change"; each holds the fields of one change,
// with times in RFC 3339. The error lists all mistakes with their positions. file is the name used in these
// positions.
func ReadChanges(file string, src []byte) ([]quotaplan.Change, []kdl.Pos, error) {
	nodes, err := decode.Parse(file, src)
	if err != nil {
		return nil, nil, err
	}
	decoder := &decode.Decoder{File: file}
	var changes []quotaplan.Change
	var positions []kdl.Pos
	seen := map[uint64]bool{}
	for _, node := range nodes {
		if node.Name != "change" {
			decoder.Fail(node.Pos, node.Name, "%q is not known, want nodes named \"change\"", node.Name)
			continue
		}
		c := readChange(decoder, node)
		if seen[c.Number] && c.Number > 0 {
			decoder.Fail(node.Pos, "change.number", "%d, want a number that is unique in this file", c.Number)
		}
		seen[c.Number] = true
		changes = append(changes, c)
		positions = append(positions, node.Pos)
	}
	return changes, positions, decoder.Err()
}

// readChange decodes one change node and reports mistakes to decoder.
func readChange(decoder *decode.Decoder, node *kdl.Node) (c quotaplan.Change) {
	decoder.RejectArguments("change", node)
	kinds := map[string]quotaplan.Kind{}
	for k := quotaplan.Move; k <= quotaplan.Shorten; k++ {
		kinds[k.String()] = k
	}
	number, target := 0, 0
	decoder.Block("change", node, decode.Fields{
		"number":        decode.Int(&number, 1, maxChangeNumber),
		"kind":          decode.Choice(&c.Kind, kinds),
		"target":        decode.Int(&target, 1, maxChangeNumber),
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
		"max-open":      decode.Int(&c.Terms.MaxInFlight, 0, maxInFlightLimit),
		"price":         decode.Number(&c.Terms.PriorityWeight, 0, maxPriorityWeight),
	}, nil, "number", "kind")
	c.Number, c.Target, c.Terms.Name = uint64(number), uint64(target), c.Plan
	if c.Kind != quotaplan.Terms {
		c.Terms = decide.Plan{}
	}
	return c
}

// timeSetting returns a decoder of an RFC 3339 time that stores nanoseconds of Unix time in to.
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

// watchChanges submits the plan changes of a file whenever its content has changed, until ctx ends. A file
// with a mistake, such as one that is still being written, changes nothing. In a valid file each change is
// accepted or rejected independently of the others. Reservations on which the acceptor could not decide are
// submitted again.
func (g *Gateway) watchChanges(ctx context.Context, file string) {
	var lastSeen string // last content that was processed, or last read error that was logged
	for {
		src, err := os.ReadFile(file)
		switch {
		case err == nil && string(src) != lastSeen:
			if g.applyChanges(file, src) {
				lastSeen = string(src)
			}
		case err != nil && !errors.Is(err, os.ErrNotExist) && err.Error() != lastSeen:
			lastSeen = err.Error()
			g.log.Error("Failed to read the file of plan changes", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(changesPollInterval):
		}
	}
}

// applyChanges submits those changes of a file that the gateway does not know yet. It returns false if a change
// was neither accepted nor rejected.
func (g *Gateway) applyChanges(file string, src []byte) (decided bool) {
	changes, positions, err := ReadChanges(file, src)
	if err != nil {
		g.log.Error("Invalid file of plan changes, ignored as a whole", "err", err)
		return true
	}
	decided = true
	for i, c := range changes {
		known := false
		g.loop.Do(func() { known = g.loop.plans.replica.Contains(c) })
		if known {
			continue
		}
		if _, err := g.Submit(c); err != nil {
			position := fmt.Sprintf("%s:%d:%d", file, positions[i].Line, positions[i].Column)
			var rejected *quotaplan.Error
			if errors.As(err, &rejected) && rejected.Field == quotaplan.FieldGateway {
				decided = false
			}
			g.log.Error("Plan change rejected", "at", position, "err", err)
		}
	}
	return decided
}
