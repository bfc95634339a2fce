// Command standin runs the emulated counterparts of a gateway as separate processes: upstream servers, the
// discovery service, client load, and receivers of usage and metrics.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// command is the grammar of the command line. An alias is the name of a sub-command in earlier versions.
type command struct {
	Backend   backendCmd   `cmd:"" aliases:"node" help:"Run an emulated server."`
	Discovery discoveryCmd `cmd:"" aliases:"list" help:"Run a discovery service; read 'SERVER STATE' lines."`
	Metrics   metricsCmd   `cmd:"" help:"Receive Prometheus remote write and print sums every second."`
	Usage     usageCmd     `cmd:"" aliases:"accounting" help:"Receive usage, store it, print totals."`
	Client    clientCmd    `cmd:"" aliases:"school" help:"Send requests to a fleet and print totals."`
}

const description = "Emulated servers, discovery service, clients and receivers.\n\n" +
	"The discovery service reads changes from standard input: SERVER serving, SERVER draining or SERVER gone.\n\n" +
	"  standin backend --listen 127.0.0.1:7401 --config examples/fleet.kdl\n" +
	"  standin discovery --listen 127.0.0.1:7000 127.0.0.1:7401 127.0.0.1:7402\n" +
	"  standin client --config examples/fleet.kdl --key escuela=KEY --rate 50"

// parserOptions returns the options of the command-line parser, which the tests also use.
func parserOptions() []kong.Option {
	return []kong.Option{
		kong.Name("standin"),
		kong.UsageOnError(),
		kong.Description(description),
		kong.Vars{"shown_metrics": strings.Join(shownMetrics, ",")},
	}
}

func main() {
	var c command
	k := kong.Parse(&c, parserOptions()...)
	k.FatalIfErrorf(k.Run())
}

// interruptible returns a context that ends with SIGINT or SIGTERM, and a function that releases its
// resources.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// waitForInterrupt waits for SIGINT or SIGTERM.
func waitForInterrupt() {
	ctx, stop := interruptible()
	defer stop()
	<-ctx.Done()
}

// eachSecond calls f every second until the context ends.
func eachSecond(ctx context.Context, f func()) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
