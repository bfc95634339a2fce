package scenario

import (
	"fmt"
	"time"

	"winghatch/decide"
	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/testbed/backend"
)

// slot is a node's place: what runs there comes and goes.
type serverSlot struct {
	options backend.Options
	server  *backend.Server
	inUse   bool // with a trouble that takes it away
}

// newSlot makes a place for a node, with the memory of keys that its group shares.
func (p *runner) newServerSlot(n ServerGroup) (*serverSlot, error) {
	addr, err := p.ports.Addr()
	if err != nil {
		return nil, err
	}
	o := backend.Options{Address: addr, Zone: n.Zone, Cell: n.Cell, Cores: n.Cores, Speed: n.Speed, Queue: n.Queue,
		Classes: map[string]backend.Class{}, Seed: p.rng.Uint64(), Log: p.log, Meter: p.usageMeter}
	group := "all"
	for _, k := range p.fleet.Decide.Classes {
		o.Classes[k.Name] = backend.Class{MeanWork: n.Work[k.Name], Deduplicates: k.Idempotency == decide.IdempotentByKey, DedupWindow: k.DedupWindow}
		switch {
		case k.Idempotency != decide.IdempotentByKey:
		case k.DedupScope == decide.DedupInZone:
			group = "zone " + n.Zone
		case k.DedupScope == decide.DedupInCell:
			group = fmt.Sprint("cell ", n.Cell)
		}
	}
	if p.dedupStores[group] == nil {
		p.dedupStores[group] = backend.NewDedupStore()
	}
	o.Dedup = p.dedupStores[group]
	return &serverSlot{options: o}, nil
}

// cold makes options of a cold start.
func (p *runner) withSlowStart(o backend.Options) backend.Options {
	s := p.fleet.Decide.Safety
	o.InitialCapacity, o.SlowStartDuration, o.OverloadMultiple, o.OverloadWindow = s.SlowStartCapacity, s.SlowStartDuration, s.OverloadMultiple, s.OverloadWindow
	return o
}

// some takes count nodes that no other trouble has taken away.
func (p *runner) takeServers(n int) (out []*serverSlot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.rng.Perm(len(p.servers)) {
		if s := p.servers[i]; !s.inUse && len(out) < n {
			s.inUse = true
			out = append(out, s)
		}
	}
	return out
}

func (p *runner) releaseServers(ss []*serverSlot) {
	p.mu.Lock()
	for _, s := range ss {
		s.inUse = false
	}
	p.mu.Unlock()
}

// comeBack starts nodes anew, cold, at their addresses.
func (p *runner) restartServers(ss []*serverSlot) {
	var es []discoveryws.Endpoint
	for _, s := range ss {
		n, err := backend.Start(p.withSlowStart(s.options))
		if err != nil {
			p.fail(err)
			return
		}
		p.mu.Lock()
		s.server = n
		p.mu.Unlock()
		es = append(es, endpointOf(s.options, "serving", time.Now()))
	}
	p.discovery.Update(es...)
	p.releaseServers(ss)
}

func endpointOf(o backend.Options, state string, started time.Time) discoveryws.Endpoint {
	e := discoveryws.Endpoint{Address: o.Address, Zone: o.Zone, Cell: o.Cell, State: state}
	if !started.IsZero() {
		e.StartedMs = started.UnixMilli()
	}
	return e
}
