// Package platform runs a gateway of the platform: it reads what the platform tells it, puts front, pool, watch and
// datagrams around the loop, fits the process to its limits and follows the platform's signals. It decides nothing.
package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"os"

	"winghatch/decide"
	discoveryhttp "winghatch/internal/discovery/http"
	"winghatch/internal/platform/settings"
)

// Config is what one gateway is told, checked.
type Config struct {
	Name, Listen, Discovery string
	Seed                    int64
	Cores                   float64
	MemoryMB, Sockets       int
	PeerListen              string
	Peers                   []string
	LastKnown               discoveryhttp.List
	Decide                  decide.Config
	Transport               settings.ConnectionLimits
}

// words are the file's.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string             `json:"peer_listen"`
	Peers      []string           `json:"peers"`
	Known      discoveryhttp.List `json:"known"`
	Settings   json.RawMessage    `json:"settings"`
}

// Load reads and checks the file. Errors name file, field and value.
func Load(file string) (*Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	c, err := parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return c, nil
}

func parse(raw []byte) (*Config, error) {
	var w configFile
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, settings.FieldError(err)
	}
	c := &Config{Name: w.Name, Listen: w.Listen, Discovery: w.Discovery, Cores: w.Limits.Cores, MemoryMB: w.Limits.MemoryMB,
		Sockets: w.Limits.Sockets, PeerListen: w.PeerListen, Peers: w.Peers, LastKnown: w.Known}
	for _, f := range []struct{ name, v string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(f.v); err != nil {
			return nil, fmt.Errorf("field %q is %q, want host:port", f.name, f.v)
		}
	}
	if w.Limits.Cores < 0 {
		return nil, fmt.Errorf("field \"limits.cores\" is %v, want more than 0", w.Limits.Cores)
	}
	if c.MemoryMB < 0 {
		return nil, fmt.Errorf("field \"limits.memory_mb\" is %d, want more than 0", c.MemoryMB)
	}
	if c.Sockets != 0 && c.Sockets < minSockets {
		return nil, fmt.Errorf("field \"limits.sockets\" is %d, want %d or more", c.Sockets, minSockets)
	}
	if w.Seed != "" {
		var seed uint64
		if _, err := fmt.Sscanf(w.Seed, "%x", &seed); err != nil {
			return nil, fmt.Errorf("field \"seed\" is %q, want hex digits", w.Seed)
		}
		c.Seed = int64(seed)
	}
	if err := c.LastKnown.Check(); err != nil {
		return nil, fmt.Errorf("field \"known\": %w", err)
	}
	if len(w.Settings) == 0 {
		return nil, fmt.Errorf("field \"settings\" is missing")
	}
	var err error
	if c.Decide, c.Transport, err = settings.Parse(w.Settings); err != nil {
		return nil, fmt.Errorf("field \"settings\": %w", err)
	}
	if err = c.Decide.Validate(); err != nil {
		return nil, fmt.Errorf("field \"settings\": %w", err)
	}
	if c.Decide.Limits.Gossip && c.Decide.Gateways > 1 {
		if len(c.Peers) != c.Decide.Gateways {
			return nil, fmt.Errorf("field \"peers\" has %d addresses, want %d", len(c.Peers), c.Decide.Gateways)
		}
		if _, _, err := net.SplitHostPort(c.PeerListen); err != nil {
			return nil, fmt.Errorf("field \"peer_listen\" is %q, want host:port", c.PeerListen)
		}
	}
	return c, nil
}
