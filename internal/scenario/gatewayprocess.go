package scenario

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"winghatch/internal/invariant"
)

const (
	gatewayStartTimeout = 20 * time.Second
	gatewayStopTimeout  = 30 * time.Second // after SIGTERM
	gatewayPollInterval = 5 * time.Millisecond
)

// gatewayProcess is the place of a gateway: its rank and addresses stay while processes come and go there. The runner's
// mutex guards cmd and ended.
type gatewayProcess struct {
	rank         int
	incarnations int
	cmd          *exec.Cmd
	ended        chan struct{} // closed when the process has ended
}

// startFleet starts all gateways and waits until they accept connections.
func (r *runner) startFleet() error {
	for rank := range r.fleet.Gateways {
		g := &gatewayProcess{rank: rank}
		r.gateways = append(r.gateways, g)
		if err := r.startGateway(g); err != nil {
			return err
		}
	}
	for _, g := range r.gateways {
		if err := r.awaitGateway(g); err != nil {
			return err
		}
	}
	return nil
}

// restartGateways starts processes of gateways that have ended, and waits until they accept connections.
func (r *runner) restartGateways(gateways ...*gatewayProcess) {
	for _, g := range gateways {
		if err := r.startGateway(g); err != nil {
			r.fail(err)
			return
		}
	}
	for _, g := range gateways {
		if err := r.awaitGateway(g); err != nil {
			r.fail(err)
		}
	}
}

// startGateway starts a process. All processes of a gateway append to one log; each has a recording of its own.
func (r *runner) startGateway(g *gatewayProcess) error {
	g.incarnations++
	recording := filepath.Join(r.options.Dir, fmt.Sprintf("gateway-%d.%d.tape", g.rank, g.incarnations))
	cmd := r.options.Command("gateway", "--config", r.configFile, "--rank", fmt.Sprint(g.rank), "--tape", recording)
	if r.options.GatewayEnv != nil {
		cmd.Env = append(os.Environ(), r.options.GatewayEnv(g.rank)...)
	}
	log, err := os.OpenFile(r.gatewayLog(g), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return fmt.Errorf("scenario: gateway %d: %w", g.rank, err)
	}
	r.recordProcess(g, "up")
	ended := make(chan struct{})
	go func() {
		cmd.Wait()
		log.Close()
		close(ended)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	g.cmd, g.ended = cmd, ended
	r.recordings = append(r.recordings, recording)
	return nil
}

func (r *runner) gatewayLog(g *gatewayProcess) string {
	return filepath.Join(r.options.Dir, fmt.Sprintf("gateway-%d.log", g.rank))
}

// awaitGateway waits until a gateway accepts connections.
func (r *runner) awaitGateway(g *gatewayProcess) error {
	deadline := time.Now().Add(gatewayStartTimeout)
	for ; time.Now().Before(deadline); time.Sleep(gatewayPollInterval) {
		nc, err := net.Dial("tcp", r.fleet.Gateways[g.rank].Listen)
		if err == nil {
			nc.Close()
			return nil
		}
		select {
		case <-g.ended:
			raw, _ := os.ReadFile(r.gatewayLog(g))
			return fmt.Errorf("scenario: gateway %d does not start: %s", g.rank, strings.TrimSpace(string(raw)))
		default:
		}
	}
	return fmt.Errorf("scenario: gateway %d accepts no connections", g.rank)
}

// signal sends a signal and records it as state. The record comes before the signal, but after SIGCONT, so that nothing
// that the gateway did counts as done while it did not run.
func (r *runner) signal(g *gatewayProcess, sig syscall.Signal, state string) {
	if sig == syscall.SIGCONT {
		g.cmd.Process.Signal(sig)
		r.recordProcess(g, state)
		return
	}
	r.recordProcess(g, state)
	g.cmd.Process.Signal(sig)
}

func (r *runner) recordProcess(g *gatewayProcess, state string) {
	r.log.Add(invariant.Record{Kind: invariant.ProcessChanged, Gateway: g.rank, State: state})
}

// kill ends a gateway's process at once.
func (r *runner) kill(g *gatewayProcess) {
	r.signal(g, syscall.SIGKILL, "kill")
	<-g.ended
}

// terminate stops a gateway with SIGTERM. It must end by itself, with exit code 0.
func (r *runner) terminate(g *gatewayProcess) {
	r.signal(g, syscall.SIGTERM, "term")
	select {
	case <-g.ended:
		if code := g.cmd.ProcessState.ExitCode(); code != 0 {
			r.fail(fmt.Errorf("scenario: gateway %d ended with exit code %d after SIGTERM", g.rank, code))
		}
	case <-time.After(gatewayStopTimeout):
		r.fail(fmt.Errorf("scenario: gateway %d does not end after SIGTERM", g.rank))
		g.cmd.Process.Kill()
		<-g.ended
	}
	r.recordProcess(g, "exit")
}

// stopGateways terminates all gateways that run, also those that are stopped by SIGSTOP.
func (r *runner) stopGateways() {
	for _, g := range r.gateways {
		if g.cmd == nil {
			continue
		}
		select {
		case <-g.ended:
		default:
			g.cmd.Process.Signal(syscall.SIGCONT)
			r.terminate(g)
		}
	}
}
