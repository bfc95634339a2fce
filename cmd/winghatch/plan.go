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

// asked is whom an operator asks: a gateway by its state address, with the fleet's secret.
type gatewayTarget struct {
	Config string `required:"" help:"The fleet's settings, for its secret and addresses."`
	Rank   int    `help:"The gateway that is asked." default:"0"`
	At     string `help:"Its state address, if it is another than the settings'."`
}

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

// submit hands a change in. Its number is the time in microseconds where none is given.
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

// moment is a time that a flag gives.
type flagTime string

func (m flagTime) unix(field string) (int64, error) {
	if m == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(string(m)); err == nil && m[0] == '+' {
		return time.Now().Add(d).UnixNano(), nil
	}
	at, err := time.Parse(time.RFC3339Nano, string(m))
	if err != nil {
		return 0, fmt.Errorf("%s: %q, want a time such as 2026-12-07T08:00:00Z, or +90m from now", field, string(m))
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

func (c *planSetCmd) Run() error {
	from, err := c.From.unix("from")
	if err != nil {
		return err
	}
	f, _, err := c.fleet()
	if err != nil {
		return err
	}
	if err := c.submit(quotaplan.Change{Number: c.Number, Kind: quotaplan.Move, Member: c.Member, Plan: c.Plan, From: from}); err != nil {
		return err
	}
	old, next := planOf(f, c.Member), find(f, c.Plan)
	const spread = time.Second
	if n := quotaplan.Overspend(old, next, spread); n > 0 && from == 0 {
		fmt.Printf("until all gateways have heard it, up to %.6g units beyond the new plan may pass if that takes %v (from %s)\n", n, spread, old.Name)
	}
	return nil
}

func planOf(f *config.Fleet, member string) decide.Plan {
	for _, m := range f.Members {
		if m.Name == member {
			return find(f, m.Plan)
		}
	}
	return decide.Plan{}
}

func find(f *config.Fleet, plan string) decide.Plan {
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
	CeilingSlack float64  `help:"What the ceiling may be passed by."`
	MaxOpen      int      `help:"Attempts out at once; 0: no such quota."`
	Price        float64  `default:"1" help:"Worth of its work beside that of others."`
	From         flagTime `help:"From when on; else at once."`
	Number       uint64   `help:"The change's number."`
}

func (c *planTermsCmd) Run() error {
	from, err := c.From.unix("from")
	if err != nil {
		return err
	}
	return c.submit(quotaplan.Change{Number: c.Number, Kind: quotaplan.Terms, Plan: c.Plan, From: from, Terms: decide.Plan{Name: c.Plan,
		Rate: c.Rate, Burst: c.Burst, CeilingRate: c.CeilingRate, CeilingBurst: c.CeilingBurst, CeilingSlack: c.CeilingSlack,
		MaxInFlight: c.MaxOpen, PriorityWeight: c.Price}})
}

type planCancelCmd struct {
	gatewayTarget
	Target uint64 `arg:"" help:"Number of the change that is taken back."`
	Number uint64 `help:"This change's own number."`
}

func (c *planCancelCmd) Run() error {
	return c.submit(quotaplan.Change{Number: c.Number, Kind: quotaplan.Cancel, Target: c.Target})
}

type planShortenCmd struct {
	gatewayTarget
	Target uint64  `arg:"" help:"Number of the reservation."`
	Units  float64 `required:"" help:"What it is of from now on."`
	Number uint64  `help:"This change's own number."`
}

func (c *planShortenCmd) Run() error {
	return c.submit(quotaplan.Change{Number: c.Number, Kind: quotaplan.Shorten, Target: c.Target, Units: c.Units})
}

type planShowCmd struct {
	gatewayTarget
	Member string `arg:"" optional:""`
}

// history asks a gateway its book.
func (a *gatewayTarget) history(member string) (f *config.Fleet, at string, h gateway.History, err error) {
	if f, at, err = a.fleet(); err == nil {
		h, err = gateway.FetchHistory(at, member)
	}
	return f, at, h, err
}

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
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, p.Name, formatNumber(p.Rate), formatNumber(p.Burst), formatNumber(p.CeilingRate),
			formatNumber(p.CeilingBurst), formatNumber(float64(p.MaxInFlight)))
	}
	return nil
}

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
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Number, e.AcceptedAt, e.Gateway, e.Kind, e.Member, e.Plan, e.From, e.To,
			formatNumber(e.Units), target, withReason(e.Status, e.Reason))
	}
	return nil
}

func withReason(status, why string) string {
	if why == "" {
		return status
	}
	return status + ": " + why
}
