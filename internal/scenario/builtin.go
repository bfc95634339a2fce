package scenario

import (
	"embed"
	"fmt"
	"os"
	"strings"
)

//go:embed files/*.kdl
var builtin embed.FS

func readBuiltin(name string) ([]byte, error) { return builtin.ReadFile("files/" + name + ".kdl") }

// Open reads a script from a file, or a built-in scenario by its name.
func Open(name string) (*Script, error) {
	src, err := os.ReadFile(name)
	if err == nil {
		return Parse(name, src)
	}
	src, builtinErr := readBuiltin(name)
	if builtinErr != nil {
		return nil, fmt.Errorf("scenario: %w; the built-in scenarios are %s", err, strings.Join(BuiltinNames(), ", "))
	}
	return Parse("files/"+name+".kdl", src)
}

// BuiltinNames returns the names of the built-in scenarios, sorted.
func BuiltinNames() (out []string) {
	entries, _ := builtin.ReadDir("files") // embedded, it can't fail
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), ".kdl"))
	}
	return out
}
