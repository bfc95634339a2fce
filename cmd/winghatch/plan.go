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

// gatewayTarget selects the gateway to which a sub-command sends its request, at its state address. Changes
// are authenticated with the fleet's secret.
type gatewayTarget struct {
	Config string `required:"" help:"Settings file of the fleet, for its secret and addresses."`
	Rank   int    `help:"Rank of the gateway to contact." default:"0"`
	At     string `help:"State address of the gateway; default: from the settings."`
}

// fleet returns the settings of the fleet and the state address of the gateway.
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
		return nil, "", fmt.Errorf("%s: gateway %d has no state address, want one in the settings or --at",
			a.Config, a.Rank)
	}
	return f, f.Gateways[a.Rank].StateAddress, nil
}

// submit sends a change to the gateway and prints the accepted change. A change without a number gets the
// Unix time in microseconds.
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

// flagTime is a time on the command line: an RFC 3339 time, or "+" and a duration from now.
type flagTime string

// unixNano returns the Unix time in nanoseconds, 0 if the flag is not given. The error names flag.
func (m flagTime) unixNano(flag string) (int64, error) {
	if m == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(string(m)); err == nil && m[0] == '+' {
		return time.Now().Add(d).UnixNano(), nil
	}
	at, err := time.Parse(time.RFC3339Nano, string(m))
	if err != nil {
		return 0, fmt.Errorf("%s: %q, want a time such as 2026-12-07T08:00:00Z, or +90m from now",
			flag, string(m))
	}
	return at.UnixNano(), nil
}

// planCmd is the sub-command plan.
type planCmd struct {
	Set     planSetCmd     `cmd:"" help:"Move a member to another plan, now or at a given time."`
	Terms   planTermsCmd   `cmd:"" help:"Change the terms of a plan."`
	Cancel  planCancelCmd  `cmd:"" help:"Cancel a change or a reservation."`
	Shorten planShortenCmd `cmd:"" help:"Reduce the size of a reservation."`
	Show    planShowCmd    `cmd:"" help:"Show the current plans of members."`
	History planHistoryCmd `cmd:"" help:"Show all changes and their status."`
}

// planSetCmd is the sub-command plan set.
type planSetCmd struct {
	gatewayTarget
	Member string   `arg:""`
	Plan   string   `arg:""`
	From   flagTime `help:"Start time, such as 2026-12-07T08:00:00Z or +90m; default: now."`
	Number uint64   `help:"Number of the change, unique in the fleet; default: Unix time in µs."`
}

// Run submits the change. If the new plan has lower limits and applies at once, it prints how many units may
// exceed the new plan until all gateways know the change.
func (c *planSetCmd) Run() error {
	from, err := c.From.unixNano("from")
	if err != nil {
		return err
	}
	f, _, err := c.fleet()
	if err != nil {
		return err
	}
	change := quotaplan.Change{Number: c.Number, Kind: quotaplan.Move, Member: c.Member,
		Plan: c.Plan, From: from}
	if err := c.submit(change); err != nil {
		return err
	}
	oldPlan, newPlan := planOf(f, c.Member), findPlan(f, c.Plan)
	const propagation = time.Second // usual time until all gateways know a change
	if n := quotaplan.MaxOverspend(oldPlan, newPlan, propagation); n > 0 && from == 0 {
		fmt.Printf("until all gateways know of it, up to %.6g units beyond the new plan may pass "+
			"if that takes %v (from %s)\n", n, propagation, oldPlan.Name)
	}
	return nil
}

// planOf returns the plan of a member according to the settings, or an empty plan if there is no such member.
func planOf(f *config.Fleet, member string) decide.Plan {
	for _, m := range f.Members {
		if m.Name == member {
			return findPlan(f, m.Plan)
		}
	}
	return decide.Plan{}
}

// findPlan returns the plan with the given name, or an empty plan if there is none.
func findPlan(f *config.Fleet, plan string) decide.Plan {
	for _, p := range f.Decide.Plans {
		if p.Name == plan {
			return p
		}
	}
	return decide.Plan{}
}

// planTermsCmd is the sub-command plan terms.
type planTermsCmd struct {
	gatewayTarget
	Plan         string   `arg:""`
	Rate         float64  `required:"" help:"Units per second; 0: no rate quota."`
	Burst        float64  `required:"" help:"Largest burst, in units."`
	CeilingRate  float64  `help:"Ceiling in units per second."`
	CeilingBurst float64  `help:"Largest burst of the ceiling, in units."`
	CeilingSlack float64  `help:"Units by which the ceiling may be exceeded."`
	MaxInFlight  int      `name:"max-open" help:"Largest number of attempts in flight; 0: no such quota."`
	Weight       float64  `name:"price" default:"1" help:"Priority weight of the plan's requests."`
	From         flagTime `help:"Start time; default: now."`
	Number       uint64   `help:"Number of the change; default: Unix time in µs."`
}

// Run submits the new terms of a plan.
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
	change := quotaplan.Change{Number: c.Number, Kind: quotaplan.Terms, Plan: c.Plan,
		From: from, Terms: terms}
	return c.submit(change)
}

// planCancelCmd is the sub-command plan cancel.
type planCancelCmd struct {
	gatewayTarget
	Target uint64 `arg:"" help:"Number of the change to cancel."`
	Number uint64 `help:"Number of this change; default: Unix time in µs."`
}

// Run submits the cancellation of a change or a reservation.
func (c *planCancelCmd) Run() error {
	return c.submit(quotaplan.Change{Number: c.Number, Kind: quotaplan.Cancel, Target: c.Target})
}

// planShortenCmd is the sub-command plan shorten.
type planShortenCmd struct {
	gatewayTarget
	Target uint64  `arg:"" help:"Number of the reservation."`
	Units  float64 `required:"" help:"New size in units."`
	Number uint64  `help:"Number of this change; default: Unix time in µs."`
}

// Run submits the smaller size of a reservation.
func (c *planShortenCmd) Run() error {
	return c.submit(quotaplan.Change{Number: c.Number, Kind: quotaplan.Shorten,
		Target: c.Target, Units: c.Units})
}

// planShowCmd is the sub-command plan show.
type planShowCmd struct {
	gatewayTarget
	Member string `arg:"" optional:""`
}

// history fetches the plan changes that the gateway knows, of one member or of all if member is empty.
func (a *gatewayTarget) history(member string) (f *config.Fleet, at string, h gateway.History, err error) {
	if f, at, err = a.fleet(); err == nil {
		h, err = gateway.FetchHistory(at, member)
	}
	return f, at, h, err
}

// Run prints the current plan of each member, or of one member.
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
			formatNumber(p.Rate), formatNumber(p.Burst), formatNumber(p.CeilingRate),
			formatNumber(p.CeilingBurst), formatNumber(float64(p.MaxInFlight)))
	}
	return nil
}

// formatNumber formats a limit with six significant digits, or as "-" if it is 0, which means no limit.
func formatNumber(v float64) string {
	if v == 0 {
		return "-"
	}
	return strconv.FormatFloat(v, 'g', 6, 64)
}

// planHistoryCmd is the sub-command plan history.
type planHistoryCmd struct {
	gatewayTarget
	Member string `arg:"" optional:""`
}

// Run prints all changes with their status, or those of one member.
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
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Number, e.AcceptedAt, e.Gateway,
			e.Kind, e.Member, e.Plan, e.From, e.To, formatNumber(e.Units), target,
			withReason(e.Status, e.Reason))
	}
	return nil
}

// withReason appends the reason to a status, unless it is empty.
func withReason(status, reason string) string {
	if reason == "" {
		return status
	}
	return status + ": " + reason
}
