// Package architecture holds no code: its test checks that the packages of the module import each other only downward.
package architecture

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const module = "winghatch/"

// A layer is a group of packages. A package may import those of the layers before its own, and those that stand before
// it in its own.
type layer struct {
	name     string
	packages []string // without the module's path, lowest first
}

var layers = []layer{
	{"codecs", []string{
		"internal/encoding", "internal/http1", "internal/jsonrpc", "internal/websocket", "internal/config/kdl", "internal/config/decode",
	}},
	{"decisions", []string{
		"decide", "internal/quotaplan", "internal/reservation", "internal/usage/outbox", "internal/aggregate", "internal/remotewrite/queue",
		"internal/frontend/connlimit", "internal/upstream/idletimeout",
	}},
	{"support", []string{
		"internal/credentials", "internal/socket", "internal/wal", "internal/httppost", "internal/tracing", "internal/metrics",
		"internal/recording",
	}},
	{"settings", []string{"internal/platform/settings", "internal/config"}},
	{"edges", []string{
		"internal/wsconn", "internal/gossip", "internal/gossip/plain", "internal/discovery/websocket", "internal/upstream",
		"internal/upstream/websocket", "internal/upstream/http", "internal/discovery/http", "internal/remotewrite", "internal/usage/sender",
	}},
	{"frontends", []string{"internal/frontend", "internal/frontend/http", "internal/frontend/websocket"}},
	{"runtime", []string{"internal/gateway", "internal/platform"}},
	{"test bed", []string{
		"internal/invariant", "internal/testbed/await", "internal/testbed/ports", "internal/testbed/commandline",
		"internal/testbed/storeddata", "internal/testbed/tcpserver", "internal/testbed/httpreceiver", "internal/testbed/tracereceiver",
		"internal/testbed/usagereceiver", "internal/testbed/metricsreceiver", "internal/testbed/discovery", "internal/testbed/backend",
		"internal/testbed/client", "internal/scenario",
	}},
	{"programs", []string{"internal/architecture", "cmd/standin", "cmd/wirehost", "cmd/winghatch", "deploy/sites"}},
}

// forbiddenInDecisions are packages of the standard library that have no use in a decision: it does no I/O, reads no clock
// of its own and starts no goroutine.
var forbiddenInDecisions = []string{
	"context", "io", "io/fs", "log", "log/slog", "net", "net/http", "os", "os/signal", "sync", "sync/atomic", "syscall",
}

// listed is one package as `go list` tells it.
type listed struct {
	ImportPath string
	Dir        string
	Imports    []string // of the package without its tests
}

// violations checks the imports of packages against the layers; each text names the import and the rule.
func violations(packages []listed) (found []string) {
	position := map[string]int{}
	layerOf := map[string]string{}
	for _, l := range layers {
		for _, p := range l.packages {
			position[p] = len(position)
			layerOf[p] = l.name
		}
	}
	for _, p := range packages {
		name := strings.TrimPrefix(p.ImportPath, module)
		at, known := position[name]
		if !known {
			found = append(found, name+" stands in no layer")
			continue
		}
		for _, imported := range p.Imports {
			other, ours := strings.CutPrefix(imported, module)
			if !ours {
				if layerOf[name] == "decisions" && slices.Contains(forbiddenInDecisions, imported) {
					found = append(found, fmt.Sprintf("%s is a decision and imports %s", name, imported))
				}
				continue
			}
			if below, known := position[other]; known && below >= at {
				found = append(found, fmt.Sprintf("%s (%s) imports %s (%s), which is not below it",
					name, layerOf[name], other, layerOf[other]))
			}
		}
	}
	return found
}

func listPackages(t *testing.T) (packages []listed) {
	t.Helper()
	list := exec.Command("go", "list", "-json=ImportPath,Dir,Imports", module+"...")
	out, err := list.Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(out)))
	for {
		var p listed
		err := decoder.Decode(&p)
		if errors.Is(err, io.EOF) {
			return packages
		}
		if err != nil {
			t.Fatalf("output of go list: %v", err)
		}
		packages = append(packages, p)
		readSources(t, p.Dir)
	}
}

// readSources reads the files of a package: the go command repeats a cached result while the files that a test itself
// has read are the same, and knows nothing of what `go list` reads.
func readSources(t *testing.T, dir string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if !strings.HasSuffix(e.Name(), ".go") {
			continue
		}
		if _, err := os.ReadFile(filepath.Join(dir, e.Name())); err != nil {
			t.Fatal(err)
		}
	}
}

func TestImportsGoDownward(t *testing.T) {
	packages := listPackages(t)
	for _, v := range violations(packages) {
		t.Error(v)
	}
	exists := map[string]bool{}
	for _, p := range packages {
		exists[strings.TrimPrefix(p.ImportPath, module)] = true
	}
	for _, l := range layers {
		for _, p := range l.packages {
			if !exists[p] {
				t.Errorf("layer %s names %s, which does not exist", l.name, p)
			}
		}
	}
}

// TestPlantedImportsAreFound plants one wrong import of each sort among the true ones.
func TestPlantedImportsAreFound(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
	}{
		{"upward", "winghatch/decide", "winghatch/internal/gateway"},
		{"upward within a layer", "winghatch/internal/upstream", "winghatch/internal/upstream/http"},
		{"a test bed in the runtime", "winghatch/internal/gateway", "winghatch/internal/testbed/backend"},
		{"a decision that opens sockets", "winghatch/internal/reservation", "net"},
		{"a package without a layer", "winghatch/internal/unknown", "fmt"},
	} {
		t.Run(c.name, func(t *testing.T) {
			planted := []listed{{ImportPath: c.from, Imports: []string{c.to}}}
			if found := violations(planted); len(found) != 1 {
				t.Errorf("%s imports %s: found %q, want one violation", c.from, c.to, found)
			}
		})
	}
}
