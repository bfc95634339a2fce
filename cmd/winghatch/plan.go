package main

import (
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/gateway"
	"winghatch/internal/quotaplan"
)

// gatewayTarget is the gateway that a sub-command talks to, at its state address with the fleet's secret.
type gatewayTarget struct {
	Config string `required:"" help:"The fleet's settings, for its secret and addresses."`
	Rank   int    `help:"The gateway that is asked." default:"0"`
	At     string `help:"Its state address, if it is another than the settings'."`
}

// fleet returns the settings and the address.
func (a *gatewayTarget) fleet() (*config.Fleet, string, error) {
	f, err := config.Load(a.Config)
	if err != nil {
		return nil, "", err
	}
	if a.At != "" {
		return f, a.At, nil
	}
	if a.Rank < 0 || a.Rank >= len(f.Gateways) {
		return nil, "", fmt.Errorf("rank: %d, want 0 to %d", a.Rank, len(f.Gateways)-1)
	}
	if f.Gateways[a.Rank].StateAddress == "" {
		return nil, "", fmt.Errorf("%s: gateway %d has no state address, and none is given by --at", a.Config, a.Rank)
	}
	return f, f.Gateways[a.Rank].StateAddress, nil
}

// submit submits a change. Without a number of its own it gets the Unix time in microseconds.
func (a *gatewayTarget) submit(c quotaplan.Change) error {
	f, at, err := a.fleet()
	if err != nil {
		return err
	}
	if c.Number == 0 {
		c.Number = uint64(time.Now().UnixMicro())
	}
	got, err := gateway.SubmitChange(at, f.Secret, c)
	if err != nil {
		return err
	}
	fmt.Printf("taken: %s\n", &got)
	return nil
}

// flagTime is a time on the command line: RFC 3339, or "+" and a duration from now on.
type flagTime string

// unixNano returns the time in nanoseconds, 0 if it is not given. flag is named in the error.
func (m flagTime) unixNano(flag string) (int64, error) {
	if m == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(string(m)); err == nil && m[0] == '+' {
		return time.Now().Add(d).UnixNano(), nil
	}
	at, err := time.Parse(time.RFC3339Nano, string(m))
	if err != nil {
		return 0, fmt.Errorf("%s: %q, want a time such as 2026-12-07T08:00:00Z, or +90m from now", flag, string(m))
	}
	return at.UnixNano(), nil
}

type planCmd struct {
	Set     planSetCmd     `cmd:"" help:"Put a member on another plan, now or from a date on."`
	Terms   planTermsCmd   `cmd:"" help:"Change what a plan gives."`
	Cancel  planCancelCmd  `cmd:"" help:"Take a change back, or a reservation."`
	Shorten planShortenCmd `cmd:"" help:"Make a reservation smaller."`
	Show    planShowCmd    `cmd:"" help:"On which terms members are."`
	History planHistoryCmd `cmd:"" help:"All changes, and what became of them."`
}

type planSetCmd struct {
	gatewayTarget
	Member string   `arg:""`
	Plan   string   `arg:""`
	From   flagTime `help:"From when on, as 2026-12-07T08:00:00Z or +90m; else at once."`
	Number uint64   `help:"The change's number, used once in the life of the fleet; else the time in microseconds."`
}

// Run submits the change. Where the new plan gives less, it prints what may pass beyond it until all gateways know.
func (c *planSetCmd) Run() error {
	from, err := c.From.unixNano("from")
	if err != nil {
		return err
	}
	f, _, err := c.fleet()
	if err != nil {
		return err
	}
	change := quotaplan.Change{Number: c.Number, Kind: quotaplan.Move, Member: c.Member, Plan: c.Plan, From: from}
	if err := c.submit(change); err != nil {
		return err
	}
	oldPlan, newPlan := planOf(f, c.Member), findPlan(f, c.Plan)
	const propagation = time.Second // until all gateways know of a change, usually
	if n := quotaplan.MaxOverspend(oldPlan, newPlan, propagation); n > 0 && from == 0 {
		fmt.Printf("until all gateways know of it, up to %.6g units beyond the new plan may pass if that takes %v "+
			"(from %s)\n", n, propagation, oldPlan.Name)
	}
	return nil
}

// planOf returns the plan of a member by the settings; no plan if there is no such member.
func planOf(f *config.Fleet, member string) decide.Plan {
	for _, m := range f.Members {
		if m.Name == member {
			return findPlan(f, m.Plan)
		}
	}
	return decide.Plan{}
}

func findPlan(f *config.Fleet, plan string) decide.Plan {
	for _, p := range f.Decide.Plans {
		if p.Name == plan {
			return p
		}
	}
	return decide.Plan{}
}

type planTermsCmd struct {
	gatewayTarget
	Plan         string   `arg:""`
	Rate         float64  `required:"" help:"Units a second; 0: no such quota."`
	Burst        float64  `required:"" help:"Units at once."`
	CeilingRate  float64  `help:"Hard ceiling, units a second."`
	CeilingBurst float64  `help:"Hard ceiling, units at once."`
	CeilingSlack float64  `help:"Units by which the ceiling may be exceeded."`
	MaxInFlight  int      `name:"max-open" help:"Attempts in flight; 0: no such quota."`
	Weight       float64  `name:"price" default:"1" help:"Priority weight of its requests."`
	From         flagTime `help:"From when on; else at once."`
	Number       uint64   `help:"The change's number."`
}

// Run submits new terms of a plan.
func (c *planTermsCmd) Run() error {
	from, err := c.From.unixNano("from")
	if err != nil {
		return err
	}
	terms := decide.Plan{
		Name:           c.Plan,
		Rate:           c.Rate,
		Burst:          c.Burst,
		CeilingRate:    c.CeilingRate,
		CeilingBurst:   c.CeilingBurst,
		CeilingSlack:   c.CeilingSlack,
		MaxInFlight:    c.MaxInFlight,
		PriorityWeight: c.Weight,
	}
	change := quotaplan.Change{Number: c.Number, Kind: quotaplan.Terms, Plan: c.Plan, From: from, Terms: terms}
	return c.submit(change)
}

type planCancelCmd struct {
	gatewayTarget
	Target uint64 `arg:"" help:"Number of the change that is taken back."`
	Number uint64 `help:"This change's own number."`
}

// Run submits the cancellation of a change or a reservation.
func (c *planCancelCmd) Run() error {
	return c.submit(quotaplan.Change{Number: c.Number, Kind: quotaplan.Cancel, Target: c.Target})
}

type planShortenCmd struct {
	gatewayTarget
	Target uint64  `arg:"" help:"Number of the reservation."`
	Units  float64 `required:"" help:"New size."`
	Number uint64  `help:"This change's own number."`
}

// Run submits a smaller size of a reservation.
func (c *planShortenCmd) Run() error {
	return c.submit(quotaplan.Change{Number: c.Number, Kind: quotaplan.Shorten, Target: c.Target, Units: c.Units})
}

type planShowCmd struct {
	gatewayTarget
	Member string `arg:"" optional:""`
}

// history asks a gateway for its plan changes.
func (a *gatewayTarget) history(member string) (f *config.Fleet, at string, h gateway.History, err error) {
	if f, at, err = a.fleet(); err == nil {
		h, err = gateway.FetchHistory(at, member)
	}
	return f, at, h, err
}

// Run prints the plans of all members, or of one.
func (c *planShowCmd) Run() error {
	f, at, h, err := c.history(c.Member)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "gateway %s knows %d changes, sum %s\n\n", at, h.Changes, h.Digest)
	fmt.Fprintln(w, "member\tplan\trate\tburst\tceiling rate\tceiling burst\tmost open")
	for _, m := range f.Members {
		p, ok := h.Plans[m.Name]
		if !ok {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, p.Name,
			formatNumber(p.Rate), formatNumber(p.Burst), formatNumber(p.CeilingRate), formatNumber(p.CeilingBurst),
			formatNumber(float64(p.MaxInFlight)))
	}
	return nil
}

// formatNumber writes a limit; "-" stands for none.
func formatNumber(v float64) string {
	if v == 0 {
		return "-"
	}
	return strconv.FormatFloat(v, 'g', 6, 64)
}

type planHistoryCmd struct {
	gatewayTarget
	Member string `arg:"" optional:""`
}

// Run prints all changes, or those of one member.
func (c *planHistoryCmd) Run() error {
	_, _, h, err := c.history(c.Member)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "number\ttaken\tby\tkind\tmember\tplan\tfrom\tto\tunits\ttarget\tstatus")
	for _, e := range h.Entries {
		target := ""
		if e.Target > 0 {
			target = fmt.Sprint(e.Target)
		}
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Number, e.AcceptedAt, e.Gateway, e.Kind,
			e.Member, e.Plan, e.From, e.To, formatNumber(e.Units), target, withReason(e.Status, e.Reason))
	}
	return nil
}

func withReason(status, reason string) string {
	if reason == "" {
		return status
	}
	return status + ": " + reason
}
