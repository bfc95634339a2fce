// Package platform runs a gateway as a process ("winghatch serve") on the hosting platform, which writes the
// configuration file, runs the discovery service, limits the resources of the process and sends it signals.
// The package reads the configuration file, connects the gateway's loop to the frontend, the pool of server
// connections, the discovery watch and the gossip transport, keeps the process within its limits and handles
// the platform's signals. It makes no decisions about requests.
//
// Files:
//   - config.go reads the configuration
//   - gateway.go starts and stops a gateway
//   - limits.go divides file descriptors and memory
//   - signals.go and reload.go handle signals
//   - drain.go implements the graceful shutdown
//   - status.go logs the status line
//   - processmemory.go measures the memory of the process
//   - listen.go binds addresses
//   - logwriter.go writes the log
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

// Config is a validated configuration.
type Config struct {
	Name      string // name of this gateway, for the log
	Listen    string // host:port for clients
	Discovery string // host:port of the discovery service, which lists the servers
	Seed      int64  // seed of the random numbers of package decide

	// Limits of the process; 0 means not set.
	Cores    float64 // CPU cores; the limits on the input of clients follow from them
	MemoryMB int     // memory in MiB
	Sockets  int     // file descriptors
	// limitsApplied says whether ApplyLimits was called, so that the process is the gateway's own.
	limitsApplied bool

	PeerListen string   // host:port for gossip; used only if there is gossip
	Peers      []string // gossip addresses of all gateways including this one, indexed by rank

	LastKnown        discoveryhttp.List // endpoint list when the file was written; may be long out of date
	Decide           decide.Config
	ConnectionLimits settings.ConnectionLimits
}

// configFile is the JSON form of the configuration file.
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

// Load reads and validates the configuration file. It returns an *fs.PathError if the file cannot be read.
// Other errors name the file and, if a field is invalid, the field with its value.
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

// parse decodes and validates the contents of a configuration file. Errors name the field.
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
	c.Decide.MaxCustomers = c.maxCustomers()
	return c, nil
}

// checkAddress returns an error if value is not host:port.
func checkAddress(field, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("field %q is %q, want host:port", field, value)
	}
	return nil
}

// checkLimits checks the limits of the process.
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

// parseSeed parses a seed of up to 64 bits in hex digits. It returns 0 for an empty text.
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

// hasGossip reports whether gossip is enabled and there are other gateways to exchange it with.
func (c *Config) hasGossip() bool { return c.Decide.Limits.Gossip && c.Decide.Gateways > 1 }

// checkPeers checks the gossip addresses if gossip is used.
func (c *Config) checkPeers() error {
	if !c.hasGossip() {
		return nil
	}
	if len(c.Peers) != c.Decide.Gateways {
		return fmt.Errorf("field \"peers\" has %d addresses, want %d", len(c.Peers), c.Decide.Gateways)
	}
	return checkAddress("peer_listen", c.PeerListen)
}
