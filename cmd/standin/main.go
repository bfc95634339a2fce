// Command standin runs the stand-ins by themselves: emulated nodes, a list of them and a school that orders,
// each in a terminal of its own.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"winghatch/internal/config"
	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/testbed/client"
	"winghatch/internal/testbed/discovery"
	"winghatch/internal/testbed/metricsreceiver"
	"winghatch/internal/testbed/usagereceiver"
	"winghatch/internal/usage/outbox"
)

type command struct {
	Node       backendCmd   `cmd:"" help:"Run an emulated node."`
	List       discoveryCmd `cmd:"" help:"Run a list of nodes; lines on standard input change it: NODE serving|draining|gone."`
	Metrics    metricsCmd   `cmd:"" help:"Take Prometheus remote write and print the sums of some series each second."`
	Accounting usageCmd     `cmd:"" help:"Take exported use, keep each event once in a file, and print an account each second."`
	School     clientCmd    `cmd:"" help:"Order from a fleet's gateways and print an account each second."`
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Name("standin"), kong.UsageOnError(), kong.Description("Emulated nodes, list and clients.\n\n"+
		"  standin node --listen 127.0.0.1:7401 --config examples/fleet.kdl\n"+
		"  standin list --listen 127.0.0.1:7000 127.0.0.1:7401 127.0.0.1:7402\n"+
		"  standin school --config examples/fleet.kdl --key escuela=KEY --rate 50"))
	k.FatalIfErrorf(k.Run())
}

func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// eachSecond calls f until the program is interrupted.
func eachSecond(f func()) {
	ctx, stop := interrupted()
	defer stop()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}

type backendCmd struct {
	Listen string             `required:"" help:"host:port on loopback."`
	Config string             `required:"" help:"The fleet's settings; the node does its classes."`
	Work   time.Duration      `default:"50ms" help:"Mean work of a call."`
	Cores  int                `default:"2"`
	Speed  float64            `default:"1" help:"Of a core."`
	Queue  int                `default:"64" help:"Calls that may wait; more are turned away."`
	Zone   string             `help:"Where it stands."`
	Slow   float64            `default:"1" help:"Times slower than it should be."`
	Errors float64            `help:"Share of calls that fail quickly."`
	Mute   []string           `help:"Classes that are run but never answered."`
	Tail   map[string]float64 `help:"CLASS=FACTOR: one of 50 calls of the class costs so many times the usual."`
}

type metricsCmd struct {
	Listen string   `required:"" help:"host:port on loopback."`
	Show   []string `default:"winghatch_calls_total,winghatch_refusals_total,winghatch_attempts_total" help:"Metrics of which all series are summed."`
	Status int      `help:"Answer this and keep nothing; 0: take all."`
}

func (c *metricsCmd) Run() error {
	r, err := metricsreceiver.Start(c.Listen)
	if err != nil {
		return err
	}
	defer r.Stop()
	r.SetFault(func(t *metricsreceiver.Fault) { t.Status = c.Status })
	fmt.Printf("takes writes at %s; all series at http://%s/series\n", r.URL(), r.Addr())
	eachSecond(func() {
		line := fmt.Sprintf("series %d", len(r.Names()))
		for _, m := range c.Show {
			line += fmt.Sprintf(", %s %v", m, r.Sum(m))
		}
		fmt.Println(line)
	})
	return nil
}

type usageCmd struct {
	Listen     string        `required:"" help:"host:port on loopback."`
	File       string        `required:"" help:"Keeps the events."`
	Status     int           `help:"Answer this and keep nothing; 0: take all."`
	RetryAfter string        `help:"With it."`
	Slow       time.Duration `help:"Take so long for a batch."`
}

func (c *usageCmd) Run() error {
	r, err := usagereceiver.Start(c.Listen, c.File)
	if err != nil {
		return err
	}
	defer r.Stop()
	r.SetFault(func(t *usagereceiver.Fault) { t.Status, t.RetryAfter, t.Delay = c.Status, c.RetryAfter, c.Slow })
	fmt.Println("takes batches at", r.URL())
	eachSecond(func() {
		units, guessed := map[string]float64{}, 0
		evs := r.Events()
		for _, e := range evs {
			var u outbox.UsageData
			if e.Type == outbox.TypeUsage && json.Unmarshal(e.Data, &u) == nil {
				units[u.Member] += u.Units
				if u.Estimated {
					guessed++
				}
			}
		}
		fmt.Printf("events %d, guessed %d, units %v\n", len(evs), guessed, units)
	})
	return nil
}

func (c *backendCmd) Run() error {
	f, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	o := backend.Options{Address: c.Listen, Zone: c.Zone, Cores: c.Cores, Speed: c.Speed, Queue: c.Queue, Classes: map[string]backend.Class{},
		Seed: uint64(time.Now().UnixNano())}
	for _, k := range f.Decide.Classes {
		o.Classes[k.Name] = backend.Class{MeanWork: c.Work, Deduplicates: k.DedupWindow > 0, DedupWindow: k.DedupWindow}
	}
	n, err := backend.Start(o)
	if err != nil {
		return err
	}
	n.SetFault(func(t *backend.Fault) {
		t.Slowdown, t.ErrorShare, t.TailFactor, t.TailShare, t.UnansweredClasses = c.Slow, c.Errors, c.Tail, 0.02, map[string]bool{}
		for _, m := range c.Mute {
			t.UnansweredClasses[m] = true
		}
	})
	fmt.Println("node listens on", n.Addr())
	ctx, stop := interrupted()
	defer stop()
	<-ctx.Done()
	n.Stop()
	return nil
}

type discoveryCmd struct {
	Listen string        `required:"" help:"host:port on loopback."`
	Lag    time.Duration `help:"Changes are told so much later."`
	Nodes  []string      `arg:"" optional:"" help:"Nodes at the start, host:port or host:port@ZONE."`
}

func (c *discoveryCmd) Run() error {
	l, err := discovery.Start(c.Listen, c.Lag, nil)
	if err != nil {
		return err
	}
	parse := func(s, state string) discoveryws.Endpoint {
		addr, zone, _ := strings.Cut(s, "@")
		return discoveryws.Endpoint{Address: addr, Zone: zone, State: state}
	}
	var es []discoveryws.Endpoint
	for _, n := range c.Nodes {
		es = append(es, parse(n, "serving"))
	}
	u := discoveryws.Update{Endpoints: es}
	if err := u.Check(); err != nil {
		return err
	}
	l.Replace(es)
	fmt.Println("list listens on", l.Addr())
	go func() {
		for {
			var n, state string
			if _, err := fmt.Scanln(&n, &state); err != nil {
				if n == "" && state == "" && err.Error() != "unexpected newline" {
					return
				}
				continue
			}
			e := parse(n, state)
			if state == "serving" {
				e.StartedMs = time.Now().UnixMilli()
			}
			one := discoveryws.Update{Endpoints: []discoveryws.Endpoint{e}}
			if err := one.Check(); err != nil {
				fmt.Println(err)
				continue
			}
			l.Update(e)
		}
	}()
	ctx, stop := interrupted()
	defer stop()
	<-ctx.Done()
	l.Stop()
	return nil
}

type clientCmd struct {
	Config  string            `required:"" help:"The fleet's settings."`
	Key     map[string]string `required:"" help:"MEMBER=KEY, for each member that orders."`
	Rate    float64           `default:"20" help:"Orders a second."`
	Retries int               `default:"2"`
	Units   int               `default:"1" help:"Most units of an order."`
	For     time.Duration     `help:"Stop after so long; 0 goes on."`
}

func (c *clientCmd) Run() error {
	f, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	o := client.Options{Rate: c.Rate, Retries: c.Retries, RetryDelay: 100 * time.Millisecond, Seed: uint64(time.Now().UnixNano())}
	for _, g := range f.Gateways {
		o.Gateways = append(o.Gateways, g.Listen)
	}
	for _, k := range f.Decide.Classes {
		o.Classes = append(o.Classes, client.Class{Name: k.Name, Share: 1 / float64(len(f.Decide.Classes)), Idempotency: k.Idempotency,
			DedupScope: k.DedupScope, DedupWindow: k.DedupWindow, LatencyObjective: k.LatencyObjective, Deadline: k.Deadline, MaxUnits: c.Units})
	}
	for _, m := range f.Members {
		if key := c.Key[m.Name]; key != "" {
			o.Members = append(o.Members, client.Member{Name: m.Name, Key: key, FirstGateway: m.First, GatewayCount: m.Spread})
		}
	}
	if len(o.Members) != len(c.Key) {
		return fmt.Errorf("--key: %d keys for %d members of the fleet, want members that the settings name", len(c.Key), len(o.Members))
	}
	ctx, stop := interrupted()
	defer stop()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	s := client.New(o)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Second)
			st := s.Stats()
			fmt.Printf("asked %d  served %d  refused %d %v  failed %d  lost %d  unreachable %d  p50 %dus  p99 %dus\n", st.Requests, st.Served,
				st.Rejected, st.Reasons, st.Failed, st.Lost, st.Unreachable, st.Latency.ValueAtQuantile(50), st.Latency.ValueAtQuantile(99))
		}
	}()
	s.Run(ctx)
	s.Close()
	return nil
}
