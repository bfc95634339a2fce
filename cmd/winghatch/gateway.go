package main

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sort"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/credentials"
	"winghatch/internal/gateway"
	"winghatch/internal/recording"
	"winghatch/internal/usage/outbox"
)

type gatewayCmd struct {
	Config string `required:"" help:"The fleet's settings, KDL."`
	Rank   int    `required:"" help:"This gateway's number, from 0."`
	Seed   int64  `help:"Of the core's random choices; 0 takes one from the time."`
	Tape   string `help:"Record what the core is given and does in this file."`
	Log    string `help:"text or json; else as the settings say." enum:"text,json," default:""`
}

func logger(f *config.Fleet, form string) *slog.Logger {
	var level slog.Level
	level.UnmarshalText([]byte(f.Log.Level)) // the settings were checked
	o := &slog.HandlerOptions{Level: level}
	if form == "json" || form == "" && f.Log.JSON {
		return slog.New(slog.NewJSONHandler(os.Stderr, o))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, o))
}

func (c *gatewayCmd) Run() error {
	f, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	o := gateway.Options{Rank: c.Rank, Seed: c.Seed, Log: logger(f, c.Log)}
	if c.Tape != "" {
		out, err := os.Create(c.Tape)
		if err != nil {
			return err
		}
		defer out.Close()
		o.Recording = out
	}
	if os.Getenv("GOGC") == "" {
		// Little lives long and much is made for each call: at the default the collector runs twenty times a
		// second under load. The heap stays small all the same, see docs/measurements.md.
		debug.SetGCPercent(400)
	}
	sigs := make(chan os.Signal, 2)
	signal.Notify(sigs, syscall.SIGTERM, syscall.SIGINT)
	g, err := gateway.Start(f, o)
	if err != nil {
		return err
	}
	s := <-sigs
	o.Log.Info("stops: takes nothing new, finishes what is open", "signal", s.String())
	go func() {
		<-sigs
		os.Exit(1) // asked twice
	}()
	g.Drain()
	o.Log.Info("stopped")
	return nil
}

type checkCmd struct {
	File string `arg:"" help:"The settings."`
}

func (c *checkCmd) Run() error {
	f, err := config.Load(c.File)
	if err != nil {
		fmt.Println(err)
		return exitCode(1)
	}
	fmt.Printf("%s: fleet %q: %d gateways, %d classes, %d plans, %d members\n", c.File, f.Name, len(f.Gateways),
		len(f.Decide.Classes), len(f.Decide.Plans), len(f.Members))
	if f.StateDirPattern == "" {
		fmt.Println("kept: not set: plan changes and reservations end with the gateways' processes")
	} else {
		fmt.Printf("kept: %s and so on for each gateway\n", f.StateDir(0))
	}
	if m := f.Metrics; !m.Enabled {
		fmt.Println("measures: not set: nothing is counted for Prometheus")
	} else {
		fmt.Printf("measures: every %v to %q, at most %d samples and about %d bytes wait\n", m.Interval, m.URL, m.MaxSamples, m.MaxBytes)
	}
	if e := f.UsageExport; e.URL == "" {
		fmt.Println("export: not set: use is told to nobody")
	} else {
		fmt.Printf("export: to %s, durability %v, %d bytes of disk, unwritable: %s\n", e.URL, e.Durability, e.MaxLogBytes,
			map[outbox.Policy]string{outbox.PolicyReject: "refuse", outbox.PolicyServe: "serve, uncovered"}[e.OnUnwritable])
	}
	return nil
}

type replayCmd struct {
	Tape string `arg:"" help:"A tape that a gateway recorded."`
}

func (c *replayCmd) Run() error {
	in, err := os.Open(c.Tape)
	if err != nil {
		return err
	}
	defer in.Close()
	n, err := recording.Replay(in)
	var diff *recording.MismatchError
	if errors.As(err, &diff) {
		fmt.Println(err)
		return exitCode(1)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.Tape, err)
	}
	fmt.Printf("%d events, %d actions, all the same\n", n.Events, n.Actions)
	var kinds []string
	for k := range n.ByKind {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	for _, k := range kinds {
		fmt.Printf("  %-14s %d\n", k, n.ByKind[k])
	}
	if n.Truncated != nil {
		fmt.Println(n.Truncated)
	}
	return nil
}

type stateCmd struct {
	At   string `required:"" help:"The gateway's state address, host:port."`
	JSON bool   `help:"Print it as it came."`
}

func (c *stateCmd) Run() error {
	client := http.Client{Timeout: 5 * time.Second}
	res, err := client.Get("http://" + c.At + "/state")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("%s: %w", c.At, err)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: answered %s, want 200", c.At, res.Status)
	}
	if c.JSON {
		_, err = os.Stdout.Write(raw)
		return err
	}
	var s gateway.State
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("%s: %w", c.At, err)
	}
	printState(&s)
	return nil
}

func printState(s *gateway.State) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "fleet %s, gateway %d %s, up %v, mesh %t\n", s.Fleet, s.Rank, s.Zone, s.Uptime.Round(time.Second), s.Core.FullGossip)
	fmt.Fprintf(w, "open\t%d\tsessions\t%d\tqueue\t%d\tpressed\t%.2f\n", s.OpenRequests, s.Sessions, s.QueueLength, s.Core.Pressure)
	fmt.Fprintf(w, "served\t%d\tfailed\t%d\tclients gone\t%d\tlate answers\t%d\n", s.Served, s.Failed, s.Abandoned, s.LateResponses)
	fmt.Fprintf(w, "attempts\t%d\toutcomes\t%v\tretry budget\t%.1f\n", s.Attempts, s.Outcomes, s.Core.RetryBudget)
	fmt.Fprintf(w, "refused\t%v\tturned away\t%v\n", s.Rejected, s.FrontendRejections)
	fmt.Fprintf(w, "datagrams\t%+v\n", s.Datagrams)
	fmt.Fprintln(w, "\nserver\tzone\tstate\tout\tghosts\tslow\tmissed\tcold for\tbudget")
	states := map[decide.ServerState]string{decide.Serving: "serving", decide.Draining: "draining", decide.Removed: "gone"}
	for _, v := range s.Core.Servers {
		cold := "-"
		budget := "-"
		if v.SlowStartLeft > 0 {
			cold, budget = v.SlowStartLeft.Round(time.Millisecond).String(), fmt.Sprintf("%.2f", v.WarmUpBudget)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.2f\t%.2f\t%s\t%s\n", v.ID, v.Zone, states[v.State], v.InFlight, v.Orphaned, v.Slowness, v.FailureRatio,
			cold, budget)
	}
	fmt.Fprintln(w, "\ncustomer\tplan\tlevel\tmark\tpart\twhole\tstore\topen")
	for _, v := range s.Core.Customers {
		name := s.CustomerNames[v.Key]
		if name == "" {
			name = fmt.Sprintf("#%x", v.Key)
		}
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t%d\n", name, v.Plan, v.Level, v.HighWaterMark, v.Share, v.FleetLevel, v.CeilingTokens, v.InFlight)
	}
	fmt.Fprintf(w, "\nplan changes\t%d\tsum\t%s\t%s\n", s.PlanChanges, s.PlanDigest, s.PlanLogFailure)
	if len(s.Reservations) > 0 {
		fmt.Fprintln(w, "\nreservation\tmember\tunits\tto\topen\tfree here\tdrawn\tout\tused here\tgiven")
		for _, v := range s.Reservations {
			fmt.Fprintf(w, "%d\t%s\t%.6g\t%s\t%t\t%.1f\t%.1f\t%d\t%.1f\t%.1f\n", v.Number, v.Member, v.Units,
				time.Unix(0, v.To).UTC().Format(time.RFC3339), v.Open, v.HeldTokens, v.DrawnTokens, v.InFlight, v.UsedUnits, v.GivenUnits)
		}
	}
	if e := s.Usage; e != nil {
		fmt.Fprintf(w, "\nexport\tlife %d\topen tries %d\trecords %d\treceiver has %d\t%d of %d bytes\trefusing %t\t%s\n", e.Incarnation, e.OpenAttempts,
			e.Records, e.Acknowledged, e.Bytes, e.MaxBytes, e.Rejecting, e.Failure)
		fmt.Fprintf(w, "  sent\t%d events\t%d batches\t%d again\t%d set aside\tlast answer %d %s\n", e.Delivery.Sent, e.Delivery.Batches, e.Delivery.Retries,
			e.Delivery.DeadLetters, e.Delivery.LastStatus, e.Delivery.LastReason)
		fmt.Fprintf(w, "  not covered\t%d tries\t%.6g units\tdenied %d\torphans %d\tlost records %d\n", e.Outbox.UncoveredAttempts, e.Outbox.UncoveredUnits,
			e.Outbox.Denied, e.Outbox.Orphans, e.LostRecords)
	}
	if len(s.Core.UnresponsiveOwners) > 0 {
		fmt.Fprintf(w, "\nhomes that are not asked for now\t%v\n", s.Core.UnresponsiveOwners)
	}
	fmt.Fprintln(w, "\npeer\tknown\theard ago\tto tell")
	for _, v := range s.Core.Peers {
		fmt.Fprintf(w, "%d\t%t\t%v\t%d\n", v.Rank, v.Known, v.SinceHeard.Round(time.Millisecond), v.QueueLength)
	}
}

type keyCmd struct {
	New    keyNewCmd    `cmd:"" help:"Make a member's key, and the digest of it for the settings."`
	Digest keyDigestCmd `cmd:"" help:"Read a key from standard input and print its digest."`
	Secret keySecretCmd `cmd:"" help:"Make a fleet's secret."`
}

type keyNewCmd struct {
	Config string `required:"" help:"The fleet's settings; the digest is made with their secret."`
}

type keyDigestCmd struct {
	Config string `required:"" help:"The fleet's settings."`
}

type keySecretCmd struct{}

func printKey(file, key string) error {
	f, err := config.Load(file)
	if err != nil {
		return err
	}
	fmt.Printf("key     %s\ndigest  %s\n", key, f.Secret.MemberKeyHasher().Sum([]byte(key)))
	return nil
}

func (c *keyNewCmd) Run() error { return printKey(c.Config, credentials.NewMemberKey()) }

func (c *keyDigestCmd) Run() error {
	raw, err := io.ReadAll(io.LimitReader(os.Stdin, 4096))
	if err != nil {
		return err
	}
	return printKey(c.Config, strings.TrimSpace(string(raw)))
}

func (c *keySecretCmd) Run() error {
	s := credentials.NewSecret()
	fmt.Println(hex.EncodeToString(s[:]))
	return nil
}
