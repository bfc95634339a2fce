// Package remotewrite is a stand-in receiver of Prometheus remote write, 1.0 and 2.0: it keeps the samples of each series and
// has the faults that a receiver may have.
package metricsreceiver

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/golang/snappy"
	"google.golang.org/protobuf/proto"

	"winghatch/internal/remotewrite"
)

// Trouble is what is wrong; the zero value is nothing.
type Fault struct {
	Status         int // it answers this, and keeps nothing
	RetryAfter     string
	RespondEarly   bool   // it answers 200 before it has read, and keeps nothing
	DropConnection bool   // it keeps and cuts the connection
	Reject         string // it answers 400 to a batch with a series that has this in its name or labels
	MaxSamples     int    // it answers 413 to more samples than that
	OnlyV1         bool   // it answers 415 to 2.0
	MisreadsV2     bool   // it takes 2.0 for 1.0: it answers 200, tells nothing of what it wrote, and keeps nothing
	Delay          time.Duration
}

// pointsMost is how many points of a series are kept.
const maxPoints = 20000

// Point is a sample that came.
type Point struct {
	TimestampMs int64 // Unix ms
	Value       float64
	Count       uint64 // of a native histogram ...
	Sum         float64
	IsHistogram bool
	encoded     []byte // of a native histogram, as it came
}

// Recorded is a series as Record writes it, a line of JSON each. Where H is not empty the series is of native histograms, each
// an io.prometheus.write.v2.Histogram.
type StoredSeries struct {
	Labels       map[string]string `json:"labels"`
	TimestampsMs []int64           `json:"t"` // Unix ms
	Values       []string          `json:"v,omitempty"`
	Histograms   [][]byte          `json:"h,omitempty"`
}

// Record writes all series whose name begins so.
func (r *Receiver) WriteSeries(w io.Writer, prefix string) error {
	for _, n := range r.Names() {
		if !strings.HasPrefix(n, prefix) {
			continue
		}
		r.mu.Lock()
		rec := StoredSeries{Labels: r.labels[n]}
		for _, p := range r.series[n] {
			rec.TimestampsMs = append(rec.TimestampsMs, p.TimestampMs)
			switch {
			case p.IsHistogram:
				rec.Histograms = append(rec.Histograms, p.encoded)
			case remotewrite.IsStale(p.Value):
				rec.TimestampsMs = rec.TimestampsMs[:len(rec.TimestampsMs)-1] // a series that ends just ends
			default:
				rec.Values = append(rec.Values, strconv.FormatFloat(p.Value, 'g', -1, 64))
			}
		}
		r.mu.Unlock()
		raw, err := json.Marshal(rec)
		if err != nil {
			return err
		}
		if _, err := w.Write(append(raw, '\n')); err != nil {
			return err
		}
	}
	return nil
}

// Receiver is a running one.
type Receiver struct {
	srv  *http.Server
	addr string

	mu             sync.Mutex
	series         map[string][]Point // by name{label="value",...}
	labels         map[string]map[string]string
	fault          Fault
	exemplarTraces []string       // of exemplars
	Batches        map[string]int // by version
	Bytes          int
	Samples        int
	OutOfOrder     int // samples that were not newer than the last of their series
}

// Start listens at an address.
func Start(addr string) (*Receiver, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Receiver{addr: ln.Addr().String(), series: map[string][]Point{}, labels: map[string]map[string]string{}, Batches: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/v1/write", r.handleWrite)
	mux.HandleFunc("GET /series", func(w http.ResponseWriter, _ *http.Request) {
		for _, n := range r.Names() {
			p := r.Points(n)
			fmt.Fprintf(w, "%s %v (%d samples)\n", n, p[len(p)-1], len(p))
		}
	})
	r.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go r.srv.Serve(ln)
	return r, nil
}

// URL is where it takes writes.
func (r *Receiver) URL() string { return "http://" + r.addr + "/api/v1/write" }

// Addr is where it listens.
func (r *Receiver) Addr() string { return r.addr }

// Set changes what is wrong.
func (r *Receiver) SetFault(f func(*Fault)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.fault)
}

// Stop cuts all connections.
func (r *Receiver) Stop() { r.srv.Close() }

// Names are all series, in order.
func (r *Receiver) Names() (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.series {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// Series are the points of one.
func (r *Receiver) Points(name string) []Point {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Point(nil), r.series[name]...)
}

// Traces are the trace ids of exemplars that came.
func (r *Receiver) ExemplarTraces() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.exemplarTraces...)
}

// Sum adds the last values, markers aside, of all series whose name begins so and that have all labels.
func (r *Receiver) Sum(metric string, labels ...string) (sum float64) {
	for _, n := range r.Names() {
		if !strings.HasPrefix(n, metric+"{") {
			continue
		}
		all := true
		for _, l := range labels {
			all = all && strings.Contains(n, l)
		}
		if !all {
			continue
		}
		ps := r.Points(n)
		for i := len(ps) - 1; i >= 0; i-- {
			if !remotewrite.IsStale(ps[i].Value) {
				if sum += ps[i].Value; ps[i].IsHistogram {
					sum += float64(ps[i].Count)
				}
				break
			}
		}
	}
	return sum
}

func (r *Receiver) handleWrite(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	t := r.fault
	r.mu.Unlock()
	time.Sleep(t.Delay)
	if t.RespondEarly {
		if nc, _, err := w.(http.Hijacker).Hijack(); err == nil {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			nc.Close()
		}
		return
	}
	raw, err := io.ReadAll(io.LimitReader(req.Body, 64<<20))
	if err != nil {
		return
	}
	if t.Status != 0 {
		if t.RetryAfter != "" {
			w.Header().Set("Retry-After", t.RetryAfter)
		}
		http.Error(w, "trouble", t.Status)
		return
	}
	version, two := req.Header.Get("X-Prometheus-Remote-Write-Version"), strings.Contains(req.Header.Get("Content-Type"), "io.prometheus.write.v2")
	switch {
	case t.MisreadsV2 && two:
		return
	case t.OnlyV1 && two:
		http.Error(w, "want prometheus.WriteRequest", http.StatusUnsupportedMediaType)
		return
	case req.Header.Get("Content-Encoding") != "snappy" || two != (version == "2.0.0"):
		http.Error(w, "headers: want snappy, and a version that is the content's", http.StatusUnsupportedMediaType)
		return
	}
	body, err := snappy.Decode(nil, raw)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	decode := remotewrite.DecodeV1
	if two {
		decode = remotewrite.DecodeV2
	}
	samples, err := decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if t.MaxSamples > 0 && len(samples) > t.MaxSamples {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	var names []string
	for _, s := range samples {
		n := seriesName(s.Series)
		if names = append(names, n); t.Reject != "" && strings.Contains(n, t.Reject) {
			http.Error(w, n+": not taken", http.StatusBadRequest)
			return
		}
	}
	floats, hists := 0, 0
	r.mu.Lock()
	for i, s := range samples {
		p := Point{TimestampMs: s.Timestamp, Value: s.Value}
		if floats++; s.Histogram != nil {
			floats--
			hists++
			p.IsHistogram, p.Count, p.Sum = true, s.Histogram.GetCountInt(), s.Histogram.Sum
			p.encoded, _ = proto.Marshal(s.Histogram)
			for _, e := range s.Exemplars {
				for _, l := range e.Labels {
					if l.Name == "trace_id" {
						r.exemplarTraces = append(r.exemplarTraces, l.Value)
					}
				}
			}
		}
		if r.labels[names[i]] == nil {
			m := map[string]string{}
			for _, l := range s.Series.Labels {
				m[l.Name] = l.Value
			}
			r.labels[names[i]] = m
		}
		ps := r.series[names[i]]
		if len(ps) > 0 && s.Timestamp <= ps[len(ps)-1].TimestampMs {
			if r.OutOfOrder++; s.Timestamp == ps[len(ps)-1].TimestampMs { // sent again: it has it
				continue
			}
		}
		if len(ps) >= maxPoints {
			ps = append(ps[:0:0], ps[len(ps)/2:]...) // the older half goes
		}
		r.series[names[i]] = append(ps, p)
	}
	r.Batches[version]++
	r.Bytes += len(raw)
	r.Samples += len(samples)
	r.mu.Unlock()
	if t.DropConnection {
		panic(http.ErrAbortHandler)
	}
	if two {
		w.Header().Set("X-Prometheus-Remote-Write-Samples-Written", strconv.Itoa(floats))
		w.Header().Set("X-Prometheus-Remote-Write-Histograms-Written", strconv.Itoa(hists))
		w.Header().Set("X-Prometheus-Remote-Write-Exemplars-Written", "0")
	}
	w.WriteHeader(http.StatusNoContent)
}

func seriesName(s *remotewrite.Series) string {
	metric := ""
	var rest []string
	for _, l := range s.Labels {
		if l.Name == "__name__" {
			metric = l.Value
		} else {
			rest = append(rest, l.Name+`="`+l.Value+`"`)
		}
	}
	return metric + "{" + strings.Join(rest, ",") + "}"
}
