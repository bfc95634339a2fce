package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// fleet is a small deployment of "winghatch gateway": gateways, two servers, a list of servers and, if wanted, a
// receiver of usage, each a process of its own.
type fleet struct {
	r       *run
	config  string // settings file
	listens []string
	states  []string
	procs   []*proc // gateways, by rank
	usage   string  // file in which the receiver of usage keeps what it got
}

// members are the members of a fleet, with keys that are for examples only and their digests under its secret.
var members = []struct{ name, key, digest string }{
	{"escuela", "wh_example-key-do-not-use",
		"blake3:369b52acd6a8218003440d7d604ff99276cd6f03448ee80d28b077f8fd42aa6a"},
	{"editorial", "wh_example-key-do-not-use-a",
		"blake3:809aba40c321fc180894f8a9acda1ee9fee3391b5fd2b526253802b2f1748804"},
}

// memberKey is the key of the first member.
const memberKey = "wh_example-key-do-not-use"

// fleetOptions describe a fleet.
type fleetOptions struct {
	gateways   int
	export     bool
	plan       string   // body of the member's plan
	peers      *peerNet // carries the messages between gateways; nil: they go directly
	capacity   string   // units a second that the fleet can serve; empty: not set
	durability string
	servers    int                // number of servers; 0: two
	flags      func(i int) string // further flags of server i; nil: none
}

// startFleet writes the settings and starts all processes.
func startFleet(r *run, o fleetOptions) (*fleet, error) {
	f := &fleet{r: r, config: filepath.Join(r.dir, "fleet.kdl"), usage: filepath.Join(r.dir, "usage.jsonl")}
	listAddr, usageAddr := freeAddr(), freeAddr()
	var servers []string
	for range max(o.servers, 2) {
		servers = append(servers, freeAddr())
	}
	var b strings.Builder
	fmt.Fprintf(&b, "fleet review {\n    secret \"1f1e1d1c1b1a191817161514131211100f0e0d0c0b0a09080706050403020100\"\n")
	fmt.Fprintf(&b, "    list %q\n    list-kept %q\n    kept %q\n", listAddr, filepath.Join(r.dir, "list-%d.json"),
		filepath.Join(r.dir, "kept-%d"))
	if o.export {
		fmt.Fprintf(&b, "    export to=\"http://%s/use\" durability=%s every=\"100ms\" disk=\"256MiB\" batch=500 "+
			"timeout=\"10s\" unwritable=refuse\n", usageAddr, o.durability)
	}
	if o.capacity != "" {
		fmt.Fprintf(&b, "    capacity %q\n", o.capacity)
	}
	fmt.Fprintf(&b, "    max-units 8\n    settled #true\n    intake \"40/s\"\n    zone nave-norte\n    zone nave-sur\n"+
		"    class order-lookup effect=safe { aim \"1s\"; deadline \"4s\"; worth 1 }\n"+
		"    class order-submit effect=keyed group=all window=\"1500ms\" { aim \"1s\"; deadline \"2500ms\"; worth 2 }\n"+
		"    class folio-assign effect=unsafe { aim \"500ms\"; deadline \"1500ms\"; worth 2 }\n"+
		"    plan imprenta { %s }\n"+
		"    limits { attempts 5; cancel #true; peers #true; retry-after #true; max-retry-after \"500ms\"; "+
		"connect-timeout \"250ms\" }\n"+
		"    safety { answer-slack \"16ms\"; drain-grace \"1s\"; cold-from 0.19; cold-for \"14s\"; fall-multiple 4; "+
		"fall-window \"1s\" }\n"+
		"    caps { sessions 1000; session-open 1000; message \"64KiB\"; queue \"1MiB\"; write \"5s\" }\n", o.plan)
	for i := range o.gateways {
		listen, state, peer := freeAddr(), freeAddr(), freeAddr()
		bind := ""
		if o.peers != nil {
			bind = fmt.Sprintf(" peer-bind=%q", peer)
			var err error
			if peer, err = o.peers.add(peer); err != nil {
				return nil, err
			}
		}
		zone := []string{"nave-norte", "nave-sur"}[i%2]
		fmt.Fprintf(&b, "    gateway zone=%s listen=%q peer=%q%s state=%q\n", zone, listen, peer, bind, state)
		f.listens, f.states = append(f.listens, listen), append(f.states, state)
	}
	for _, m := range members {
		fmt.Fprintf(&b, "    member %s plan=imprenta first=0 spread=%d { key %q }\n", m.name, o.gateways, m.digest)
	}
	fmt.Fprintf(&b, "}\n")
	if err := os.WriteFile(f.config, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	if out, err := f.command("bin/winghatch check " + f.config); err != nil {
		return nil, fmt.Errorf("settings: %v: %s", err, out)
	}
	for i, addr := range servers {
		flags := ""
		if o.flags != nil {
			flags = o.flags(i)
		}
		_, err := r.startProc(fmt.Sprintf("server%d", i), fmt.Sprintf(
			"exec bin/standin backend --listen %s --config %s --work 4ms --cores 16%s", addr, f.config, flags))
		if err != nil {
			return nil, err
		}
	}
	if _, err := r.startProc("list", fmt.Sprintf("exec bin/standin discovery --listen %s %s < /dev/null",
		listAddr, strings.Join(servers, " "))); err != nil {
		return nil, err
	}
	if o.export {
		if _, err := r.startProc("usage", fmt.Sprintf("exec bin/standin usage --listen %s --file %s",
			usageAddr, f.usage)); err != nil {
			return nil, err
		}
	}
	needed := append(servers, listAddr)
	if o.export {
		needed = append(needed, usageAddr)
	}
	for _, addr := range needed {
		if err := waitFor(addr+" up", 10*time.Second, func() bool { return reachable(addr) }); err != nil {
			return nil, err
		}
	}
	f.procs = make([]*proc, o.gateways)
	for i := range o.gateways {
		if err := f.startGateway(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func reachable(addr string) bool {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err == nil {
		nc.Close()
	}
	return err == nil
}

// startGateway starts one gateway and waits until it can be asked for its state.
func (f *fleet) startGateway(rank int) (err error) {
	f.procs[rank], err = f.r.startProc(fmt.Sprintf("gateway%d", rank),
		fmt.Sprintf("exec bin/winghatch gateway --config %s --rank %d", f.config, rank))
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	return waitFor(fmt.Sprintf("gateway %d up", rank), 20*time.Second, func() bool {
		resp, err := client.Get("http://" + f.states[rank] + "/state")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil && reachable(f.listens[rank])
	})
}

// command runs an operator's command to its end and returns its output.
func (f *fleet) command(command string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := exec.CommandContext(ctx, "/bin/sh", "-c", "exec "+command)
	c.Dir = f.r.root
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.CombinedOutput()
	f.r.logf("%s: %s", command, strings.TrimSpace(string(out)))
	return string(out), err
}
