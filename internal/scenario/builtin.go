package scenario

import (
	"embed"
	"fmt"
	"os"
	"strings"
)

//go:embed files/*.kdl
var builtin embed.FS

const (
	builtinDir = "files/"
	scriptExt  = ".kdl"
)

// Open reads the script in the file with the given name. If the file cannot be read, it returns the built-in
// scenario with that name.
func Open(name string) (*Script, error) {
	src, err := os.ReadFile(name)
	if err == nil {
		return Parse(name, src)
	}
	src, builtinErr := readBuiltin(name)
	if builtinErr != nil {
		return nil, fmt.Errorf("scenario: %w; the built-in scenarios are %s",
			err, strings.Join(BuiltinNames(), ", "))
	}
	return Parse(builtinDir+name+scriptExt, src)
}

// BuiltinNames returns the names of the built-in scenarios, sorted.
func BuiltinNames() (names []string) {
	entries, _ := builtin.ReadDir(strings.TrimSuffix(builtinDir, "/")) // cannot fail for an embedded folder
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), scriptExt))
	}
	return names
}

func readBuiltin(name string) ([]byte, error) { return builtin.ReadFile(builtinDir + name + scriptExt) }
