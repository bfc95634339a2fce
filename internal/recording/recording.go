// Package recording stores what a gateway's decision core was given and what it returned, and replays a stored
// recording into a fresh core. Equal actions prove that the replaying program decides as the recorded one did.
//
// A recording is lines of text. Each line is the XXH64 checksum of a JSON document in 16 hexadecimal digits, a
// space and the document. The first line holds the core's settings and random seed; every other line holds the
// time of one event in nanoseconds on the gateway's monotonic clock, the event and the actions that it caused.
// A kill may truncate a recording anywhere: it is readable up to its last intact line.
//
// The package does no file handling; callers pass an io.Writer or an io.Reader.
package recording

import (
	"encoding/json"
	"time"

	"winghatch/decide"
)

// formatVersion is the version in the header. A reader refuses any other.
const formatVersion = 1

// bufferBytes is the size of the buffers between the codec and the caller's writer or reader.
const bufferBytes = 64 << 10

// Header is all that a fresh core needs. The first line of a recording holds it.
type Header struct {
	Seed   int64
	Config decide.Config
}

// Record is one event that the core handled.
type Record struct {
	At      time.Duration // on the gateway's monotonic clock
	Event   decide.Event
	Actions []decide.Action // in the order in which the core returned them
}

type storedHeader struct {
	Version int
	Seed    int64
	Config  storedConfig
}

type storedRecord struct {
	At      int64         `json:"t"` // nanoseconds
	Event   storedValue   `json:"e"`
	Actions []storedValue `json:"a,omitempty"`
}

// storedValue is an event or an action with the name of its type.
type storedValue struct {
	Kind  string          `json:"k"`
	Value json.RawMessage `json:"v"`
}
