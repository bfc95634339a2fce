package scenario

import (
	"fmt"
	"math"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/config/decode"
	"winghatch/internal/config/kdl"
)

// Defaults of a script.
const (
	defaultLength     = 10 * time.Second
	defaultSeed       = 1
	defaultCores      = 2
	defaultQueue      = 64
	defaultRetryDelay = 50 * time.Millisecond
)

// needsClass are the faults that hit one class.
var needsClass = map[string]bool{"class_fail": true, "heavy_tail": true}

// Parse reads a script. file is only named in errors. The keys of the file are older than the names of the fields: a
// scenario is a "day", a server group "nodes", a fault a "trouble".
func Parse(file string, src []byte) (*Script, error) {
	nodes, err := decode.Parse(file, src)
	if err != nil {
		return nil, err
	}
	if len(nodes) != 1 || nodes[0].Name != "day" {
		return nil, decode.Errors{{
			File:  file,
			Pos:   kdl.Pos{Line: 1, Column: 1},
			Field: "day",
			Text:  "want one node named \"day\"",
		}}
	}
	d := &decode.Decoder{File: file}
	p := &parser{
		Decoder: d,
		script:  &Script{Length: defaultLength, Seed: defaultSeed},
		classes: map[string]bool{},
	}
	p.parse(nodes[0])
	return p.script, d.Err()
}

// parser reads one script.
type parser struct {
	*decode.Decoder
	script  *Script
	classes map[string]bool // of the fleet
}

// blocks are the parts of a script that are read once the classes of the fleet are known.
type blocks struct {
	fleet, load     *kdl.Node
	servers, faults []*kdl.Node
}

func (p *parser) parse(n *kdl.Node) {
	s := p.script
	s.Name = p.Named("day", n, map[string]bool{})
	base := ""
	var b blocks
	p.Block("", n, decode.Fields{
		"length":   decode.Duration(&s.Length, 100*time.Millisecond),
		"seed":     decode.Int(&s.Seed, 0, math.MaxInt32),
		"list-lag": decode.Duration(&s.DiscoveryDelay, 0),
		"like":     decode.String(&base),
	}, decode.Blocks{
		"fleet":   func(_ string, n *kdl.Node) { b.fleet = n },
		"load":    func(_ string, n *kdl.Node) { b.load = n },
		"nodes":   func(_ string, n *kdl.Node) { b.servers = append(b.servers, n) },
		"trouble": func(_ string, n *kdl.Node) { b.faults = append(b.faults, n) },
	})
	switch {
	case base != "":
		p.inherit(n, base, b)
	case b.fleet == nil || b.load == nil || len(b.servers) == 0:
		p.Fail(n.Pos, "day", "want a fleet, nodes and a load, or another day in \"like\"")
	default:
		p.parseFleet(b)
	}
	for _, fault := range b.faults {
		s.Faults = append(s.Faults, p.parseFault(fault))
	}
}

func (p *parser) parseFleet(b blocks) {
	s := p.script
	s.Fleet = config.Draft(p.Decoder, b.fleet)
	p.addClasses()
	for i, n := range b.servers {
		s.Servers = append(s.Servers, p.parseServerGroup(fmt.Sprintf("nodes[%d]", i), n))
	}
	s.Load = p.parseLoad(b.load)
	if len(s.Fleet.Members) == 0 {
		p.Fail(b.fleet.Pos, "fleet.member", "missing, want one or more")
	}
}

func (p *parser) addClasses() {
	for _, k := range p.script.Fleet.Decide.Classes {
		p.classes[k.Name] = true
	}
}

// inherit takes fleet, servers and load of a built-in scenario.
func (p *parser) inherit(n *kdl.Node, name string, own blocks) {
	s := p.script
	src, err := readBuiltin(name)
	if err != nil || name == s.Name {
		p.Fail(n.Pos, "like", "%q, want another of the built-in days", name)
		return
	}
	if own.fleet != nil || own.load != nil || len(own.servers) > 0 {
		p.Fail(n.Pos, "like", "%q, yet the day has a fleet, nodes or load of its own", name)
		return
	}
	base, err := Parse(name, src)
	if err != nil {
		p.Fail(n.Pos, "like", "%q: %v", name, err)
		return
	}
	s.Fleet, s.Servers, s.Load = base.Fleet, base.Servers, base.Load
	if s.DiscoveryDelay == 0 {
		s.DiscoveryDelay = base.DiscoveryDelay
	}
	p.addClasses()
}

func (p *parser) parseServerGroup(at string, n *kdl.Node) ServerGroup {
	g := ServerGroup{Cores: defaultCores, Queue: defaultQueue, Speed: 1, Work: map[string]time.Duration{}}
	g.Count = p.parseCount(at, n)
	p.Block(at, n, decode.Fields{
		"cores": decode.Int(&g.Cores, 1, 1024),
		"queue": decode.Int(&g.Queue, 0, 1<<20),
		"speed": decode.Number(&g.Speed, 0.01, 100),
		"zone":  decode.String(&g.Zone),
		"cell":  decode.Int(&g.Cell, 0, 1<<20),
	}, decode.Blocks{
		"work": func(at string, n *kdl.Node) { p.parseWork(at, n, g.Work) },
	})
	for class := range p.classes {
		if g.Work[class] == 0 {
			p.Fail(n.Pos, at+".work", "missing for class %q", class)
		}
	}
	return g
}

// parseCount reads the one argument of a server group, its size.
func (p *parser) parseCount(at string, n *kdl.Node) int {
	valid := len(n.Args) == 1 && n.Args[0].Kind == kdl.Number
	if !valid || n.Args[0].Num < 1 || n.Args[0].Num != math.Trunc(n.Args[0].Num) {
		p.Fail(n.Pos, at, "want how many there are, 1 or more")
		return 0
	}
	return int(n.Args[0].Num)
}

func (p *parser) parseWork(at string, n *kdl.Node, work map[string]time.Duration) {
	if len(n.Args) != 2 || !p.classes[n.Args[0].Text] {
		p.Fail(n.Pos, at, "want a class of the fleet and a duration")
		return
	}
	var mean time.Duration
	decode.Duration(&mean, time.Microsecond)(decode.NewSetting(p.Decoder, at, n.Args[1]))
	work[n.Args[0].Text] = mean
}

func (p *parser) parseLoad(n *kdl.Node) Load {
	load := Load{RetryDelay: defaultRetryDelay}
	p.Block("load", n, decode.Fields{
		"rate":    decode.Rate(&load.Rate),
		"retries": decode.Int(&load.Retries, 0, 10),
		"wait":    decode.Duration(&load.RetryDelay, 0),
	}, decode.Blocks{
		"class": func(at string, n *kdl.Node) { p.parseClassLoad(at, n, &load) },
	}, "rate")
	sum := 0.0
	for _, c := range load.Classes {
		sum += c.Share
	}
	if math.Abs(sum-1) > 1e-6 {
		p.Fail(n.Pos, "load.class.share", "%v in all, want 1", sum)
	}
	return load
}

func (p *parser) parseClassLoad(at string, n *kdl.Node, load *Load) {
	if len(n.Args) != 1 || !p.classes[n.Args[0].Text] {
		p.Fail(n.Pos, at, "want a class of the fleet")
		return
	}
	c := ClassLoad{Class: n.Args[0].Text, MaxUnits: 1}
	p.Block(at, n, decode.Fields{
		"share": decode.Number(&c.Share, 0, 1),
		"units": decode.Int(&c.MaxUnits, 1, 1000),
	}, nil, "share")
	load.Classes = append(load.Classes, c)
}

func (p *parser) parseFault(n *kdl.Node) Fault {
	f := Fault{Pos: n.Pos, Count: 1, Size: 1}
	if len(n.Args) != 1 || FaultKinds[n.Args[0].Text] == "" {
		p.Fail(n.Pos, "trouble", "%v, want one of %v", n.Args, decode.SortedKeys(FaultKinds))
		return f
	}
	f.Kind = n.Args[0].Text
	at := "trouble " + f.Kind
	p.Block(at, n, decode.Fields{
		"at":    decode.Duration(&f.At, 0),
		"for":   decode.Duration(&f.Duration, 0),
		"count": decode.Int(&f.Count, 1, 10000),
		"size":  decode.Number(&f.Size, 0, 10000),
		"class": p.className(&f.Class),
	}, nil, "at")
	if needsClass[f.Kind] && f.Class == "" {
		p.Fail(n.Pos, at+".class", "missing")
	}
	return f
}

func (p *parser) className(to *string) func(decode.Setting) {
	return func(s decode.Setting) {
		*to = s.Value.Text
		if !p.classes[*to] {
			s.Reject("a class of the fleet")
		}
	}
}
