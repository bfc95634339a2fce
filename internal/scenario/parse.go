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

// Defaults of the settings of a script.
const (
	defaultLength     = 10 * time.Second
	defaultSeed       = 1
	defaultCores      = 2
	defaultQueue      = 64
	defaultRetryDelay = 50 * time.Millisecond
)

// minLength is the minimum length of a run.
const minLength = 100 * time.Millisecond

// kindsRequiringClass holds the kinds of faults that affect one class, which the script must name.
var kindsRequiringClass = []string{"class_fail", "heavy_tail"}

// Parse parses a script. file is the name that errors contain; no file is read. An error is of type
// decode.Errors.
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
	p := &parser{
		decoder: &decode.Decoder{File: file},
		script:  &Script{Length: defaultLength, Seed: defaultSeed},
		classes: map[string]bool{},
	}
	p.parse(nodes[0])
	return p.script, p.decoder.Err()
}

// parser parses a script from its node "day". The names of the settings must not change, because existing
// scripts use them.
type parser struct {
	decoder *decode.Decoder
	script  *Script
	classes map[string]bool // names of the classes of the fleet

	baseName            string // built-in scenario that fleet, servers and load come from; "" if none
	fleetNode, loadNode *kdl.Node
	serverNodes         []*kdl.Node // nodes of the server groups
	faultNodes          []*kdl.Node
}

func (p *parser) parse(n *kdl.Node) {
	s := p.script
	s.Name = p.decoder.BlockName("day", n, map[string]bool{})
	p.decoder.Block("", n, decode.Fields{
		"length":   decode.Duration(&s.Length, minLength),
		"seed":     decode.Int(&s.Seed, 0, math.MaxInt32),
		"list-lag": decode.Duration(&s.DiscoveryDelay, 0),
		"like":     decode.String(&p.baseName),
	}, decode.Blocks{
		"fleet":   func(_ string, n *kdl.Node) { p.fleetNode = n },
		"load":    func(_ string, n *kdl.Node) { p.loadNode = n },
		"nodes":   func(_ string, n *kdl.Node) { p.serverNodes = append(p.serverNodes, n) },
		"trouble": func(_ string, n *kdl.Node) { p.faultNodes = append(p.faultNodes, n) },
	})
	switch {
	case p.baseName != "":
		p.inheritFromBuiltin(n)
	case p.fleetNode == nil || p.loadNode == nil || len(p.serverNodes) == 0:
		p.decoder.Fail(n.Pos, "day", "want a fleet, nodes and a load, or a built-in scenario in \"like\"")
	default:
		p.parseDefinition()
	}
	// Faults are parsed last, because they refer to classes of the fleet.
	for _, f := range p.faultNodes {
		s.Faults = append(s.Faults, p.parseFault(f))
	}
}

// parseDefinition parses fleet, servers and load of a script that does not take them from a built-in
// scenario.
func (p *parser) parseDefinition() {
	s := p.script
	s.Fleet = config.ParseDraft(p.decoder, p.fleetNode)
	p.addClasses()
	for i, group := range p.serverNodes {
		s.Servers = append(s.Servers, p.parseServerGroup(fmt.Sprintf("nodes[%d]", i), group))
	}
	s.Load = p.parseLoad(p.loadNode)
	if len(s.Fleet.Members) == 0 {
		p.decoder.Fail(p.fleetNode.Pos, "fleet.member", "missing, want one or more")
	}
}

// inheritFromBuiltin takes fleet, servers and load from a built-in scenario.
func (p *parser) inheritFromBuiltin(n *kdl.Node) {
	s := p.script
	src, err := readBuiltin(p.baseName)
	if err != nil || p.baseName == s.Name {
		p.decoder.Fail(n.Pos, "like", "%q, want another of the built-in scenarios", p.baseName)
		return
	}
	if p.fleetNode != nil || p.loadNode != nil || len(p.serverNodes) > 0 {
		p.decoder.Fail(n.Pos, "like", "%q provides fleet, nodes and load, want none of them in this scenario",
			p.baseName)
		return
	}
	base, err := Parse(p.baseName, src)
	if err != nil {
		p.decoder.Fail(n.Pos, "like", "%q: %v", p.baseName, err)
		return
	}
	s.Fleet = base.Fleet
	s.Servers = base.Servers
	s.Load = base.Load
	if s.DiscoveryDelay == 0 {
		s.DiscoveryDelay = base.DiscoveryDelay
	}
	p.addClasses()
}

func (p *parser) addClasses() {
	for _, class := range p.script.Fleet.Decide.Classes {
		p.classes[class.Name] = true
	}
}

func (p *parser) parseServerGroup(path string, n *kdl.Node) ServerGroup {
	group := ServerGroup{Cores: defaultCores, Queue: defaultQueue, Speed: 1, Work: map[string]time.Duration{}}
	p.parseCount(path, n, &group.Count)
	p.decoder.Block(path, n, decode.Fields{
		"cores": decode.Int(&group.Cores, 1, 1024),
		"queue": decode.Int(&group.Queue, 0, 1<<20),
		"speed": decode.Number(&group.Speed, 0.01, 100),
		"zone":  decode.String(&group.Zone),
		"cell":  decode.Int(&group.Cell, 0, 1<<20),
	}, decode.Blocks{
		"work": func(path string, n *kdl.Node) {
			if len(n.Args) != 2 || !p.classes[n.Args[0].Text] {
				p.decoder.Fail(n.Pos, path, "want a class of the fleet and a duration")
				return
			}
			var work time.Duration
			decode.Duration(&work, time.Microsecond)(decode.NewSetting(p.decoder, path, n.Args[1]))
			group.Work[n.Args[0].Text] = work
		},
	})
	for class := range p.classes {
		if group.Work[class] == 0 {
			p.decoder.Fail(n.Pos, path+".work", "missing for class %q", class)
		}
	}
	return group
}

// parseCount stores the only argument of a node, a whole number of at least 1, in *to.
func (p *parser) parseCount(path string, n *kdl.Node, to *int) {
	isCount := func(v kdl.Value) bool {
		return v.Kind == kdl.Number && v.Num >= 1 && v.Num == math.Trunc(v.Num)
	}
	if len(n.Args) != 1 || !isCount(n.Args[0]) {
		p.decoder.Fail(n.Pos, path, "want one argument, a whole number of 1 or more")
		return
	}
	*to = int(n.Args[0].Num)
}

func (p *parser) parseLoad(n *kdl.Node) Load {
	load := Load{RetryDelay: defaultRetryDelay}
	shares := 0.0
	p.decoder.Block("load", n, decode.Fields{
		"rate":    decode.Rate(&load.Rate),
		"retries": decode.Int(&load.Retries, 0, 10),
		"wait":    decode.Duration(&load.RetryDelay, 0),
	}, decode.Blocks{
		"class": func(path string, n *kdl.Node) {
			if len(n.Args) != 1 || !p.classes[n.Args[0].Text] {
				p.decoder.Fail(n.Pos, path, "want a class of the fleet")
				return
			}
			class := ClassLoad{Class: n.Args[0].Text, MaxUnits: 1}
			p.decoder.Block(path, n, decode.Fields{
				"share": decode.Number(&class.Share, 0, 1),
				"units": decode.Int(&class.MaxUnits, 1, 1000),
			}, nil, "share")
			shares += class.Share
			load.Classes = append(load.Classes, class)
		},
	}, "rate")
	if math.Abs(shares-1) > 1e-6 {
		p.decoder.Fail(n.Pos, "load.class.share", "adds up to %v over all classes, want 1", shares)
	}
	return load
}

func (p *parser) parseFault(n *kdl.Node) Fault {
	f := Fault{Count: 1, Size: 1}
	if len(n.Args) != 1 || faultKinds[n.Args[0].Text].inject == nil {
		p.decoder.Fail(n.Pos, "trouble", "%v, want one of %v", n.Args, decode.SortedKeys(faultKinds))
		return f
	}
	f.Kind = n.Args[0].Text
	path := "trouble " + f.Kind
	p.decoder.Block(path, n, decode.Fields{
		"at":    decode.Duration(&f.At, 0),
		"for":   decode.Duration(&f.Duration, 0),
		"count": decode.Int(&f.Count, 1, 10000),
		"size":  decode.Number(&f.Size, 0, 10000),
		"class": func(s decode.Setting) {
			f.Class = s.Value.Text
			if !p.classes[f.Class] {
				s.Reject("a class of the fleet")
			}
		},
	}, nil, "at")
	if slices.Contains(kindsRequiringClass, f.Kind) && f.Class == "" {
		p.decoder.Fail(n.Pos, path+".class", "missing")
	}
	return f
}
