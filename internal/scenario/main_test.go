package scenario

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"testing"

	"winghatch/internal/config"
	"winghatch/internal/gateway"
)

// breachEnv names, in the environment of a gateway process, the entry of breaches that the gateway is broken by.
const defectEnv = "BREAK"

// TestMain is also the gateway program: a run starts this binary as its gateways, which may be broken.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "gateway" {
		if err := runGateway(os.Args[2:], os.Getenv(defectEnv)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	// Runs mostly wait: six at once, whatever the machine has, keep two cores busy and the tests short.
	flag.Parse()
	flag.Set("test.parallel", "6")
	os.Exit(m.Run())
}

// runGateway runs a gateway until SIGTERM. args are --config FILE --rank N --tape FILE.
func runGateway(args []string, defect string) error {
	b, ok := gatewayDefects[defect]
	if !ok {
		return fmt.Errorf("%s: no such breach", defect)
	}
	f, err := config.Load(args[1])
	if err != nil {
		return err
	}
	rank, err := strconv.Atoi(args[3])
	if err != nil {
		return err
	}
	out, err := os.Create(args[5])
	if err != nil {
		return err
	}
	defer out.Close()
	if b.settings != nil {
		b.settings(f)
	}
	o := gateway.Options{Rank: rank, Recording: out}
	if b.tamper != nil {
		o.Tamper = b.tamper()
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	g, err := gateway.Start(f, o)
	if err != nil {
		return err
	}
	<-term
	g.Drain()
	return nil
}
