package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"sort"
	"syscall"
	"text/tabwriter"
	"time"

	"winghatch/internal/scenario"
)

type demoCmd struct {
	Seed int `help:"Of the day; 0 takes its own."`
}

func (c *demoCmd) Run() error { return runScenario("drain", c.Seed, "") }

type scenarioCmd struct {
	File   string `arg:"" help:"A day's file, or the name of one of the built-in days."`
	Seed   int    `help:"Of the day; 0 takes the file's."`
	Record string `help:"Keep settings, traffic, tapes and logs in this folder."`
}

func (c *scenarioCmd) Run() error { return runScenario(c.File, c.Seed, c.Record) }

type scenariosCmd struct {
	Names []string `arg:"" optional:"" help:"Files or built-in days; without any, all that are built in."`
	Seed  int      `help:"Of the days; 0 takes their own."`
}

func (c *scenariosCmd) Run() error {
	if len(c.Names) == 0 {
		c.Names = scenario.BuiltinNames()
	}
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Println("| day | orders | in time | refused | failed | lost | unreachable | attempts | p50 | p99 | rules kept |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	code := 0
	for _, name := range c.Names {
		res, err := runQuietly(ctx, exe, name, c.Seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			code = 2
			continue
		}
		st := res.Stats
		part := func(n int64) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/max(1, float64(st.Requests))) }
		at := func(q float64) time.Duration {
			return (time.Duration(st.Latency.ValueAtQuantile(q)) * time.Microsecond).Round(time.Millisecond)
		}
		fmt.Printf("| %s | %d | %s | %s | %s | %s | %s | %d | %v | %v | %d of 5 |\n", name, st.Requests, part(st.WithinObjective), part(st.Rejected),
			part(st.Failed), part(st.Lost), part(st.Unreachable), res.Attempts, at(50), at(99), res.Verdict.RulesKept())
		if res.Verdict.RulesKept() < 5 {
			fmt.Fprint(os.Stderr, res.Verdict)
			code = max(code, 1)
		}
	}
	if code != 0 {
		return exitCode(code)
	}
	return nil
}

func runQuietly(ctx context.Context, exe, name string, seed int) (*scenario.Result, error) {
	s, err := scenario.Open(name)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "winghatch-day-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	return scenario.Run(ctx, s, scenario.Options{Seed: seed, Dir: dir,
		Command: func(args ...string) *exec.Cmd { return exec.Command(exe, args...) }})
}

type verifyCmd struct {
	Dir string `arg:"" help:"The folder that day --record filled."`
}

func (c *verifyCmd) Run() error {
	v, err := scenario.Verify(c.Dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCode(2)
	}
	fmt.Print(v)
	if v.RulesKept() < 5 {
		return exitCode(1)
	}
	return nil
}

// playDay plays, prints and tells by its exit code: 1 a rule was broken, 2 the day could not be played.
func runScenario(name string, seed int, dir string) error {
	fail := func(err error) error {
		fmt.Fprintln(os.Stderr, err)
		return exitCode(2)
	}
	s, err := scenario.Open(name)
	if err != nil {
		return fail(err)
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "winghatch-day-"); err != nil {
			return fail(err)
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return fail(err)
	}
	exe, err := os.Executable()
	if err != nil {
		return fail(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Printf("day %s: %d gateways, %d members, %.0f orders a second, %v\n", s.Name, len(s.Fleet.Gateways), len(s.Fleet.Members),
		s.Load.Rate, s.Length)
	res, err := scenario.Run(ctx, s, scenario.Options{Seed: seed, Dir: dir,
		Command: func(args ...string) *exec.Cmd { return exec.Command(exe, args...) },
		Logf:    func(format string, args ...any) { fmt.Printf(format+"\n", args...) }})
	if err != nil {
		return fail(err)
	}
	printResult(res)
	printUsage(res)
	if res.Verdict.RulesKept() < 5 || res.Usage != nil && len(res.Usage.Violations) > 0 {
		return exitCode(1)
	}
	return nil
}

// printUse tells what the accounting had at the end.
func printUsage(res *scenario.Result) {
	for _, r := range res.Reservations {
		fmt.Printf("reserved for %s: %.6g of %.6g units used\n", r.Member, r.Used, r.Units)
	}
	u := res.Usage
	if u == nil {
		return
	}
	fmt.Printf("exported: %d tries, %d at their answered size, %d at a guess (%d of them answered by no node), %.6g units, %.6g not covered\n",
		u.Attempts, u.Confirmed, u.Estimated, u.Unanswered, u.Units, u.UncoveredUnits)
	fmt.Printf("kills of gateways: %d; events that the accounting was sent again: %d\n", res.Kills, res.DuplicateEvents)
	if len(u.Violations) == 0 {
		fmt.Println("use exported exactly once: kept")
		return
	}
	fmt.Println("use exported exactly once: BROKEN")
	for _, b := range u.Violations {
		fmt.Println("  " + b)
	}
}

func printResult(res *scenario.Result) {
	st := res.Stats
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	row := func(name string, n int64) {
		fmt.Fprintf(w, "%s\t%d\t%.1f%%\n", name, n, 100*float64(n)/max(1, float64(st.Requests)))
	}
	fmt.Fprintln(w)
	row("orders asked", st.Requests)
	row("served", st.Served)
	row("served within the aim", st.WithinObjective)
	row("refused at last", st.Rejected)
	var reasons []string
	for r := range st.Reasons {
		reasons = append(reasons, r)
	}
	sort.Strings(reasons)
	for _, r := range reasons {
		row("  "+r, st.Reasons[r])
	}
	row("failed", st.Failed)
	row("lost with their session", st.Lost)
	row("no gateway reached", st.Unreachable)
	row("clients' tries", st.Attempts)
	row("attempts at nodes", int64(res.Attempts))
	for _, q := range []float64{50, 90, 99, 99.9} {
		fmt.Fprintf(w, "latency p%v\t%v\n", q, time.Duration(st.Latency.ValueAtQuantile(q))*time.Microsecond)
	}
	w.Flush()
	fmt.Println()
	fmt.Print(res.Verdict)
}
