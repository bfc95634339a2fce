// Package config reads the settings of a fleet of gateways from a KDL document, validates them and returns
// them as a Fleet. It also writes a Fleet as a document. The gateway, the checker and the replayer all call
// Load, so a document that one of them accepts is accepted by all.
//
// The field names in documents differ from those of the Go structs. Only this package maps one to the other:
// the decoder methods do so for reading, Format for writing.
package config

import (
	"fmt"
	"os"
	"strings"

	"winghatch/internal/config/decode"
	"winghatch/internal/config/kdl"
	"winghatch/internal/credentials"
)

// Load reads and validates the settings in file. It returns the error of os.ReadFile if the file cannot be
// read, and the error of Parse if the content is invalid.
func Load(file string) (*Fleet, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, src)
}

// Parse reads and validates the settings in src. file is the file name used in errors; it is not opened. The
// error, if any, is a decode.Errors. It contains all invalid fields, or only the first error if the document
// is not valid KDL.
func Parse(file string, src []byte) (*Fleet, error) {
	nodes, err := decode.Parse(file, src)
	if err != nil {
		return nil, err
	}
	d := &decoder{Decoder: decode.Decoder{File: file}}
	f := defaults()
	found := 0
	for _, n := range nodes {
		if n.Name != "fleet" {
			d.Fail(n.Pos, n.Name, "%q is not known, want one node named \"fleet\"", n.Name)
		} else if found++; found > 1 {
			d.Fail(n.Pos, "fleet", "already given, want one")
		} else {
			d.fleet(f, n)
		}
	}
	if found == 0 {
		d.Fail(kdl.Pos{Line: 1, Column: 1}, "fleet", "missing")
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	for rank := range f.Gateways {
		if _, err := f.DecideConfig(rank); err != nil {
			return nil, decode.Errors{{File: file, Pos: nodes[0].Pos, Field: "fleet", Text: err.Error()}}
		}
	}
	return f, nil
}

// ParseDraft reads a fleet node without requiring gateways, addresses, member keys, the state directory or
// the secret, because a scenario's fleet lacks them. It adds errors to d.
func ParseDraft(d *decode.Decoder, n *kdl.Node) *Fleet {
	f := defaults()
	x := &decoder{Decoder: *d, draft: true}
	x.fleet(f, n)
	d.Errors = x.Errors
	return f
}

// decoder reads a fleet node and its blocks.
type decoder struct {
	decode.Decoder
	draft bool // fields that ParseDraft's caller sets later are optional

	// Names and members read so far.
	zones, classNames, planNames, memberNames map[string]bool
	members                                   []memberBlock
}

// memberBlock is a member and the position of its block. Members are checked after all plans and gateways are
// read.
type memberBlock struct {
	at     string // path of the block in errors, such as "member a"
	pos    kdl.Pos
	member Member
}

// required returns names as the required fields of a block. A draft has no required fields.
func (d *decoder) required(names ...string) []string {
	if d.draft {
		return nil
	}
	return names
}

func (d *decoder) fleet(f *Fleet, n *kdl.Node) {
	for _, names := range []*map[string]bool{&d.zones, &d.classNames, &d.planNames, &d.memberNames} {
		*names = map[string]bool{}
	}
	f.Name = d.BlockName("fleet", n, map[string]bool{})
	d.Block("", n, d.fleetFields(f), d.fleetBlocks(f), d.required("secret")...)
	f.Decide.Gateways = len(f.Gateways)
	if len(f.Gateways) == 0 && !d.draft {
		d.Fail(n.Pos, "gateway", "missing, want one or more")
	}
	d.checkMembers(f)
	d.checkStateDir(f, n)
	d.checkGossip(f, n)
}

// checkMembers checks the plan, gateways and keys of each member and adds the members to the fleet. A member
// without the setting spread uses all gateways.
func (d *decoder) checkMembers(f *Fleet) {
	owners := map[credentials.Digest]string{}
	for _, b := range d.members {
		m := b.member
		if !d.planNames[m.Plan] && m.Plan != "" {
			d.Fail(b.pos, b.at+".plan", "%q, want one of %s", m.Plan, listNames(d.planNames))
		}
		if m.First >= len(f.Gateways) || m.Spread > len(f.Gateways) {
			d.Fail(b.pos, b.at+".spread", "first %d and spread %d, want gateways 0 to %d", m.First, m.Spread,
				len(f.Gateways)-1)
		}
		if m.Spread == 0 {
			m.Spread = len(f.Gateways)
		}
		for _, k := range m.Keys {
			if owner := owners[k]; owner != "" {
				d.Fail(b.pos, b.at+".key", "%s, already the key of member %s", k, owner)
			}
			owners[k] = m.Name
		}
		f.Members = append(f.Members, m)
	}
}

func (d *decoder) checkStateDir(f *Fleet, n *kdl.Node) {
	if f.UsageExport.URL != "" && f.StateDirPattern == "" && !d.draft {
		d.Fail(n.Pos, "kept", "missing, required because the log of usage export is stored there")
	}
	if f.StateDirPattern != "" && !strings.Contains(f.StateDirPattern, rankPlaceholder) &&
		len(f.Gateways) > 1 {
		d.Fail(n.Pos, "kept", "%q, want a pattern with %%d for the rank: each gateway has its own",
			f.StateDirPattern)
	}
}

func (d *decoder) checkGossip(f *Fleet, n *kdl.Node) {
	if !f.Decide.Limits.Gossip {
		return
	}
	for i, g := range f.Gateways {
		if g.GossipAddress == "" && !d.draft {
			d.Fail(n.Pos, fmt.Sprintf("gateway[%d].peer", i),
				"missing, required because limits.peers is #true")
		}
	}
	// An invalid value also leaves the capacity at 0, but has been reported already.
	if f.Decide.GossipCapacity == 0 && !d.HasError("intake") {
		d.Fail(n.Pos, "intake", "missing, required because limits.peers is #true")
	}
}

// listNames returns the names of a set, sorted and separated by commas, for an error message.
func listNames(set map[string]bool) string {
	if len(set) == 0 {
		return "(none defined)"
	}
	return strings.Join(decode.SortedKeys(set), ", ")
}
