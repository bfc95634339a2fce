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

// gate is a gateway's place.
type gatewayProcess struct {
	rank         int
	incarnations int
	cmd          *exec.Cmd
	ended        chan struct{}
	log          *os.File
}

// up starts a gateway's process.
func (p *runner) startGateway(g *gatewayProcess) error {
	g.incarnations++
	tape := filepath.Join(p.options.Dir, fmt.Sprintf("gateway-%d.%d.tape", g.rank, g.incarnations))
	cmd := p.options.Command("gateway", "--config", p.configFile, "--rank", fmt.Sprint(g.rank), "--tape", tape)
	if p.options.GatewayEnv != nil {
		cmd.Env = append(os.Environ(), p.options.GatewayEnv(g.rank)...)
	}
	f, err := os.OpenFile(filepath.Join(p.options.Dir, fmt.Sprintf("gateway-%d.log", g.rank)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		f.Close()
		return fmt.Errorf("day: gateway %d: %w", g.rank, err)
	}
	p.log.Add(invariant.Record{Kind: invariant.ProcessChanged, Gateway: g.rank, State: "up"})
	ended := make(chan struct{})
	go func() { cmd.Wait(); f.Close(); close(ended) }()
	p.mu.Lock()
	g.cmd, g.ended = cmd, ended
	p.recordings = append(p.recordings, tape)
	p.mu.Unlock()
	return nil
}

func (p *runner) startGateways(gs []*gatewayProcess) {
	for _, g := range gs {
		if err := p.startGateway(g); err != nil {
			p.fail(err)
			return
		}
	}
	for _, g := range gs {
		if err := p.awaitGateway(g); err != nil {
			p.fail(err)
		}
	}
}

// ready waits until a gateway takes connections.
func (p *runner) awaitGateway(g *gatewayProcess) error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		nc, err := net.Dial("tcp", p.fleet.Gateways[g.rank].Listen)
		if err == nil {
			nc.Close()
			return nil
		}
		select {
		case <-g.ended:
			raw, _ := os.ReadFile(filepath.Join(p.options.Dir, fmt.Sprintf("gateway-%d.log", g.rank)))
			return fmt.Errorf("day: gateway %d does not start: %s", g.rank, strings.TrimSpace(string(raw)))
		default:
		}
	}
	return fmt.Errorf("day: gateway %d takes no connections", g.rank)
}

// signal sends a signal and notes it; the note comes before a kill and after a continuation, so that what the
// gateway did is never judged as if it did not run.
func (p *runner) signal(g *gatewayProcess, sig syscall.Signal, word string) {
	if sig == syscall.SIGCONT {
		g.cmd.Process.Signal(sig)
		p.log.Add(invariant.Record{Kind: invariant.ProcessChanged, Gateway: g.rank, State: word})
		return
	}
	p.log.Add(invariant.Record{Kind: invariant.ProcessChanged, Gateway: g.rank, State: word})
	g.cmd.Process.Signal(sig)
}

// term stops a gateway as an operator does; it must end by itself with exit code 0.
func (p *runner) terminate(g *gatewayProcess) {
	p.signal(g, syscall.SIGTERM, "term")
	select {
	case <-g.ended:
		if code := g.cmd.ProcessState.ExitCode(); code != 0 {
			p.fail(fmt.Errorf("day: gateway %d ended with exit code %d after SIGTERM", g.rank, code))
		}
	case <-time.After(30 * time.Second):
		p.fail(fmt.Errorf("day: gateway %d does not end after SIGTERM", g.rank))
		g.cmd.Process.Kill()
		<-g.ended
	}
	p.log.Add(invariant.Record{Kind: invariant.ProcessChanged, Gateway: g.rank, State: "exit"})
}

func (p *runner) pickGateways(n int) (out []*gatewayProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.rng.Perm(len(p.gateways)) {
		if len(out) < n {
			out = append(out, p.gateways[i])
		}
	}
	return out
}
