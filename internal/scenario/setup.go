package scenario

import (
	"os"
	"path/filepath"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/credentials"
	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/testbed/client"
	"winghatch/internal/testbed/discovery"
)

func (p *runner) setUp() error {
	f := *p.script.Fleet
	p.fleet = &f
	f.Secret = credentials.NewSecret()
	f.Gateways = append([]config.Gateway(nil), f.Gateways...)
	f.Members = append([]config.Member(nil), f.Members...)
	var err error
	if p.discoveryAddr, err = p.ports.Addr(); err != nil {
		return err
	}
	if p.discovery, err = discovery.Start(p.discoveryAddr, p.script.DiscoveryDelay, p.log); err != nil {
		return err
	}
	f.EndpointList = p.discoveryAddr
	f.EndpointListPattern = filepath.Join(p.options.Dir, "list-%d.json")
	if err := p.startReceivers(); err != nil {
		return err
	}
	var addrs []string
	for i := range f.Gateways {
		g := &f.Gateways[i]
		if g.Listen, err = p.ports.Addr(); err != nil {
			return err
		}
		if g.StateAddress, err = p.ports.Addr(); err != nil {
			return err
		}
		if f.Decide.Limits.Gossip {
			if g.GossipBind, err = p.ports.Addr(); err != nil {
				return err
			}
			r, err := newRelay(g.GossipBind, uint64(p.options.Seed)+uint64(i))
			if err != nil {
				return err
			}
			p.relays = append(p.relays, r)
			g.GossipAddress = r.addr()
		}
		addrs = append(addrs, g.Listen)
	}
	var members []client.Member
	for i := range f.Members {
		m := &f.Members[i]
		key := credentials.NewMemberKey()
		m.Keys = []credentials.Digest{f.Secret.MemberKeyHasher().Sum([]byte(key))}
		members = append(members, client.Member{Name: m.Name, Key: key, FirstGateway: m.First, GatewayCount: m.Spread})
	}
	p.configFile = filepath.Join(p.options.Dir, "fleet.kdl")
	if err := os.WriteFile(p.configFile, config.Format(&f), 0o600); err != nil {
		return err
	}
	if _, err := config.Load(p.configFile); err != nil {
		return err
	}
	if err := p.startServers(); err != nil {
		return err
	}
	for rank := range f.Gateways {
		g := &gatewayProcess{rank: rank}
		p.gateways = append(p.gateways, g)
		if err := p.startGateway(g); err != nil {
			return err
		}
	}
	for _, g := range p.gateways {
		if err := p.awaitGateway(g); err != nil {
			return err
		}
	}
	p.client = client.New(client.Options{Gateways: addrs, Members: members, Classes: p.classes(), Rate: p.script.Load.Rate,
		Retries: p.script.Load.Retries, RetryDelay: p.script.Load.RetryDelay, Seed: uint64(p.options.Seed), Log: p.log})
	return nil
}

func (p *runner) classes() (out []client.Class) {
	for _, c := range p.script.Load.Classes {
		for _, k := range p.fleet.Decide.Classes {
			if k.Name == c.Class {
				out = append(out, client.Class{Name: k.Name, Share: c.Share, Idempotency: k.Idempotency, DedupScope: k.DedupScope, DedupWindow: k.DedupWindow,
					LatencyObjective: k.LatencyObjective, Deadline: k.Deadline, MaxUnits: c.MaxUnits})
			}
		}
	}
	return out
}

func (p *runner) startServers() error {
	if d := p.fleet.Decide.UsageReportPeriod; d > 0 {
		rates := map[string]float64{}
		for _, m := range p.fleet.Members {
			for _, plan := range p.fleet.Decide.Plans {
				if plan.Name == m.Plan {
					rates[m.Name] = plan.Rate
				}
			}
		}
		p.usageMeter = backend.NewUsageMeter(d, rates)
	}
	var all []discoveryws.Endpoint
	for _, n := range p.script.Servers {
		for range n.Count {
			sl, err := p.newServerSlot(n)
			if err != nil {
				return err
			}
			if sl.server, err = backend.Start(sl.options); err != nil {
				return err
			}
			p.servers = append(p.servers, sl)
			all = append(all, endpointOf(sl.options, "serving", time.Time{}))
		}
	}
	p.discovery.Update(all...)
	for p.discovery.Version() == 0 {
		time.Sleep(time.Millisecond)
	}
	return nil
}
