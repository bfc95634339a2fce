// What a gateway tells of itself to operators; nothing here is decided or changed.

package decide

import "time"

// View is a gateway's state, read only.
type View struct {
	Mesh      bool // everyone tells everyone; else customers have homes
	Requests  int  // open
	Pressed   float64
	Budget    float64 // further attempts that the retry budget bears
	Stood     time.Duration
	Servers   []ServerView   // by ID
	Customers []CustomerView // in the order of first sight
	Peers     []PeerView     // by rank; empty where customers have homes
	Silent    []int          // homes that are not asked for now
}

// ServerView is what a gateway holds of a server.
type ServerView struct {
	ID     string
	Zone   string
	State  State
	Out    int       // own attempts out
	Ghosts int       // ended unanswered, may still run
	Slow   float64   // times the usual time
	Missed []float64 // share left or failed, by class
	// Of some class it leaves or fails so much more than the best that it gets none of it while others may.
	Ejected bool
	Cold    time.Duration
	Budget  float64 // cold budget, in requests; where Cold is 0 it says nothing
}

// CustomerView is what a gateway holds of a customer's bucket.
type CustomerView struct {
	Key   uint64 // hash of the customer's name, as messages tell it: see CustomerKey
	Plan  string
	Rate  float64 // units a second
	Level float64 // units in this gateway's bucket ...
	Mark  float64 // ... which holds so many
	Part  float64
	Whole float64 // units in the bucket that all gateways fill, as far as told
	Store float64 // units of this gateway's slice of a ceiling
	Open  int     // attempts out
}

// PeerView is what a gateway holds of a peer.
type PeerView struct {
	Rank  int
	Known bool
	Heard time.Duration // since then
	Queue int           // customers to tell of
}

// CustomerKey is the name of a customer in messages and views.
func CustomerKey(customer string) uint64 { return shortKey(customer) }

// View tells the state as of the last event. It is for the goroutine that calls Handle.
func (g *Gateway) View() View {
	v := View{Mesh: g.mesh, Requests: len(g.requests), Budget: g.budget}
	if g.stoodAt > 0 {
		v.Stood = g.stood
	}
	if g.begun && g.all.serving > 0 { // without a server there is no cap to be pressed against
		v.Pressed = g.pressed()
	}
	least := make([]float64, len(g.cfg.Classes))
	for i, k := range g.cfg.Classes {
		least[i] = 1
		for _, s := range g.order {
			if s.State == Serving {
				least[i] = min(least[i], g.missed(s, g.classes[k.Name]))
			}
		}
	}
	for _, s := range g.order {
		sv := ServerView{ID: s.ID, Zone: s.Zone, State: s.State, Out: s.out, Ghosts: len(s.ghosts), Slow: g.slowness(s),
			Cold: max(0, s.coldUntil-g.now), Budget: s.budget}
		for _, k := range g.cfg.Classes {
			sv.Missed = append(sv.Missed, g.missed(s, g.classes[k.Name]))
		}
		for i, m := range sv.Missed {
			sv.Ejected = sv.Ejected || m > least[i]+missNear
		}
		v.Servers = append(v.Servers, sv)
	}
	for _, c := range g.queue {
		v.Customers = append(v.Customers, CustomerView{Key: c.key, Plan: c.plan.Name, Rate: c.plan.Rate, Level: c.level, Part: c.part,
			Mark: c.part * c.plan.Burst, Whole: c.whole, Store: c.store, Open: c.open})
	}
	for i, p := range g.peers {
		if i != g.cfg.Rank {
			v.Peers = append(v.Peers, PeerView{i, p.known, g.now - p.heard, len(p.queue)})
		}
	}
	for i := range g.cfg.Gateways {
		if g.silent[i] > g.now {
			v.Silent = append(v.Silent, i)
		}
	}
	return v
}

// Slice is the part of a customer's ceiling that one gateway keeps.
type Slice struct {
	Rank int
	Part float64
}

// Slices tells where a customer's ceiling is kept: even parts at all of its gateways, or at its homes.
func (g *Gateway) Slices(customer string, first, spread int) (out []Slice) {
	if spread <= 0 || spread > g.cfg.Gateways {
		spread = g.cfg.Gateways
	}
	if !g.mesh {
		for n := range homes {
			out = append(out, Slice{g.home(shortKey(customer), n), 1.0 / homes})
		}
		return out
	}
	for n := range spread {
		out = append(out, Slice{(first + n) % g.cfg.Gateways, 1 / float64(spread)})
	}
	return out
}
