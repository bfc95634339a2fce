// Package usagereceiver emulates a receiver of exported usage for tests and fault scenarios. It accepts JSON
// batches of CloudEvents 1.0 over HTTP and stores each event once in a file that survives a restart of the
// receiver. It can inject the faults of a real receiver: error statuses, dropped connections, early responses
// and delays.
package usagereceiver

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"winghatch/internal/testbed/httpreceiver"
)

// maxBodyBytes bounds the body of one request; the rest is not read.
const maxBodyBytes = 64 << 20

// Event is a CloudEvent with the attributes that the receiver uses.
type Event struct {
	Version string          `json:"specversion"`
	ID      string          `json:"id"`
	Source  string          `json:"source"`
	Type    string          `json:"type"`
	Subject string          `json:"subject,omitempty"`
	Data    json.RawMessage `json:"data"`
}

// Fault configures the faults that the receiver injects. The zero value injects none.
type Fault struct {
	Status         int           // HTTP status of the response; the batch is not stored; 0: no fault
	RetryAfter     string        // value of the Retry-After header sent with Status; empty: no header
	DropConnection bool          // store the batch, then close the connection without a response
	RespondEarly   bool          // respond with 200 and close before reading the body; nothing is stored
	Share          float64       // fraction of requests that get the faults above; 0: all requests
	Reject         string        // respond with 400 if the body contains this text; empty: no fault
	Delay          time.Duration // delay before each response; 0: none
}

// Receiver is a running usage receiver. It is safe for concurrent use.
type Receiver struct {
	store  *store
	server *httpreceiver.Server

	mu         sync.Mutex // also guards the content of store
	duplicates int        // number of events received more than once
	fault      Fault
	rng        *rand.Rand
}

// Start loads the events stored in file, creating it if it does not exist, and serves HTTP on addr in a
// goroutine that ends with Stop. It returns an error if the file cannot be opened or addr cannot be bound.
func Start(addr, file string) (*Receiver, error) {
	s, duplicates, err := openStore(file)
	if err != nil {
		return nil, fmt.Errorf("usagereceiver: %w", err)
	}
	r := &Receiver{
		store:      s,
		duplicates: duplicates,
		rng:        rand.New(rand.NewPCG(1, uint64(time.Now().UnixNano()))),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /use", r.handleBatch)
	mux.HandleFunc("GET /events", r.handleEvents)
	server, err := httpreceiver.Start(addr, mux)
	if err != nil {
		s.file.Close()
		return nil, fmt.Errorf("usagereceiver: %w", err)
	}
	r.server = server
	return r, nil
}

// Addr returns the listen address as host:port.
func (r *Receiver) Addr() string { return r.server.Addr() }

// URL returns the URL to which batches are posted.
func (r *Receiver) URL() string { return "http://" + r.Addr() + "/use" }

// SetFault calls change with the current faults. The change applies from the next request on.
func (r *Receiver) SetFault(change func(*Fault)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.fault)
}

// Events returns a copy of all stored events in order of arrival.
func (r *Receiver) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event{}, r.store.events...)
}

// Duplicates returns the number of events that were received more than once. A request interrupted by Stop
// can still increase the number.
func (r *Receiver) Duplicates() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.duplicates
}

// Stop closes the listener, all connections and the file at once, as if the process were killed.
func (r *Receiver) Stop() {
	r.server.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.file.Close()
}

func (r *Receiver) handleEvents(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(r.Events())
}

func (r *Receiver) handleBatch(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	fault := r.fault
	hit := fault.Share == 0 || r.rng.Float64() < fault.Share
	r.mu.Unlock()
	time.Sleep(fault.Delay)
	if fault.RespondEarly && hit {
		httpreceiver.RespondEarly(w)
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if fault.Status != 0 && hit {
		httpreceiver.RespondStatus(w, fault.Status, fault.RetryAfter)
		return
	}
	if fault.Reject != "" && strings.Contains(string(body), fault.Reject) {
		http.Error(w, fmt.Sprintf("batch rejected by an injected fault: it contains %q", fault.Reject),
			http.StatusBadRequest)
		return
	}
	if err := r.add(req, body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fault.DropConnection && hit {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	w.WriteHeader(http.StatusAccepted)
}

// add validates a batch and stores its events.
func (r *Receiver) add(req *http.Request, body []byte) error {
	events, err := parseBatch(req, body)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	duplicates, err := r.store.add(events)
	r.duplicates += duplicates
	return err
}
