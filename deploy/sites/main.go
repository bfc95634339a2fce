// Command sites writes variants of the customers' site files to the folder deploy/sites. The variants have
// other names, effects, shares, limits, deadlines and costs. They are used to check that the program does not
// depend on the values of one deployment. Neither the originals nor the variants are part of the repository.
//
//	go run ./deploy/sites ../given
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// change sets the entry key of a table to value, in TOML syntax. table is the name of the table, such as
// "net", or "" for the top level. For an array of tables, the value of the entry "name" or the index follows,
// such as "class order-lookup" or "fam.plan 0".
type change struct{ table, key, value string }

// variant describes a site that is derived from another one.
type variant struct {
	name      string   // name of the folder and the file of the variant
	original  string   // path of the site file in the source folder
	siblings  []string // paths of files to copy next to the site file
	changes   []change // changes to existing entries
	additions []change // entries to change, or to add to their table if it lacks them
}

// variants lists the variants that the command writes.
var variants = []variant{
	{"ronda-encargos", "kit/more/node/sites/talca-bodega.toml",
		[]string{"kit/more/node/sites/real.json", "kit/more/node/sites/wire.json",
			"kit/more/node/sites/unlock.txt"},
		[]change{
			{"", "name", `"ronda-encargos"`},
			{"net", "zones", `["ribera", "meseta"]`},
			{"allow", "max_attempts", "3"}, {"allow", "retry_after", "false"},
			{"allow", "second_copies", "true"},
			{"rules", "drain_grace_ms", "700"}, {"rules", "fall_multiple", "3"}, {"rules", "fall_ms", "1500"},
			{"prices", "waste", "0.02"}, {"prices", "late_fail", "0.06"}, {"prices", "peer", "0.02"},
			{"tier.conn", "connect_timeout_ms", "400"}, {"tier.conn", "idle_s", "12"},
			{"tier.report", "fields", `["inflight", "util"]`},
			// Known class names get other effects; some classes and tenants get new names.
			{"class order-lookup", "effect", `"unsafe"`}, {"class order-lookup", "share", "[0.2, 0.3]"},
			{"class order-lookup", "deadline_ms", "2500"}, {"class order-lookup", "worth", "2"},
			{"class order-submit", "effect", `"safe"`}, {"class order-submit", "share", "[0.4, 0.5]"},
			{"class order-submit", "aim_ms", "800"}, {"class order-submit", "late_worth", "0.3"},
			{"class folio-assign", "effect", `"keyed"`}, {"class folio-assign", "deadline_ms", "2000"},
			{"class folio-assign", "worth", "3"}, {"class folio-assign", "name", `"sello"`},
			{"fam", "units", `"size"`}, {"fam", "most_units", "5"}, {"fam", "peer_in_per_s", "60"},
			{"tenant semilla", "share", "0.5"}, {"tenant taller", "share", "0.3"},
			{"tenant imprenta", "share", "0.2"},
			{"tenant semilla", "name", `"huerto"`},
			{"fam.plan 0", "over_worth", "0"}, {"fam.plan 0", "over_cost", "0.4"},
			{"fam.plan 1", "over_cost", "0"},
			{"fam.plan 1", "over_worth", "0.2"}, {"fam.plan 2", "price", "1.1"},
		},
		[]change{{"class sello", "group", `"cell"`}, {"class sello", "window_ms", "900"}}},
	{"lagerhaus-nord", "kit/more/mass/other/aarfeld-ausleihe.toml",
		[]string{"kit/more/mass/other/real.json", "kit/more/mass/other/wire.json",
			"kit/more/mass/other/unlock.txt"},
		[]change{
			{"", "name", `"lagerhaus-nord"`},
			{"allow", "max_attempts", "4"}, {"allow", "second_copies", "false"}, {"allow", "cancel", "false"},
			{"rules", "drain_grace_ms", "1200"}, {"rules", "fall_multiple", "3"},
			{"rules", "fall_ms", "2000"},
			{"prices", "cross_zone", "0.05"}, {"prices", "late_fail", "0.02"},
			{"tier.conn", "connect_timeout_ms", "300"}, {"tier.conn", "idle_s", "20"},
			{"class katalog", "effect", `"unsafe"`}, {"class katalog", "share", "[0.3, 0.4]"},
			{"class katalog", "aim_ms", "700"}, {"class katalog", "deadline_ms", "2200"},
			{"class katalog", "name", `"abruf"`},
			{"class ausleihe", "share", "[0.6, 0.7]"}, {"class ausleihe", "group", `"zone"`},
			{"class ausleihe", "window_ms", "1100"},
			{"class ausleihe", "deadline_ms", "1800"}, {"class ausleihe", "worth", "1"},
			{"class ausleihe", "late_worth", "0"},
			{"tenant gemeinde-klein", "share", "0.6"}, {"tenant gemeinde-mittel", "share", "0.1"},
			{"tenant kanton-gross", "share", "0.3"},
			{"tenant kanton-gross", "name", `"bund"`},
			{"fam", "most_units", "6"}, {"fam.plan 0", "over_cost", "0.5"},
			{"fam.plan 1", "over_cost", "0.3"},
			{"fam.plan 1", "open", "[4, 6]"}, {"fam.plan 2", "over_worth", "0.1"},
		}, nil},
}

// site is a site file, split into lines.
type site struct {
	lines   []string
	tableOf []string // table of each line; an array of tables has its index appended to its name
}

// parse splits the text of a site file.
func parse(text string) *site {
	s := &site{lines: strings.Split(text, "\n")}
	table, count := "", map[string]int{}
	for _, line := range s.lines {
		if head := strings.Trim(strings.TrimSpace(line), "[]"); strings.HasPrefix(line, "[") {
			table = head
			if strings.HasPrefix(line, "[[") {
				table = fmt.Sprint(head, " ", count[head])
				count[head]++
			}
		}
		s.tableOf = append(s.tableOf, table)
	}
	return s
}

// findTable returns the full name of a table, given as in change.table, and false if there is no such table.
func (s *site) findTable(at string) (string, bool) {
	if slices.Contains(s.tableOf, at) {
		return at, true
	}
	head, name, _ := strings.Cut(at, " ")
	for i, line := range s.lines {
		if strings.HasPrefix(s.tableOf[i], head+" ") &&
			strings.ReplaceAll(line, " ", "") == `name="`+name+`"` {
			return s.tableOf[i], true
		}
	}
	return "", false
}

// set replaces the value of an existing entry. It returns an error if the table or the entry does not exist.
func (s *site) set(c change) error {
	table, ok := s.findTable(c.table)
	if !ok {
		return fmt.Errorf("no table %q", c.table)
	}
	for i, line := range s.lines {
		if key, _, ok := strings.Cut(line, "="); ok && s.tableOf[i] == table &&
			strings.TrimSpace(key) == c.key {
			s.lines[i] = c.key + " = " + c.value
			return nil
		}
	}
	return fmt.Errorf("table %q has no entry %q", c.table, c.key)
}

// setOrAdd replaces the value of an entry, or adds the entry after the first line of its table. It returns an
// error if the table does not exist.
func (s *site) setOrAdd(c change) error {
	table, ok := s.findTable(c.table)
	if !ok {
		return fmt.Errorf("no table %q", c.table)
	}
	if s.set(c) != nil {
		i := slices.Index(s.tableOf, table) + 1
		s.lines = slices.Insert(s.lines, i, c.key+" = "+c.value)
		s.tableOf = slices.Insert(s.tableOf, i, table)
	}
	return nil
}

// write reads the original from the folder given and writes the variant to a folder of its own in to.
func (v *variant) write(given, to string) error {
	text, err := os.ReadFile(filepath.Join(given, v.original))
	if err != nil {
		return err
	}
	s := parse(string(text))
	for _, c := range v.changes {
		if err := s.set(c); err != nil {
			return fmt.Errorf("%s: %w", v.original, err)
		}
	}
	for _, c := range v.additions {
		if err := s.setOrAdd(c); err != nil {
			return fmt.Errorf("%s: %w", v.original, err)
		}
	}
	dir := filepath.Join(to, v.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	files := map[string][]byte{v.name + ".toml": []byte(strings.Join(s.lines, "\n"))}
	for _, f := range v.siblings {
		if files[filepath.Base(f)], err = os.ReadFile(filepath.Join(given, f)); err != nil {
			return err
		}
	}
	for name, b := range files {
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o644); err != nil {
			return err
		}
	}
	return nil
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go run ./deploy/sites FOLDER, where FOLDER holds kit/")
		os.Exit(2)
	}
	for _, v := range variants {
		if err := v.write(os.Args[1], filepath.Join("deploy", "sites")); err != nil {
			fmt.Fprintf(os.Stderr, "sites: %s: %v\n", v.name, err)
			os.Exit(1)
		}
		fmt.Println(filepath.Join("deploy", "sites", v.name, v.name+".toml"))
	}
}
