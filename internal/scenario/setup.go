package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/credentials"
	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/testbed/client"
	"winghatch/internal/testbed/discovery"
)

// serverSlot is the place of a server: its address stays while servers come and go there.
type serverSlot struct {
	options backend.Options
	server  *backend.Server
	inUse   bool // by a fault that takes the server away
}

// setUp starts everything, the gateways last, and makes the client.
func (r *runner) setUp() error {
	fleet := *r.script.Fleet
	fleet.Secret = credentials.NewSecret()
	fleet.Gateways = append([]config.Gateway(nil), fleet.Gateways...)
	fleet.Members = append([]config.Member(nil), fleet.Members...)
	r.fleet = &fleet
	if err := r.startDiscovery(); err != nil {
		return err
	}
	if err := r.startReceivers(); err != nil {
		return err
	}
	if err := r.assignAddresses(); err != nil {
		return err
	}
	members := r.assignKeys()
	if err := r.writeSettings(); err != nil {
		return err
	}
	if err := r.startServers(); err != nil {
		return err
	}
	if err := r.startFleet(); err != nil {
		return err
	}
	r.client = client.New(r.clientOptions(members))
	return nil
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

// assignAddresses gives each gateway its addresses. Gossip goes through a relay, so that a fault can lose it.
func (r *runner) assignAddresses() (err error) {
	for i := range r.fleet.Gateways {
		g := &r.fleet.Gateways[i]
		if g.Listen, err = r.ports.Addr(); err != nil {
			return err
		}
		if g.StateAddress, err = r.ports.Addr(); err != nil {
			return err
		}
		if !r.fleet.Decide.Limits.Gossip {
			continue
		}
		if g.GossipBind, err = r.ports.Addr(); err != nil {
			return err
		}
		relay, err := newRelay(g.GossipBind, uint64(r.options.Seed)+uint64(i))
		if err != nil {
			return err
		}
		r.relays = append(r.relays, relay)
		g.GossipAddress = relay.addr()
	}
	return nil
}

// assignKeys gives each member a key.
func (r *runner) assignKeys() (members []client.Member) {
	for i := range r.fleet.Members {
		m := &r.fleet.Members[i]
		key := credentials.NewMemberKey()
		m.Keys = []credentials.Digest{r.fleet.Secret.MemberKeyHasher().Sum([]byte(key))}
		members = append(members, client.Member{Name: m.Name, Key: key, FirstGateway: m.First, GatewayCount: m.Spread})
	}
	return members
}

// writeSettings writes the settings file of the gateways, and loads it as they do.
func (r *runner) writeSettings() error {
	r.configFile = filepath.Join(r.options.Dir, settingsFile)
	if err := os.WriteFile(r.configFile, config.Format(r.fleet), 0o600); err != nil {
		return err
	}
	_, err := config.Load(r.configFile)
	return err
}

func (r *runner) clientOptions(members []client.Member) client.Options {
	o := client.Options{
		Members:    members,
		Classes:    r.classes(),
		Rate:       r.script.Load.Rate,
		Retries:    r.script.Load.Retries,
		RetryDelay: r.script.Load.RetryDelay,
		Seed:       uint64(r.options.Seed),
		Log:        r.log,
	}
	for _, g := range r.fleet.Gateways {
		o.Gateways = append(o.Gateways, g.Listen)
	}
	return o
}

func (r *runner) classes() (out []client.Class) {
	for _, load := range r.script.Load.Classes {
		for _, k := range r.fleet.Decide.Classes {
			if k.Name != load.Class {
				continue
			}
			out = append(out, client.Class{
				Name:             k.Name,
				Share:            load.Share,
				Idempotency:      k.Idempotency,
				DedupScope:       k.DedupScope,
				DedupWindow:      k.DedupWindow,
				LatencyObjective: k.LatencyObjective,
				Deadline:         k.Deadline,
				MaxUnits:         load.MaxUnits,
			})
		}
	}
	return out
}

// startServers starts the script's servers and waits until the discovery service lists them.
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
			endpoints = append(endpoints, endpointOf(slot.options, "serving", time.Time{}))
		}
	}
	r.discovery.Update(endpoints...)
	for r.discovery.Version() == 0 {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// memberRates returns the quota of each member in units a second.
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

// endpointOf describes a server to the discovery service. A zero start means that it started long ago.
func endpointOf(o backend.Options, state string, started time.Time) discoveryws.Endpoint {
	e := discoveryws.Endpoint{Address: o.Address, Zone: o.Zone, Cell: o.Cell, State: state}
	if !started.IsZero() {
		e.StartedMs = started.UnixMilli()
	}
	return e
}

// newServerSlot returns a slot with a new address.
func (r *runner) newServerSlot(g ServerGroup) (*serverSlot, error) {
	addr, err := r.ports.Addr()
	if err != nil {
		return nil, err
	}
	o := backend.Options{
		Address: addr,
		Zone:    g.Zone,
		Cell:    g.Cell,
		Cores:   g.Cores,
		Speed:   g.Speed,
		Queue:   g.Queue,
		Classes: map[string]backend.Class{},
		Seed:    r.drawSeed(),
		Log:     r.log,
		Meter:   r.usageMeter,
		Dedup:   r.dedupStore(g),
	}
	for _, k := range r.fleet.Decide.Classes {
		o.Classes[k.Name] = backend.Class{
			MeanWork:     g.Work[k.Name],
			Deduplicates: k.Idempotency == decide.IdempotentByKey,
			DedupWindow:  k.DedupWindow,
		}
	}
	return &serverSlot{options: o}, nil
}

func (r *runner) drawSeed() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Uint64()
}

// dedupStore returns the store that all servers of a deduplication scope share.
func (r *runner) dedupStore(g ServerGroup) *backend.DedupStore {
	r.mu.Lock()
	defer r.mu.Unlock()
	scope := "all"
	for _, k := range r.fleet.Decide.Classes {
		switch {
		case k.Idempotency != decide.IdempotentByKey:
		case k.DedupScope == decide.DedupInZone:
			scope = "zone " + g.Zone
		case k.DedupScope == decide.DedupInCell:
			scope = fmt.Sprint("cell ", g.Cell)
		}
	}
	if r.dedupStores[scope] == nil {
		r.dedupStores[scope] = backend.NewDedupStore()
	}
	return r.dedupStores[scope]
}

// withSlowStart adds the fleet's slow start to the options of a server.
func (r *runner) withSlowStart(o backend.Options) backend.Options {
	safety := r.fleet.Decide.Safety
	o.InitialCapacity = safety.SlowStartCapacity
	o.SlowStartDuration = safety.SlowStartDuration
	o.OverloadMultiple = safety.OverloadMultiple
	o.OverloadWindow = safety.OverloadWindow
	return o
}
