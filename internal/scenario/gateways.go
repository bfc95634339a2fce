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
	gatewayStartTimeout      = 20 * time.Second     // until it accepts connections
	gatewayStartPollInterval = 5 * time.Millisecond // between two attempts to connect
	gatewayStopTimeout       = 30 * time.Second     // from SIGTERM until it ends
)

// States of a gateway process in the records.
const (
	processUp   = "up"
	processExit = "exit"
)

// signalStates are the states that a signal brings a process to, as the records name them.
var signalStates = map[syscall.Signal]string{
	syscall.SIGCONT: "cont",
	syscall.SIGKILL: "kill",
	syscall.SIGSTOP: "stop",
	syscall.SIGTERM: "term",
}

// gatewayProcess is the process of a gateway; another replaces it when the gateway is started again.
type gatewayProcess struct {
	rank         int
	incarnations int           // processes so far
	cmd          *exec.Cmd     // nil before the first start
	ended        chan struct{} // closed when the process has ended
}

// startFleet starts all gateways and waits until they accept connections.
func (r *runner) startAllGateways() error {
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

// startGateways starts gateways again during a run and waits until they accept connections. What goes wrong fails the
// run.
func (r *runner) startGateways(gateways ...*gatewayProcess) {
	for _, g := range gateways {
		if err := r.startGateway(g); err != nil {
			r.addError(err)
			return
		}
	}
	for _, g := range gateways {
		if err := r.awaitGateway(g); err != nil {
			r.addError(err)
		}
	}
}

// startGateway starts the process of a gateway. It makes a recording of its own and adds to the gateway's log.
func (r *runner) startGateway(g *gatewayProcess) error {
	g.incarnations++
	recording := filepath.Join(r.options.Dir, fmt.Sprintf("gateway-%d.%d.tape", g.rank, g.incarnations))
	cmd := r.options.Command("gateway", "--config", r.configFile, "--rank", fmt.Sprint(g.rank), "--tape", recording)
	if r.options.GatewayEnv != nil {
		cmd.Env = append(os.Environ(), r.options.GatewayEnv(g.rank)...)
	}
	logFile, err := os.OpenFile(r.gatewayLogFile(g), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		logFile.Close()
		return fmt.Errorf("scenario: gateway %d: %w", g.rank, err)
	}
	r.recordProcessState(g, processUp)
	ended := make(chan struct{})
	go func() { // ends with the process; tearDown waits for it
		cmd.Wait()
		logFile.Close()
		close(ended)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	g.cmd = cmd
	g.ended = ended
	r.recordings = append(r.recordings, recording)
	return nil
}

// awaitGateway waits until a gateway accepts connections.
func (r *runner) awaitGateway(g *gatewayProcess) error {
	until := time.Now().Add(gatewayStartTimeout)
	for ; time.Now().Before(until); time.Sleep(gatewayStartPollInterval) {
		nc, err := net.Dial("tcp", r.fleet.Gateways[g.rank].Listen)
		if err == nil {
			nc.Close()
			return nil
		}
		select {
		case <-g.ended:
			output, _ := os.ReadFile(r.gatewayLogFile(g))
			return fmt.Errorf("scenario: gateway %d does not start: %s", g.rank, strings.TrimSpace(string(output)))
		default:
		}
	}
	return fmt.Errorf("scenario: gateway %d does not accept connections within %v", g.rank, gatewayStartTimeout)
}

// stopGateway terminates a gateway that runs or is suspended.
func (r *runner) stopGateway(g *gatewayProcess) {
	if g.cmd == nil {
		return
	}
	select {
	case <-g.ended:
	default:
		g.cmd.Process.Signal(syscall.SIGCONT)
		r.terminateGateway(g)
	}
}

// terminate stops a gateway as an operator does. It must end by itself with exit code 0.
func (r *runner) terminateGateway(g *gatewayProcess) {
	r.signalGateway(g, syscall.SIGTERM)
	select {
	case <-g.ended:
		if code := g.cmd.ProcessState.ExitCode(); code != 0 {
			r.addError(fmt.Errorf("scenario: gateway %d ended with exit code %d after SIGTERM", g.rank, code))
		}
	case <-time.After(gatewayStopTimeout):
		r.addError(fmt.Errorf("scenario: gateway %d does not end within %v after SIGTERM", g.rank, gatewayStopTimeout))
		g.cmd.Process.Kill()
		<-g.ended
	}
	r.recordProcessState(g, processExit)
}

// kill ends a gateway at once, as a crash does, and waits until its process has ended.
func (r *runner) killGateway(g *gatewayProcess) {
	r.signalGateway(g, syscall.SIGKILL)
	<-g.ended
}

// signal sends one of the signals in signalStates and records it. The record comes after a continuation and before any
// other signal: so the time that the records give covers all the time in which the process could not run, and the
// check does not blame the gateway for it.
func (r *runner) signalGateway(g *gatewayProcess, sig syscall.Signal) {
	if sig == syscall.SIGCONT {
		g.cmd.Process.Signal(sig)
		r.recordProcessState(g, signalStates[sig])
		return
	}
	r.recordProcessState(g, signalStates[sig])
	g.cmd.Process.Signal(sig)
}

func (r *runner) recordProcessState(g *gatewayProcess, state string) {
	r.log.Add(invariant.Record{Kind: invariant.ProcessChanged, Gateway: g.rank, State: state})
}

func (r *runner) gatewayLogFile(g *gatewayProcess) string {
	return filepath.Join(r.options.Dir, fmt.Sprintf("gateway-%d.log", g.rank))
}

// pickGateways returns count random gateways; fewer if there are no more.
func (r *runner) pickGateways(count int) (picked []*gatewayProcess) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.rng.Perm(len(r.gateways)) {
		if len(picked) < count {
			picked = append(picked, r.gateways[i])
		}
	}
	return picked
}
