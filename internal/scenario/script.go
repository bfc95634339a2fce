// Package day plays days against real processes: gateways as processes of their own, nodes, list and clients
// on sockets of this one, and troubles by a script; and has the records judged.
package scenario

import (
	"fmt"
	"math"
	"slices"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/config/decode"
	"winghatch/internal/config/kdl"
)

// Script is a day.
type Script struct {
	Name           string
	Length         time.Duration
	Seed           int
	Fleet          *config.Fleet // without addresses, keys and secret
	Servers        []ServerGroup
	DiscoveryDelay time.Duration
	Load           Load
	Faults         []Fault
}

// Nodes are some alike.
type ServerGroup struct {
	Count, Cores, Queue int
	Cell                int
	Speed               float64
	Zone                string
	Work                map[string]time.Duration // by class
}

// Load is what clients ask.
type Load struct {
	Rate       float64
	Retries    int
	RetryDelay time.Duration
	Classes    []ClassLoad
}

// ClassLoad is a class's part in it.
type ClassLoad struct {
	Class    string
	Share    float64
	MaxUnits int
}

// Trouble is something that goes wrong for a while.
type Fault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Count    int     // of nodes, gateways or members, as the kind has it
	Size     float64 // times, or a share
	Class    string
	Pos      kdl.Pos
}

// Parse reads a day's file; file is only named in errors.
func Parse(file string, src []byte) (*Script, error) {
	nodes, err := decode.Parse(file, src)
	if err != nil {
		return nil, err
	}
	d := &decode.Decoder{File: file}
	s := &Script{Length: 10 * time.Second, Seed: 1}
	if len(nodes) != 1 || nodes[0].Name != "day" {
		return nil, decode.Errors{{File: file, Pos: kdl.Pos{Line: 1, Column: 1}, Field: "day", Text: "want one node named \"day\""}}
	}
	s.read(d, nodes[0])
	return s, d.Err()
}

func (s *Script) read(d *decode.Decoder, n *kdl.Node) {
	s.Name = d.Named("day", n, map[string]bool{})
	var fleet, load *kdl.Node
	like := ""
	var nodes, troubles []*kdl.Node
	later := func(to *[]*kdl.Node) func(string, *kdl.Node) {
		return func(_ string, n *kdl.Node) { *to = append(*to, n) }
	}
	d.Block("", n, decode.Fields{
		"length": decode.Duration(&s.Length, 100*time.Millisecond), "seed": decode.Int(&s.Seed, 0, math.MaxInt32),
		"list-lag": decode.Duration(&s.DiscoveryDelay, 0), "like": decode.String(&like),
	}, decode.Blocks{
		"fleet": func(_ string, n *kdl.Node) { fleet = n }, "load": func(_ string, n *kdl.Node) { load = n },
		"nodes": later(&nodes), "trouble": later(&troubles),
	})
	classes := map[string]bool{}
	switch {
	case like != "":
		s.inherit(d, n, like, fleet != nil || load != nil || len(nodes) > 0, classes)
	case fleet == nil || load == nil || len(nodes) == 0:
		d.Fail(n.Pos, "day", "want a fleet, nodes and a load, or another day in \"like\"")
	default:
		s.Fleet = config.Draft(d, fleet)
		for _, k := range s.Fleet.Decide.Classes {
			classes[k.Name] = true
		}
		for i, n := range nodes {
			s.Servers = append(s.Servers, readServerGroup(d, fmt.Sprintf("nodes[%d]", i), n, classes))
		}
		s.Load = readLoad(d, load, classes)
		if len(s.Fleet.Members) == 0 {
			d.Fail(fleet.Pos, "fleet.member", "missing, want one or more")
		}
	}
	for _, n := range troubles {
		s.Faults = append(s.Faults, readFault(d, n, classes))
	}
}

// like takes fleet, nodes and load from a built-in day.
func (s *Script) inherit(d *decode.Decoder, n *kdl.Node, name string, own bool, classes map[string]bool) {
	src, err := builtin.ReadFile("files/" + name + ".kdl")
	if err != nil || name == s.Name {
		d.Fail(n.Pos, "like", "%q, want another of the built-in days", name)
		return
	}
	if own {
		d.Fail(n.Pos, "like", "%q, yet the day has a fleet, nodes or load of its own", name)
		return
	}
	base, err := Parse(name, src)
	if err != nil {
		d.Fail(n.Pos, "like", "%q: %v", name, err)
		return
	}
	s.Fleet, s.Servers, s.Load = base.Fleet, base.Servers, base.Load
	if s.DiscoveryDelay == 0 {
		s.DiscoveryDelay = base.DiscoveryDelay
	}
	for _, k := range s.Fleet.Decide.Classes {
		classes[k.Name] = true
	}
}

func count(d *decode.Decoder, at string, n *kdl.Node, to *int) {
	if len(n.Args) != 1 || n.Args[0].Kind != kdl.Number || n.Args[0].Num < 1 || n.Args[0].Num != math.Trunc(n.Args[0].Num) {
		d.Fail(n.Pos, at, "want how many there are, 1 or more")
		return
	}
	*to = int(n.Args[0].Num)
}

func className(to *string, classes map[string]bool) func(decode.Setting) {
	return func(s decode.Setting) {
		if *to = s.Value.Text; !classes[*to] {
			s.Reject("a class of the fleet")
		}
	}
}

func readServerGroup(d *decode.Decoder, at string, n *kdl.Node, classes map[string]bool) ServerGroup {
	x := ServerGroup{Cores: 2, Queue: 64, Speed: 1, Work: map[string]time.Duration{}}
	count(d, at, n, &x.Count)
	d.Block(at, n, decode.Fields{"cores": decode.Int(&x.Cores, 1, 1024), "queue": decode.Int(&x.Queue, 0, 1<<20),
		"speed": decode.Number(&x.Speed, 0.01, 100), "zone": decode.String(&x.Zone), "cell": decode.Int(&x.Cell, 0, 1<<20)},
		decode.Blocks{"work": func(at string, n *kdl.Node) {
			if len(n.Args) != 2 || !classes[n.Args[0].Text] {
				d.Fail(n.Pos, at, "want a class of the fleet and a duration")
				return
			}
			var v time.Duration
			decode.Duration(&v, time.Microsecond)(decode.NewSetting(d, at, n.Args[1]))
			x.Work[n.Args[0].Text] = v
		}})
	for c := range classes {
		if x.Work[c] == 0 {
			d.Fail(n.Pos, at+".work", "missing for class %q", c)
		}
	}
	return x
}

func readLoad(d *decode.Decoder, n *kdl.Node, classes map[string]bool) Load {
	l := Load{RetryDelay: 50 * time.Millisecond}
	sum := 0.0
	d.Block("load", n, decode.Fields{"rate": decode.Rate(&l.Rate), "retries": decode.Int(&l.Retries, 0, 10),
		"wait": decode.Duration(&l.RetryDelay, 0)}, decode.Blocks{"class": func(at string, n *kdl.Node) {
		c := ClassLoad{MaxUnits: 1}
		if len(n.Args) != 1 || !classes[n.Args[0].Text] {
			d.Fail(n.Pos, at, "want a class of the fleet")
			return
		}
		c.Class = n.Args[0].Text
		d.Block(at, n, decode.Fields{"share": decode.Number(&c.Share, 0, 1), "units": decode.Int(&c.MaxUnits, 1, 1000)}, nil, "share")
		sum += c.Share
		l.Classes = append(l.Classes, c)
	}}, "rate")
	if math.Abs(sum-1) > 1e-6 {
		d.Fail(n.Pos, "load.class.share", "%v in all, want 1", sum)
	}
	return l
}

func readFault(d *decode.Decoder, n *kdl.Node, classes map[string]bool) Fault {
	t := Fault{Pos: n.Pos, Count: 1, Size: 1}
	if len(n.Args) != 1 || FaultKinds[n.Args[0].Text] == "" {
		d.Fail(n.Pos, "trouble", "%v, want one of %v", n.Args, decode.SortedKeys(FaultKinds))
		return t
	}
	t.Kind = n.Args[0].Text
	at := "trouble " + t.Kind
	d.Block(at, n, decode.Fields{"at": decode.Duration(&t.At, 0), "for": decode.Duration(&t.Duration, 0),
		"count": decode.Int(&t.Count, 1, 10000), "size": decode.Number(&t.Size, 0, 10000),
		"class": className(&t.Class, classes)}, nil, "at")
	if slices.Contains([]string{"class_fail", "heavy_tail"}, t.Kind) && t.Class == "" {
		d.Fail(n.Pos, at+".class", "missing")
	}
	return t
}
