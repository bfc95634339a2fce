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
	gatewayStartTimeout      = 20 * time.Second     // from the start until the gateway accepts connections
	gatewayStartPollInterval = 5 * time.Millisecond // between two tries to connect to a starting gateway
	gatewayStopTimeout       = 30 * time.Second     // from SIGTERM until the process ends
)

// States of a gateway process in records, besides those of signalStates.
const (
	processUp   = "up"
	processExit = "exit"
)

// signalStates maps each signal that a run sends to a gateway to the state in the record of it.
var signalStates = map[syscall.Signal]string{
	syscall.SIGCONT: "cont",
	syscall.SIGKILL: "kill",
	syscall.SIGSTOP: "stop",
	syscall.SIGTERM: "term",
}

// gatewayProcess is a gateway and its current process. A restart replaces the process.
type gatewayProcess struct {
	rank         int
	incarnations int           // number of processes started so far
	cmd          *exec.Cmd     // nil before the first start
	ended        chan struct{} // closed when the process has ended
}

// startAllGateways starts all gateways and waits until they accept connections.
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

// startGateways restarts gateways during a run and waits until they accept connections. An error fails the
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

// startGateway starts a process of a gateway. Each process writes its own recording and appends to the
// gateway's log file.
func (r *runner) startGateway(g *gatewayProcess) error {
	g.incarnations++
	recording := filepath.Join(r.options.Dir, fmt.Sprintf("gateway-%d.%d.tape", g.rank, g.incarnations))
	cmd := r.options.Command("gateway", "--config", r.configFile, "--rank", fmt.Sprint(g.rank),
		"--tape", recording)
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
	// This goroutine ends with the process. stopGateway waits for that.
	go func() {
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
			return fmt.Errorf("scenario: gateway %d ended during its start: %s",
				g.rank, strings.TrimSpace(string(output)))
		default:
		}
	}
	return fmt.Errorf("scenario: gateway %d did not accept connections within %v",
		g.rank, gatewayStartTimeout)
}

// stopGateway terminates a gateway that is running or suspended. It does nothing if the process has ended or
// was never started.
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

// terminateGateway stops a gateway with SIGTERM, as an operator does. The run fails unless the process ends
// within gatewayStopTimeout with exit code 0.
func (r *runner) terminateGateway(g *gatewayProcess) {
	r.signalGateway(g, syscall.SIGTERM)
	select {
	case <-g.ended:
		if code := g.cmd.ProcessState.ExitCode(); code != 0 {
			r.addError(fmt.Errorf("scenario: gateway %d ended with exit code %d after SIGTERM, want 0",
				g.rank, code))
		}
	case <-time.After(gatewayStopTimeout):
		r.addError(fmt.Errorf("scenario: gateway %d did not end within %v after SIGTERM",
			g.rank, gatewayStopTimeout))
		g.cmd.Process.Kill()
		<-g.ended
	}
	r.recordProcessState(g, processExit)
}

// killGateway ends a gateway abruptly with SIGKILL, as a crash does, and waits until its process has ended.
func (r *runner) killGateway(g *gatewayProcess) {
	r.signalGateway(g, syscall.SIGKILL)
	<-g.ended
}

// signalGateway sends one of the signals in signalStates and adds a record of it. The record is added after a
// SIGCONT but before any other signal. The time between the records then covers all the time in which the
// process could not run, and the check does not count that time against the gateway.
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

// pickGateways returns count randomly chosen gateways, or all if there are fewer.
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
