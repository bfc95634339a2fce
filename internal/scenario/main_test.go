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

// defectEnv is the environment variable that selects the entry of gatewayDefects for a gateway process.
const defectEnv = "BREAK"

// TestMain also serves as the gateway program: a run starts the test binary as its gateways, with or without
// a defect.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "gateway" {
		if err := runGateway(os.Args[2:], os.Getenv(defectEnv)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	// Runs spend most of their time waiting. Six parallel runs, independent of the number of cores of the
	// machine, keep two cores busy and the tests short.
	flag.Parse()
	flag.Set("test.parallel", "6")
	os.Exit(m.Run())
}

// runGateway runs a gateway with the named defect until SIGTERM.
// args must be --config FILE --rank N --tape FILE.
func runGateway(args []string, defectName string) error {
	defect, ok := gatewayDefects[defectName]
	if !ok {
		return fmt.Errorf("defect %q is not one of gatewayDefects", defectName)
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
	if defect.settings != nil {
		defect.settings(f)
	}
	o := gateway.Options{Rank: rank, Recording: out}
	if defect.hooks != nil {
		o.TestHooks = defect.hooks()
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
