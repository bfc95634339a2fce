// Package commandline compares the command line of a program with that of earlier versions, for the programs' tests.
package commandline

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// CheckStored holds the command line of earlier versions: each of their sub-commands is still found, by its name or by
// an alias, and takes the same flags and arguments with the same defaults. file has one line a sub-command, as describe
// writes it after its path and a colon. grammar and options are what the program gives to kong.
func CheckStored(t *testing.T, grammar any, file string, options ...kong.Option) {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	parser, err := kong.New(grammar, options...)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		path, want, _ := strings.Cut(line, ":")
		want = strings.TrimSpace(want)
		node := findCommand(parser.Model.Node, strings.Fields(path))
		if node == nil {
			t.Errorf("%s: no such sub-command", path)
			continue
		}
		if got := describe(node); got != want {
			t.Errorf("%s:\n got %s\nwant %s", path, got, want)
		}
	}
}

// findCommand follows names or aliases of sub-commands.
func findCommand(node *kong.Node, path []string) *kong.Node {
	if len(path) == 0 {
		return node
	}
	for _, child := range node.Children {
		for _, name := range append([]string{child.Name}, child.Aliases...) {
			if name == path[0] {
				return findCommand(child, path[1:])
			}
		}
	}
	return nil
}

// describe writes the arguments and flags of a sub-command with their defaults.
func describe(node *kong.Node) string {
	var parts []string
	for _, arg := range node.Positional {
		parts = append(parts, arg.Summary())
	}
	var flags []string
	for _, f := range node.Flags {
		if f.Name == "help" {
			continue
		}
		text := fmt.Sprintf("--%s=%q", f.Name, f.Default)
		if f.Required {
			text += "!"
		}
		if f.Enum != "" {
			text += "{" + f.Enum + "}"
		}
		for _, env := range f.Envs {
			text += "$" + env
		}
		flags = append(flags, text)
	}
	sort.Strings(flags)
	return strings.Join(append(parts, flags...), " ")
}
