// Package recording stores the events that a gateway's decision core handled together with the actions that
// it returned, and replays a stored recording into a new core. If the new core returns the same actions, the
// replaying program makes the same decisions as the recorded one.
//
// A recording consists of lines of text. Each line contains the XXH64 checksum of a JSON document as 16
// hexadecimal digits, a space, and the document. The first line is the header with the core's settings and
// random seed. Every other line contains one event, its time in nanoseconds on the gateway's monotonic clock,
// and the resulting actions. If the gateway is killed, its recording may end at any byte; it can be read up
// to the last intact line.
//
// The package does not open files; callers pass an io.Writer or an io.Reader.
package recording

import (
	"encoding/json"
	"time"

	"winghatch/decide"
)

// formatVersion is the format version in the header. A reader rejects every other version.
const formatVersion = 1

// bufferBytes is the size in bytes of the buffer between the codec and the caller's writer or reader.
const bufferBytes = 64 << 10

// Header contains everything that is needed to create the recorded core again. It is the first line of a
// recording.
type Header struct {
	Seed   int64         // seed of the core's random choices
	Config decide.Config // settings of the core
}

// Record is one event that the core handled, with the actions that it returned.
type Record struct {
	At      time.Duration // time of the event on the gateway's monotonic clock
	Event   decide.Event
	Actions []decide.Action // in the order in which the core returned them
}

// storedHeader is the JSON document of the first line. Its keys are the names of its fields.
type storedHeader struct {
	Version int
	Seed    int64
	Config  storedConfig
}

// storedRecord is the JSON document of every other line.
type storedRecord struct {
	At      int64         `json:"t"` // nanoseconds on the gateway's monotonic clock
	Event   storedValue   `json:"e"`
	Actions []storedValue `json:"a,omitempty"`
}

// storedValue is the stored form of an event or an action.
type storedValue struct {
	Kind  string          `json:"k"` // stored name of the type
	Value json.RawMessage `json:"v"`
}
