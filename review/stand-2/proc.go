package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// proc is a process that the case has started.
type proc struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// startProc starts a shell command from the root of the repository. Its output goes to a file in the temporary
// folder.
func (r *run) startProc(name, command string, env ...string) (*proc, error) {
	out, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &proc{cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{})}
	p.cmd.Dir = r.root
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if this program is killed
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		return nil, errors.New("the case is ending")
	}
	if err := p.cmd.Start(); err != nil {
		r.mu.Unlock()
		return nil, err
	}
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	go func() {
		p.cmd.Wait()
		close(p.done)
	}()
	r.logf("started %s as process %d: %s", name, p.cmd.Process.Pid, command)
	return p, nil
}

// kill kills the process and waits for its end.
func (p *proc) kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// running reports whether the process has not ended.
func (p *proc) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// handedOut are the ports that freeAddr has returned.
var handedOut = map[int]bool{}

// freeAddr returns a loopback address with a port that is free for TCP and UDP. The port lies below those that the
// kernel gives to connections, so none takes it before its owner listens. It must not be called concurrently.
func freeAddr() string {
	for {
		port := 20000 + rand.IntN(12000)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if handedOut[port] {
			continue
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		pc, err := net.ListenPacket("udp", addr)
		ln.Close()
		if err == nil {
			pc.Close()
			handedOut[port] = true
			return addr
		}
	}
}

// waitFor polls a condition until it holds or the time is over.
func waitFor(what string, limit time.Duration, ok func() bool) error {
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
