package scenario

import (
	"embed"
	"fmt"
	"os"
	"strings"
)

//go:embed files/*.kdl
var builtin embed.FS

// Open reads a day's file, or a built-in day by its name.
func Open(name string) (*Script, error) {
	src, err := os.ReadFile(name)
	if err != nil {
		var berr error
		if src, berr = builtin.ReadFile("files/" + name + ".kdl"); berr != nil {
			return nil, fmt.Errorf("day: %w; the built-in days are %s", err, strings.Join(BuiltinNames(), ", "))
		}
		name = "files/" + name + ".kdl"
	}
	return Parse(name, src)
}

// Names are the built-in days.
func BuiltinNames() (out []string) {
	es, _ := builtin.ReadDir("files") // embedded, it can't fail
	for _, e := range es {
		out = append(out, strings.TrimSuffix(e.Name(), ".kdl"))
	}
	return out
}
