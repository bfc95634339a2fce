// Package metricsreceiver emulates a receiver of Prometheus remote write 1.0 and 2.0 for tests and fault
// scenarios. It keeps the samples of each series in memory and can inject the faults of a real receiver.
package metricsreceiver

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"winghatch/internal/testbed/httpreceiver"
)

// Fault configures the faults that the receiver injects. The zero value injects none.
type Fault struct {
	Status         int    // HTTP status of the response; the batch is not stored; 0: no fault
	RetryAfter     string // value of the Retry-After header sent with Status; empty: no header
	RespondEarly   bool   // respond with 200 and close before reading the body; nothing is stored
	DropConnection bool   // store the batch, then close the connection without a response
	Reject         string // respond with 400 if a series has this text in its name or labels; empty: no fault
	MaxSamples     int    // largest accepted batch in samples; 413 for a larger one; 0: no limit
	OnlyV1         bool   // respond with 415 to remote write 2.0

	// MisreadsV2 treats a 2.0 batch as a 1.0 batch: the response is 200 without the
	// X-Prometheus-Remote-Write-*-Written headers, and nothing is stored.
	MisreadsV2 bool

	Delay time.Duration // delay before each response; 0: none
}

// Receiver is a running metrics receiver. Its methods are safe for concurrent use. The exported fields may be
// read only after Stop or while no sender is writing.
type Receiver struct {
	server *httpreceiver.Server

	mu             sync.Mutex
	series         map[string][]Point           // points, keyed by name{label="value",...}
	labels         map[string]map[string]string // label values by label name, keyed like series
	fault          Fault
	exemplarTraces []string
	Batches        map[string]int // number of stored batches by protocol version
	Bytes          int            // compressed size of all stored batches, in bytes
	Samples        int            // number of samples in all stored batches
	OutOfOrder     int            // number of samples that were not newer than the last one of their series
}

// Start serves HTTP on addr in a goroutine that ends with Stop. It returns an error if addr cannot be bound.
func Start(addr string) (*Receiver, error) {
	r := &Receiver{
		series:  map[string][]Point{},
		labels:  map[string]map[string]string{},
		Batches: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/v1/write", r.handleWrite)
	mux.HandleFunc("GET /series", r.handleSeries)
	server, err := httpreceiver.Start(addr, mux)
	if err != nil {
		return nil, fmt.Errorf("metricsreceiver: %w", err)
	}
	r.server = server
	return r, nil
}

// URL returns the URL to which batches are written.
func (r *Receiver) URL() string { return "http://" + r.Addr() + "/api/v1/write" }

// Addr returns the listen address as host:port.
func (r *Receiver) Addr() string { return r.server.Addr() }

// SetFault calls change with the current faults. The change applies from the next request on.
func (r *Receiver) SetFault(change func(*Fault)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.fault)
}

// Stop closes the listener and all connections. The stored series stay readable.
func (r *Receiver) Stop() { r.server.Stop() }

// handleSeries responds with one line per series: its name, last point and number of points.
func (r *Receiver) handleSeries(w http.ResponseWriter, _ *http.Request) {
	for _, name := range r.Names() {
		points := r.Points(name)
		fmt.Fprintf(w, "%s %v (%d samples)\n", name, points[len(points)-1], len(points))
	}
}
