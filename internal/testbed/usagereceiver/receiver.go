// Package usagereceiver is an emulated receiver of exported usage, for tests and fault scenarios. It takes CloudEvents
// 1.0 in JSON batches over HTTP, keeps each event once in a file that outlives the receiver, and has the faults that
// such a receiver may have.
package usagereceiver

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"winghatch/internal/testbed/httpreceiver"
)

const maxBodyBytes = 64 << 20

// Event is a CloudEvent with the attributes that the receiver looks at.
type Event struct {
	Version string          `json:"specversion"`
	ID      string          `json:"id"`
	Source  string          `json:"source"`
	Type    string          `json:"type"`
	Subject string          `json:"subject,omitempty"`
	Data    json.RawMessage `json:"data"`
}

// Fault is what is wrong with the receiver; the zero value is nothing.
type Fault struct {
	Status         int           // it answers with this status and keeps nothing; 0: none
	RetryAfter     string        // header field beside Status
	DropConnection bool          // it keeps the batch and closes the connection without an answer
	RespondEarly   bool          // it answers 200 and closes before it has read the body, and keeps nothing
	Share          float64       // of the requests that Status, DropConnection and RespondEarly hit; 0: all
	Reject         string        // it answers 400 to a batch that contains this
	Delay          time.Duration // before each answer
}

// Receiver is a running receiver. It is safe for concurrent use.
type Receiver struct {
	store  *store
	server *httpreceiver.Server

	mu         sync.Mutex // guards store too
	duplicates int        // see Duplicates
	fault      Fault
	rng        *rand.Rand
}

// Start listens at an address and continues with the events in the file. Stop ends the goroutine that it starts.
func Start(addr, file string) (*Receiver, error) {
	s, duplicates, err := openStore(file)
	if err != nil {
		return nil, err
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
		return nil, err
	}
	r.server = server
	return r, nil
}

// Addr returns the listen address.
func (r *Receiver) Addr() string { return r.server.Addr() }

// URL returns the address of batches.
func (r *Receiver) URL() string { return "http://" + r.Addr() + "/use" }

// SetFault changes what is wrong with the receiver, from the next request on.
func (r *Receiver) SetFault(change func(*Fault)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.fault)
}

// Events returns all events in the order in which they came.
func (r *Receiver) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event{}, r.store.events...)
}

// Duplicates returns how many events were received again. Requests that Stop interrupts may still add some.
func (r *Receiver) Duplicates() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.duplicates
}

// Stop closes all connections, as a kill would.
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
		http.Error(w, "an event of this batch is not taken", http.StatusBadRequest)
		return
	}
	if err := r.add(req, body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fault.DropConnection && hit {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	w.WriteHeader(http.StatusAccepted)
}

// add checks a batch and keeps it.
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
