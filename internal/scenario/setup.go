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

// discoveryPollInterval is the interval at which startServers checks whether the discovery server has
// published the first endpoints.
const discoveryPollInterval = time.Millisecond

// setUp starts the discovery server, the receivers, the servers and the gateways, and creates the client. If
// it fails, tearDown and stopReceivers stop whatever was started.
func (r *runner) setUp() error {
	r.copyFleet()
	if err := r.startDiscovery(); err != nil {
		return err
	}
	if err := r.startReceivers(); err != nil {
		return err
	}
	addrs, err := r.assignGatewayAddresses()
	if err != nil {
		return err
	}
	members := r.assignMemberKeys()
	if err := r.writeConfig(); err != nil {
		return err
	}
	if err := r.startServers(); err != nil {
		return err
	}
	if err := r.startAllGateways(); err != nil {
		return err
	}
	r.client = client.New(client.Options{
		Gateways:   addrs,
		Members:    members,
		Classes:    r.clientClasses(),
		Rate:       r.script.Load.Rate,
		Retries:    r.script.Load.Retries,
		RetryDelay: r.script.Load.RetryDelay,
		Seed:       uint64(r.options.Seed),
		Log:        r.log,
	})
	return nil
}

// copyFleet copies the parts of the script's fleet that a run changes, so that the script can be run again.
func (r *runner) copyFleet() {
	f := *r.script.Fleet
	f.Secret = credentials.NewSecret()
	f.Gateways = append([]config.Gateway(nil), f.Gateways...)
	f.Members = append([]config.Member(nil), f.Members...)
	r.fleet = &f
}

func (r *runner) startDiscovery() (err error) {
	if r.discoveryAddr, err = r.ports.Addr(); err != nil {
		return err
	}
	if r.discovery, err = discovery.Start(r.discoveryAddr, r.script.DiscoveryDelay, r.log); err != nil {
		return err
	}
	r.fleet.EndpointList = r.discoveryAddr
	r.fleet.EndpointListPattern = filepath.Join(r.options.Dir, "list-%d.json")
	return nil
}

// assignGatewayAddresses assigns addresses to each gateway and returns those for clients, indexed by rank.
// Gossip passes through a relay that can drop datagrams.
func (r *runner) assignGatewayAddresses() (addrs []string, err error) {
	for i := range r.fleet.Gateways {
		g := &r.fleet.Gateways[i]
		if g.Listen, err = r.ports.Addr(); err != nil {
			return nil, err
		}
		if g.StateAddress, err = r.ports.Addr(); err != nil {
			return nil, err
		}
		addrs = append(addrs, g.Listen)
		if !r.fleet.Decide.Limits.Gossip {
			continue
		}
		if g.GossipBind, err = r.ports.Addr(); err != nil {
			return nil, err
		}
		relay, err := newLossyRelay(g.GossipBind, uint64(r.options.Seed)+uint64(i))
		if err != nil {
			return nil, err
		}
		r.relays = append(r.relays, relay)
		g.GossipAddress = relay.addr()
	}
	return addrs, nil
}

// assignMemberKeys creates a key for each member. The configuration of the fleet gets the digest of the key,
// the returned client members get the key itself.
func (r *runner) assignMemberKeys() (members []client.Member) {
	for i := range r.fleet.Members {
		m := &r.fleet.Members[i]
		key := credentials.NewMemberKey()
		m.Keys = []credentials.Digest{r.fleet.Secret.MemberKeyHasher().Sum([]byte(key))}
		members = append(members, client.Member{
			Name:         m.Name,
			Key:          key,
			FirstGateway: m.First,
			GatewayCount: m.Spread,
		})
	}
	return members
}

// writeConfig writes the configuration of the fleet. It also loads it as a gateway does, to report errors
// early.
func (r *runner) writeConfig() error {
	r.configFile = filepath.Join(r.options.Dir, fleetFile)
	if err := os.WriteFile(r.configFile, config.Format(r.fleet), 0o600); err != nil {
		return err
	}
	_, err := config.Load(r.configFile)
	return err
}

// startServers starts the servers of all groups and waits until the discovery server has published them.
func (r *runner) startServers() error {
	if period := r.fleet.Decide.UsageReportPeriod; period > 0 {
		r.usageMeter = backend.NewUsageMeter(period, r.memberRates())
	}
	var endpoints []discoveryws.Endpoint
	for _, group := range r.script.Servers {
		for range group.Count {
			slot, err := r.newServerSlot(group)
			if err != nil {
				return err
			}
			if slot.server, err = backend.Start(slot.options); err != nil {
				return err
			}
			r.servers = append(r.servers, slot)
			endpoints = append(endpoints, slot.endpoint(endpointServing, time.Time{}))
		}
	}
	r.discovery.Update(endpoints...)
	for r.discovery.Version() == 0 {
		time.Sleep(discoveryPollInterval)
	}
	return nil
}

// memberRates returns the rate of each member's plan in units per second, by name of the member.
func (r *runner) memberRates() map[string]float64 {
	rates := map[string]float64{}
	for _, m := range r.fleet.Members {
		for _, plan := range r.fleet.Decide.Plans {
			if plan.Name == m.Plan {
				rates[m.Name] = plan.Rate
			}
		}
	}
	return rates
}

// clientClasses returns the classes of the client load, with their settings from the configuration of the
// fleet.
func (r *runner) clientClasses() (classes []client.Class) {
	for _, load := range r.script.Load.Classes {
		for _, class := range r.fleet.Decide.Classes {
			if class.Name != load.Class {
				continue
			}
			classes = append(classes, client.Class{
				Name:             class.Name,
				Share:            load.Share,
				Idempotency:      class.Idempotency,
				DedupScope:       class.DedupScope,
				DedupWindow:      class.DedupWindow,
				LatencyObjective: class.LatencyObjective,
				Deadline:         class.Deadline,
				MaxUnits:         load.MaxUnits,
			})
		}
	}
	return classes
}
