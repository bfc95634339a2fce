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

// These are the exit codes of the sub-commands that run or verify a scenario.
const (
	exitViolated  = 1 // an invariant was violated
	exitCannotRun = 2 // the scenario could not be run, or the records could not be read
)

// rules is the number of rules that a verdict checks; see package invariant.
const rules = 5

// demoCmd is the sub-command demo.
type demoCmd struct {
	Seed int `help:"Seed of the scenario; 0: the built-in seed."`
}

// Run runs the built-in scenario drain.
func (c *demoCmd) Run() error { return runScenario("drain", c.Seed, "") }

// scenarioCmd is the sub-command scenario.
type scenarioCmd struct {
	File   string `arg:"" help:"Scenario file, or the name of a built-in scenario."`
	Seed   int    `help:"Seed of the scenario; 0: the seed in the file."`
	Record string `help:"Folder in which to keep settings, traffic, recordings and logs."`
}

// Run runs one scenario and prints its result.
func (c *scenarioCmd) Run() error { return runScenario(c.File, c.Seed, c.Record) }

// scenariosCmd is the sub-command scenarios.
type scenariosCmd struct {
	Names []string `arg:"" optional:"" help:"Scenario files or names; default: all built-in scenarios."`
	Seed  int      `help:"Seed of the scenarios; 0: the seed in each scenario."`
}

// Run runs the scenarios one after the other and prints a Markdown table with one row per scenario.
func (c *scenariosCmd) Run() error {
	if len(c.Names) == 0 {
		c.Names = scenario.BuiltinNames()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Println("| scenario | requests | in time | rejected | failed | lost | unreachable | " +
		"attempts | p50 | p99 | rules kept |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	code := 0
	for _, name := range c.Names {
		res, err := runQuietly(ctx, name, c.Seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			code = exitCannotRun
			continue
		}
		printRow(name, res)
		if res.Verdict.RulesKept() < rules {
			fmt.Fprint(os.Stderr, res.Verdict)
			code = max(code, exitViolated)
		}
	}
	if code != 0 {
		return exitCode(code)
	}
	return nil
}

// printRow prints the table row of one scenario.
func printRow(name string, res *scenario.Result) {
	s := res.Stats
	fmt.Printf("| %s | %d | %s | %s | %s | %s | %s | %d | %v | %v | %d of %d |\n", name, s.Requests,
		percent(s.WithinObjective, s.Requests), percent(s.Rejected, s.Requests),
		percent(s.Failed, s.Requests), percent(s.Lost, s.Requests),
		percent(s.Unreachable, s.Requests), res.Attempts,
		latency(res, 50).Round(time.Millisecond), latency(res, 99).Round(time.Millisecond),
		res.Verdict.RulesKept(), rules)
}

// percent formats n as a percentage of total. It returns "0.0%" if both are 0.
func percent(n, total int64) string {
	return fmt.Sprintf("%.1f%%", 100*float64(n)/max(1, float64(total)))
}

// latency returns a quantile, in percent, of the latencies of served requests.
func latency(res *scenario.Result, quantile float64) time.Duration {
	return time.Duration(res.Stats.Latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// runQuietly runs a scenario in a temporary folder without printing its progress.
func runQuietly(ctx context.Context, name string, seed int) (*scenario.Result, error) {
	s, err := scenario.Open(name)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "winghatch-scenario-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	command, err := gatewayCommand()
	if err != nil {
		return nil, err
	}
	return scenario.Run(ctx, s, scenario.Options{Seed: seed, Dir: dir, Command: command})
}

// gatewayCommand returns a function that creates the command of a process that runs this program with args.
func gatewayCommand() (func(args ...string) *exec.Cmd, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return func(args ...string) *exec.Cmd { return exec.Command(exe, args...) }, nil
}

// verifyCmd is the sub-command verify.
type verifyCmd struct {
	Dir string `arg:"" help:"Folder written by scenario --record."`
}

// Run checks the invariants of a recorded run and prints the verdict.
func (c *verifyCmd) Run() error {
	verdict, err := scenario.Verify(c.Dir)
	if err != nil {
		return cannotRun(err)
	}
	fmt.Print(verdict)
	if verdict.RulesKept() < rules {
		return exitCode(exitViolated)
	}
	return nil
}

// cannotRun prints err and returns the exit code for a scenario that could not be run or verified.
func cannotRun(err error) error {
	fmt.Fprintln(os.Stderr, err)
	return exitCode(exitCannotRun)
}

// runScenario runs a scenario and prints its progress and result. If dir is empty, the records are deleted
// afterwards.
func runScenario(name string, seed int, dir string) error {
	s, err := scenario.Open(name)
	if err != nil {
		return cannotRun(err)
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "winghatch-scenario-"); err != nil {
			return cannotRun(err)
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return cannotRun(err)
	}
	command, err := gatewayCommand()
	if err != nil {
		return cannotRun(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Printf("scenario %s: %d gateways, %d members, %.0f requests a second, %v\n",
		s.Name, len(s.Fleet.Gateways), len(s.Fleet.Members), s.Load.Rate, s.Length)
	res, err := scenario.Run(ctx, s, scenario.Options{
		Seed:    seed,
		Dir:     dir,
		Command: command,
		Logf:    func(format string, args ...any) { fmt.Printf(format+"\n", args...) },
	})
	if err != nil {
		return cannotRun(err)
	}
	printResult(res)
	printUsage(res)
	if res.Verdict.RulesKept() < rules || res.Usage != nil && len(res.Usage.Violations) > 0 {
		return exitCode(exitViolated)
	}
	return nil
}

// printUsage prints the units used of each reservation, which usage the receiver had at the end, and whether
// each attempt was exported exactly once.
func printUsage(res *scenario.Result) {
	for _, r := range res.Reservations {
		fmt.Printf("reserved for %s: %.6g of %.6g units used\n", r.Member, r.Used, r.Units)
	}
	u := res.Usage
	if u == nil {
		return
	}
	fmt.Printf("exported: %d attempts, %d at their reported size, "+
		"%d estimated (%d of them without a response), %.6g units, %.6g uncovered\n",
		u.Attempts, u.Confirmed, u.Estimated, u.Unanswered, u.Units, u.UncoveredUnits)
	fmt.Printf("kills of gateways: %d; events that the usage receiver got again: %d\n",
		res.Kills, res.DuplicateEvents)
	if len(u.Violations) == 0 {
		fmt.Println("usage exported exactly once: kept")
		return
	}
	fmt.Println("usage exported exactly once: BROKEN")
	for _, violation := range u.Violations {
		fmt.Println("  " + violation)
	}
}

// printResult prints the counts of requests, the latencies and the verdict.
func printResult(res *scenario.Result) {
	s := res.Stats
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	row := func(name string, n int64) {
		fmt.Fprintf(w, "%s\t%d\t%s\n", name, n, percent(n, s.Requests))
	}
	fmt.Fprintln(w)
	row("requests", s.Requests)
	row("served", s.Served)
	row("served within the objective", s.WithinObjective)
	row("rejected", s.Rejected)
	var reasons []string
	for reason := range s.Reasons {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		row("  "+reason, s.Reasons[reason])
	}
	row("failed", s.Failed)
	row("lost with their session", s.Lost)
	row("no gateway reached", s.Unreachable)
	row("clients' attempts", s.Attempts)
	row("attempts at servers", int64(res.Attempts))
	for _, quantile := range []float64{50, 90, 99, 99.9} {
		fmt.Fprintf(w, "latency p%v\t%v\n", quantile, latency(res, quantile))
	}
	w.Flush()
	fmt.Println()
	fmt.Print(res.Verdict)
}
