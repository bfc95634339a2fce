// Package commandline checks in tests that the command line of a program stays compatible with earlier
// versions.
package commandline

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// CheckCompatibility checks that each sub-command of earlier versions still exists, under its name or an
// alias, and has the same flags and arguments with the same defaults. Each line of file holds the path of a
// sub-command, a colon, and its arguments and flags in the form that describe returns. grammar and options
// are the arguments that the program passes to kong.New.
func CheckCompatibility(t *testing.T, grammar any, file string, options ...kong.Option) {
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
			t.Errorf("%s: sub-command not found", path)
			continue
		}
		if got := describe(node); got != want {
			t.Errorf("%s:\n got %s\nwant %s", path, got, want)
		}
	}
}

// findCommand returns the sub-command at a path of names or aliases, nil if there is none.
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

// describe returns the arguments and the sorted flags of a sub-command as text. A flag has its default value,
// ! if it is required, {values} if it is an enumeration, and $NAME for each environment variable.
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
