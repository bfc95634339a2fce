// Package platform runs one gateway of the platform (winghatch serve): it reads the configuration file, starts the
// frontend, the pool of server connections, the discovery watch and the gossip transport around the gateway's loop,
// keeps the process within its limits and follows the platform's signals. It makes no decision on requests.
//
// Files: config.go reads the configuration, gateway.go starts and stops a gateway, limits.go divides descriptors and
// memory, signals.go and reload.go follow signals, drain.go is the graceful shutdown, status.go the status line,
// listen.go binds addresses, logwriter.go writes the log.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"

	"winghatch/decide"
	discoveryhttp "winghatch/internal/discovery/http"
	"winghatch/internal/platform/settings"
)

// Config is a checked configuration.
type Config struct {
	Name      string // of this gateway, for the log
	Listen    string // host:port for clients
	Discovery string // host:port of discovery
	Seed      int64  // of the core's random numbers

	// The limits of the process; 0: not limited. Cores is for the log alone.
	Cores    float64
	MemoryMB int
	Sockets  int // file descriptors

	PeerListen string   // host:port for gossip; empty without peers
	Peers      []string // addresses of all gateways, this one's included, by rank

	LastKnown        discoveryhttp.List // the endpoint list when the file was written, maybe long out of date
	Decide           decide.Config
	ConnectionLimits settings.ConnectionLimits
}

// configFile is the file as it is written.
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

// Load reads and checks the file. Errors name file, field and value; one that is an fs.PathError means that the file
// could not be read.
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
	var f configFile
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, settings.FieldError(err)
	}
	c := &Config{
		Name:       f.Name,
		Listen:     f.Listen,
		Discovery:  f.Discovery,
		Cores:      f.Limits.Cores,
		MemoryMB:   f.Limits.MemoryMB,
		Sockets:    f.Limits.Sockets,
		PeerListen: f.PeerListen,
		Peers:      f.Peers,
		LastKnown:  f.Known,
	}
	if err := checkAddress("listen", c.Listen); err != nil {
		return nil, err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return nil, err
	}
	if err := c.checkLimits(); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = parseSeed(f.Seed); err != nil {
		return nil, err
	}
	if err := c.LastKnown.Validate(); err != nil {
		return nil, fmt.Errorf("field \"known\": %w", err)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("field \"settings\" is missing")
	}
	if c.Decide, c.ConnectionLimits, err = settings.Parse(f.Settings); err != nil {
		return nil, fmt.Errorf("field \"settings\": %w", err)
	}
	if err := settings.Validate(&c.Decide); err != nil {
		return nil, fmt.Errorf("field \"settings\": %w", err)
	}
	if err := c.checkPeers(); err != nil {
		return nil, err
	}
	return c, nil
}

func checkAddress(field, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("field %q is %q, want host:port", field, value)
	}
	return nil
}

func (c *Config) checkLimits() error {
	switch {
	case c.Cores < 0:
		return fmt.Errorf("field \"limits.cores\" is %v, want 0 or more", c.Cores)
	case c.MemoryMB < 0:
		return fmt.Errorf("field \"limits.memory_mb\" is %d, want 0 or more", c.MemoryMB)
	case c.Sockets != 0 && c.Sockets < minSockets:
		return fmt.Errorf("field \"limits.sockets\" is %d, want %d or more", c.Sockets, minSockets)
	}
	return nil
}

// parseSeed parses hex digits; an empty text is 0.
func parseSeed(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	var seed uint64
	if _, err := fmt.Sscanf(text, "%x", &seed); err != nil {
		return 0, fmt.Errorf("field \"seed\" is %q, want hex digits", text)
	}
	return int64(seed), nil
}

// hasGossip reports whether there are other gateways with which this one exchanges gossip.
func (c *Config) hasGossip() bool { return c.Decide.Limits.Gossip && c.Decide.Gateways > 1 }

func (c *Config) checkPeers() error {
	if !c.hasGossip() {
		return nil
	}
	if len(c.Peers) != c.Decide.Gateways {
		return fmt.Errorf("field \"peers\" has %d addresses, want %d", len(c.Peers), c.Decide.Gateways)
	}
	return checkAddress("peer_listen", c.PeerListen)
}
