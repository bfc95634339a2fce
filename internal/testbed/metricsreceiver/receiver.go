// Package metricsreceiver is an emulated receiver of Prometheus remote write, 1.0 and 2.0, for tests and fault
// scenarios. It keeps the samples of each series in memory and has the faults that a receiver may have.
package metricsreceiver

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"winghatch/internal/testbed/httpreceiver"
)

// Fault is what is wrong with the receiver; the zero value is nothing.
type Fault struct {
	Status         int           // it answers with this status and keeps nothing; 0: none
	RetryAfter     string        // header field beside Status
	RespondEarly   bool          // it answers 200 before it has read the request, and keeps nothing
	DropConnection bool          // it keeps the batch and closes the connection without an answer
	Reject         string        // it answers 400 to a batch with a series that has this in its name or labels
	MaxSamples     int           // it answers 413 to more samples in a batch; 0: no bound
	OnlyV1         bool          // it answers 415 to version 2.0
	MisreadsV2     bool          // it takes 2.0 for 1.0: it answers 200 without counts of what it wrote, and keeps nothing
	Delay          time.Duration // before each answer
}

// Receiver is a running receiver. Batches, Bytes, Samples and OutOfOrder are to be read after Stop, or while nothing is
// written.
type Receiver struct {
	server *httpreceiver.Server

	mu             sync.Mutex
	series         map[string][]Point           // by name{label="value",...}
	labels         map[string]map[string]string // by the same name
	fault          Fault
	exemplarTraces []string
	Batches        map[string]int // by version of the protocol
	Bytes          int            // of batches, compressed
	Samples        int
	OutOfOrder     int // samples that were not newer than the last of their series
}

// Start listens at an address. Stop ends the goroutine that it starts.
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
		return nil, err
	}
	r.server = server
	return r, nil
}

// URL returns the address of writes.
func (r *Receiver) URL() string { return "http://" + r.Addr() + "/api/v1/write" }

// Addr returns the listen address.
func (r *Receiver) Addr() string { return r.server.Addr() }

// SetFault changes what is wrong with the receiver, from the next request on.
func (r *Receiver) SetFault(change func(*Fault)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.fault)
}

// Stop closes all connections.
func (r *Receiver) Stop() { r.server.Stop() }

// handleSeries lists all series with their last sample.
func (r *Receiver) handleSeries(w http.ResponseWriter, _ *http.Request) {
	for _, name := range r.Names() {
		points := r.Points(name)
		fmt.Fprintf(w, "%s %v (%d samples)\n", name, points[len(points)-1], len(points))
	}
}
