package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Figures of the deployment, as a gateway's settings tell them: three classes, one of each effect.
const (
	lookupClass = "order-lookup" // safe to repeat, GET
	submitClass = "order-submit" // keyed, POST
	folioClass  = "folio-assign" // must never run twice, POST without a key

	lookupDeadline = 4 * time.Second
	submitDeadline = 2500 * time.Millisecond
	folioDeadline  = 1500 * time.Millisecond
)

type object = map[string]any

// settings returns the settings object of the gateway with the given number.
func settings(rank, gateways int) object {
	class := func(name, effect string, aim, deadline, window time.Duration, worth float64) object {
		return object{"Name": name, "Effect": effect, "Group": "all", "AimNs": aim.Nanoseconds(),
			"GiveUpNs": deadline.Nanoseconds(), "WindowNs": window.Nanoseconds(), "Importance": worth,
			"LateWorth": 0.0, "Stream": false}
	}
	plan := func(name string, rate, burst, pays float64) object {
		return object{"Name": name, "Refill": rate, "MostAtOnce": burst, "Pays": pays, "BeyondEarns": 0.0,
			"ExcessCost": 0.5, "HardSlack": 0.0, "NeverOverDepth": 0.0, "NeverOverRate": 0.0, "Parallel": 0}
	}
	return object{
		"Rank": rank, "Instances": gateways, "Zone": "nave-norte",
		"Zones": []string{"nave-norte", "nave-sur"}, "Kinds": []string{"std-2c", "slow-2c"},
		"Family": "gate", "Tier": 0, "Tiers": []string{"pedidos"}, "TickNs": 4000000,
		"MembershipMode": "automatic", "WeightSource": "none",
		"Classes": []object{
			class(lookupClass, "safe", time.Second, lookupDeadline, 5*time.Second, 1),
			class(submitClass, "keyed", time.Second, submitDeadline, 1500*time.Millisecond, 2),
			class(folioClass, "unsafe", 500*time.Millisecond, folioDeadline, 0, 2),
		},
		"TiersOfService": []object{plan("semilla", 1.6, 7, 0.72), plan("taller", 5.5, 23, 1.2),
			plan("imprenta", 28, 84, 1.8)},
		"ClientHabits": object{"MarksRetry": true},
		"Extra": object{"CostAfter": false, "CountWaitNs": 0, "CounterPrice": 0.0, "HasCounter": false,
			"MeterNs": int64(time.Second), "PeerIntake": 40.0, "UnitsTop": 8},
		"Goal": object{"Whole": 0.5, "WorstClass": 0.1, "WorstTenant": 0.15, "WorstWindow": 0.25},
		"Limits": object{"ConnIdleNs": int64(30 * time.Second), "ConnectTimeoutNs": int64(250 * time.Millisecond),
			"CpuUsPerRequest": 0.0, "CpuUsPerS": 600000, "MaxRetryAfterNs": int64(500 * time.Millisecond),
			"MayCancel": true, "OpenCap": 30000, "ParallelTries": false, "Peers": true, "Probes": true,
			"RetryAfter": true, "SendCap": 5, "StreamsPerConn": 32},
		"Prices": object{"Connection": 0.0, "CrossZone": 0.01, "Handshake": 0.0, "LateFail": 0.03,
			"MembershipMode": 0.0, "Moves": 0.0, "Origin": 0.0, "Peer": 0.03, "Probe": 0.01, "Waste": 0.05},
		"Safety": object{"AnswerSlackNs": 16000000, "AskWithinNs": int64(10 * time.Second), "ColdFrom": 0.19,
			"ColdNs": int64(14 * time.Second), "DrainGraceNs": int64(time.Second), "FallMultiple": 4.0,
			"FallNs": int64(time.Second)},
		"Telemetry": object{"Fields": []string{"backlog", "throughput", "recent_ms"}, "How": "answers"},
	}
}

// discovery tells a list of servers that does not change.
type discovery struct{ list object }

func (d *discovery) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(rw, r)
		return
	}
	list := d.list
	if q := r.URL.Query(); q.Get("from") != "" {
		hold, _ := strconv.Atoi(q.Get("hold_ms"))
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(hold, 60000)) * time.Millisecond):
		}
		if q.Get("from") == fmt.Sprint(list["rev"]) {
			list = object{"rev": list["rev"], "all": false, "targets": []object{}}
		}
	}
	json.NewEncoder(rw).Encode(list)
}

// gateway is one gateway of the deployment, a process started with the run command of the deploy file.
type gateway struct {
	addr   string
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended
	log    string
}

// shape is the size of a deployment.
type shape struct {
	gateways, servers int
	memoryMB, sockets int // limits of each gateway
}

// deployment is a small one: its gateways, servers, discovery and the platform that starts the gateways.
type deployment struct {
	root    string // of the repository
	dir     string // temporary folder
	rec     *record
	shape   shape
	servers []*server
	known   object // the list of servers

	mu       sync.Mutex
	gateways []*gateway
	closed   bool // no gateway is started any more
}

// runCommand returns the run command of the deploy file.
func runCommand(root string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(raw)
	if found == nil {
		return "", errors.New("deploy/balancer.toml has no line run")
	}
	return string(found[1]), nil
}

// freeAddr returns a free loopback address of the network, "tcp" or "udp".
func freeAddr(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// start starts the servers, discovery and gateways and waits until all gateways are ready.
func (d *deployment) start(work workFunc) (err error) {
	if d.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	var targets []object
	for i := range d.shape.servers {
		s, err := startServer(fmt.Sprintf("s-%08x", 0x5be2a000+i), d.rec, work)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, s)
		zone, model := "nave-norte", "std-2c"
		if i%2 == 1 {
			zone, model = "nave-sur", "slow-2c"
		}
		targets = append(targets, object{"uid": s.uid, "endpoint": s.addr, "az": zone, "model": model,
			"pod_group": 0, "state": "ready", "capacity_hint": 1.0, "boot_ms": 0})
	}
	d.known = object{"rev": 41, "all": true, "targets": targets}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go http.Serve(ln, &discovery{list: d.known})
	return d.startGateways(ln.Addr().String())
}

// startGateways starts the gateways and waits until each answers its health check with 200.
func (d *deployment) startGateways(discovery string) error {
	n := d.shape.gateways
	run, err := runCommand(d.root)
	if err != nil {
		return err
	}
	var peers []string
	for range n {
		addr, err := freeAddr("udp")
		if err != nil {
			return err
		}
		peers = append(peers, addr)
	}
	for i := range n {
		if err := d.startGateway(run, i, n, discovery, peers); err != nil {
			return err
		}
	}
	for i, g := range d.gateways {
		for deadline := time.Now().Add(20 * time.Second); !isReady(g.addr); time.Sleep(20 * time.Millisecond) {
			if g.hasExited() {
				return fmt.Errorf("gateway n%d ended before it was ready", i)
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway n%d is not ready after 20 s", i)
			}
		}
		d.rec.add("gateway n%d ready at %s, process %d", i, g.addr, g.cmd.Process.Pid)
	}
	return nil
}

func (d *deployment) startGateway(run string, i, n int, discovery string, peers []string) error {
	listen, err := freeAddr("tcp")
	if err != nil {
		return err
	}
	name := fmt.Sprintf("n%d", i)
	tmp := filepath.Join(d.dir, name)
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return err
	}
	config, err := json.Marshal(object{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":      object{"cores": 1.0, "memory_mb": d.shape.memoryMB, "sockets": d.shape.sockets},
		"peer_listen": peers[i], "peers": peers, "peers_all": peers[i],
		"known": d.known, "settings": settings(i, n),
	})
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return err
	}
	g := &gateway{addr: listen, exited: make(chan struct{}), log: filepath.Join(d.dir, name+".log")}
	log, err := os.Create(g.log)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command("/bin/sh", "-c", run)
	g.cmd.Dir = d.root
	g.cmd.Env = append(os.Environ(), "LB_NAME="+name, "LB_LISTEN="+listen, "LB_DISCOVERY="+discovery,
		"LB_CONFIG="+path, "TMPDIR="+tmp)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	// The gateway ends with this program, whatever ends it.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errors.New("the case has ended")
	}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	d.gateways = append(d.gateways, g)
	go func() {
		g.cmd.Wait()
		d.rec.add("gateway %s ended: %v", name, g.cmd.ProcessState)
		close(g.exited)
	}()
	return nil
}

// isReady reports whether the gateway answers its health check with 200.
func isReady(addr string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// hasExited reports whether the process of the gateway has ended.
func (g *gateway) hasExited() bool {
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}

// close kills the gateways, waits for their end and removes the temporary folder.
func (d *deployment) close() {
	d.mu.Lock()
	d.closed = true
	gateways := d.gateways
	d.mu.Unlock()
	for _, g := range gateways {
		if !g.hasExited() {
			g.cmd.Process.Kill()
		}
	}
	for _, g := range gateways {
		<-g.exited
	}
	if d.dir != "" {
		os.RemoveAll(d.dir)
	}
}
