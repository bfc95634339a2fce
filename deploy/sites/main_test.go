package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const smallSite = `name = "a"

[allow]
peers = true

[[class]]
name = "one"
effect = "safe"

[[class]]
name = "two"
effect = "keyed"

[[fam.plan]]
rate = 1
`

// TestVariantIsWritten guards against variants that keep a value of the original: a change for a missing
// table or entry must be an error that names it, as must a missing file. It writes a small variant and
// compares it with the expected text.
func TestVariantIsWritten(t *testing.T) {
	given, to := t.TempDir(), t.TempDir()
	if err := os.WriteFile(filepath.Join(given, "site.toml"), []byte(smallSite), 0o600); err != nil {
		t.Fatal(err)
	}
	v := variant{"b", "site.toml", []string{"site.toml"},
		[]change{{"", "name", `"b"`}, {"class two", "effect", `"unsafe"`},
			{"class two", "name", `"zwei"`}, {"fam.plan 0", "rate", "2"}},
		[]change{{"class zwei", "window_ms", "5"}, {"allow", "peers", "false"}}}
	if err := v.write(given, to); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(filepath.Join(to, "b", "b.toml"))
	want := strings.NewReplacer(`name = "a"`, `name = "b"`,
		"[[class]]\nname = \"two\"\neffect = \"keyed\"",
		"[[class]]\nwindow_ms = 5\nname = \"zwei\"\neffect = \"unsafe\"",
		"rate = 1", "rate = 2", "peers = true", "peers = false").Replace(smallSite)
	if err != nil || string(got) != want {
		t.Errorf("error %v, got\n%s\nwant\n%s", err, got, want)
	}
	for _, c := range []struct {
		v    variant
		want string
	}{
		{variant{name: "b", original: "none.toml"}, "none.toml"},
		{
			variant{name: "b", original: "site.toml", changes: []change{{"class three", "name", "x"}}},
			`no table "class three"`,
		},
		{
			variant{name: "b", original: "site.toml", changes: []change{{"class two", "worth", "x"}}},
			`"class two" has no entry "worth"`,
		},
		{
			variant{name: "b", original: "site.toml", additions: []change{{"fam.plan 1", "rate", "x"}}},
			`no table "fam.plan 1"`,
		},
		{variant{name: "b", original: "site.toml", siblings: []string{"real.json"}}, "real.json"},
	} {
		if err := c.v.write(given, t.TempDir()); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %v, want one that names %s", err, c.want)
		}
	}
}
