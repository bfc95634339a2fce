package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// target is an entry of discovery's list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
	rev      uint64
}

// list is discovery's list, or a list of changes.
type list struct {
	Rev     uint64   `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// discovery is the platform's agent: it answers at once with what it has, and holds a watch until something
// newer exists.
type discovery struct {
	addr    string
	mu      sync.Mutex
	rev     uint64
	targets []target
	changed chan struct{}
}

func startDiscovery(r *run, targets []target) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: ln.Addr().String(), rev: 1, targets: targets, changed: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	go server.Serve(ln)
	r.atEnd(func() { server.Close() })
	return d, nil
}

func (d *discovery) serve(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/registry/instances" {
		http.NotFound(w, q)
		return
	}
	from := q.URL.Query().Get("from")
	if from == "" {
		d.mu.Lock()
		answer := list{d.rev, true, append([]target{}, d.targets...)}
		d.mu.Unlock()
		json.NewEncoder(w).Encode(answer)
		return
	}
	since, _ := strconv.ParseUint(from, 10, 64)
	hold, _ := strconv.Atoi(q.URL.Query().Get("hold_ms"))
	over := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
	for {
		d.mu.Lock()
		answer, changed := list{Rev: d.rev, Targets: []target{}}, d.changed
		for _, t := range d.targets {
			if t.rev > since {
				answer.Targets = append(answer.Targets, t)
			}
		}
		d.mu.Unlock()
		wait := len(answer.Targets) == 0
		select {
		case <-over:
			wait = false
		default:
		}
		if !wait {
			json.NewEncoder(w).Encode(answer)
			return
		}
		select {
		case <-changed:
		case <-over:
			over = closedChan()
		case <-q.Context().Done():
			return
		}
	}
}

func closedChan() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}

// gatewayNode is one gateway of the platform.
type gatewayNode struct {
	name, listen, config string
	proc                 *proc
}

// startGateways writes the configurations of a fleet of gateways and starts them with the command "run" of the
// deploy file. It returns once all are ready.
func startGateways(r *run, d *discovery, settings map[string]any, count, memoryMB, sockets int) (
	[]*gatewayNode, error) {
	var peers, listens []string
	for range count {
		peers, listens = append(peers, freeAddr()), append(listens, freeAddr())
	}
	var nodes []*gatewayNode
	for i := range count {
		own := map[string]any{}
		for k, v := range settings {
			own[k] = v
		}
		own["Rank"], own["Instances"] = i, count
		d.mu.Lock()
		known := list{d.rev, true, append([]target{}, d.targets...)}
		d.mu.Unlock()
		config := map[string]any{
			"name": fmt.Sprintf("n%d", i), "listen": listens[i], "discovery": d.addr, "seed": "8c1f30d27a5be964",
			"limits":      map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
			"peer_listen": peers[i], "peers": peers, "known": known, "settings": own,
		}
		raw, err := json.MarshalIndent(config, "", " ")
		if err != nil {
			return nil, err
		}
		n := &gatewayNode{name: fmt.Sprintf("n%d", i), listen: listens[i],
			config: filepath.Join(r.dir, fmt.Sprintf("n%d.json", i))}
		if err := os.WriteFile(n.config, raw, 0o600); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
		if err := n.start(r); err != nil {
			return nil, err
		}
	}
	for _, n := range nodes {
		if err := waitFor(n.name+" ready", 30*time.Second, n.ready); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

func (n *gatewayNode) start(r *run) (err error) {
	command, err := r.deployCommand("run")
	if err != nil {
		return err
	}
	n.proc, err = r.startProc(n.name, command, "LB_CONFIG="+n.config, "LB_NAME="+n.name, "LB_LISTEN="+n.listen)
	return err
}

func (n *gatewayNode) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.listen + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
