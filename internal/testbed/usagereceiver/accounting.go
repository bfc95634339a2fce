// Package accounting is a stand-in for the members' accounting: it takes CloudEvents 1.0 in JSON batches over HTTP,
// keeps each event once in a file that outlives it, and has the faults that such a receiver may have.
package usagereceiver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Event is a CloudEvent as far as the accounting looks at it.
type Event struct {
	Version string          `json:"specversion"`
	ID      string          `json:"id"`
	Source  string          `json:"source"`
	Type    string          `json:"type"`
	Subject string          `json:"subject,omitempty"`
	Data    json.RawMessage `json:"data"`
}

// Trouble is what is wrong; the zero value is nothing.
type Fault struct {
	Status         int     // it answers this, and keeps nothing
	RetryAfter     string  // with it
	Share          float64 // of the requests that Status, Cut and Early hit; 0: all
	DropConnection bool    // it keeps the batch and cuts the connection without an answer
	RespondEarly   bool    // it answers 200 and closes before it has read the body, and keeps nothing
	Reject         string  // it answers 400 to a batch with this in it
	Delay          time.Duration
}

// Receiver is a running one.
type Receiver struct {
	file *os.File
	srv  *http.Server
	addr string

	mu         sync.Mutex
	seen       map[[2]string]bool
	events     []Event
	Duplicates int
	fault      Fault
	rng        *rand.Rand
	failed     error
}

// Start listens at an address and goes on with a file. A line that a crash cut is dropped: its batch was not
// acknowledged.
func Start(addr, file string) (*Receiver, error) {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	r := &Receiver{file: f, seen: map[[2]string]bool{}, rng: rand.New(rand.NewPCG(1, uint64(time.Now().UnixNano())))}
	in := bufio.NewReader(f)
	whole := int64(0)
	for {
		line, err := in.ReadBytes('\n')
		var e Event
		if err != nil || json.Unmarshal(line, &e) != nil {
			break
		}
		whole += int64(len(line))
		r.add(e)
	}
	if err := f.Truncate(whole); err != nil {
		return nil, err
	}
	if _, err := f.Seek(whole, io.SeekStart); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		f.Close()
		return nil, err
	}
	r.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /use", r.handleBatch)
	mux.HandleFunc("GET /events", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(r.Events()) })
	r.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go r.srv.Serve(ln)
	return r, nil
}

// Addr is where it listens.
func (r *Receiver) Addr() string { return r.addr }

// URL is where it takes batches.
func (r *Receiver) URL() string { return "http://" + r.addr + "/use" }

// Set changes what is wrong.
func (r *Receiver) SetFault(f func(*Fault)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.fault)
}

// Events are all that it has, in the order they came.
func (r *Receiver) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event{}, r.events...)
}

// Stop cuts all connections, as a kill would.
func (r *Receiver) Stop() {
	r.srv.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.Close()
}

func (r *Receiver) add(e Event) bool {
	k := [2]string{e.Source, e.ID}
	if r.seen[k] {
		r.Duplicates++
		return false
	}
	r.seen[k] = true
	r.events = append(r.events, e)
	return true
}

func (r *Receiver) handleBatch(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	t := r.fault
	hit := t.Share == 0 || r.rng.Float64() < t.Share
	r.mu.Unlock()
	time.Sleep(t.Delay)
	if t.RespondEarly && hit {
		respondEarly(w)
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, 64<<20))
	if err != nil {
		return
	}
	if t.Status != 0 && hit {
		if t.RetryAfter != "" {
			w.Header().Set("Retry-After", t.RetryAfter)
		}
		http.Error(w, "trouble", t.Status)
		return
	}
	if t.Reject != "" && strings.Contains(string(body), t.Reject) {
		http.Error(w, "an event of this batch is not taken", http.StatusBadRequest)
		return
	}
	if err := r.store(req, body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if t.DropConnection && hit {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

// early answers before the body is read.
func respondEarly(w http.ResponseWriter) {
	nc, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

// keep checks a batch and makes it durable, whole or not at all as far as its answer goes.
func (r *Receiver) store(req *http.Request, body []byte) error {
	if !strings.HasPrefix(req.Header.Get("Content-Type"), "application/cloudevents-batch+json") {
		return errors.New("Content-Type: want application/cloudevents-batch+json")
	}
	var evs []Event
	if err := json.Unmarshal(body, &evs); err != nil {
		return err
	}
	for _, e := range evs {
		if e.Version != "1.0" || e.ID == "" || e.Source == "" || e.Type == "" {
			return errors.New("an event lacks specversion 1.0, id, source or type")
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil {
		return r.failed
	}
	var out bytes.Buffer
	var fresh []Event
	within := map[[2]string]bool{}
	for _, e := range evs {
		k := [2]string{e.Source, e.ID}
		if r.seen[k] || within[k] {
			r.Duplicates++
			continue
		}
		within[k] = true
		raw, _ := json.Marshal(e)
		out.Write(append(raw, '\n'))
		fresh = append(fresh, e)
	}
	if _, err := r.file.Write(out.Bytes()); err != nil {
		r.failed = err
		return err
	}
	if err := r.file.Sync(); err != nil {
		r.failed = err
		return err
	}
	for _, e := range fresh {
		r.add(e)
	}
	return nil
}
