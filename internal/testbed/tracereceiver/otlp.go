// Package otlp is a stand-in receiver of OpenTelemetry traces: OTLP over HTTP with protobuf.
package tracereceiver

import (
	"compress/gzip"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
)

// Span is one that came.
type Span struct {
	TraceID, ID, ParentID string
	Name                  string
	Start, End            time.Time
	Attrs                 map[string]string
	Error                 bool
}

// Receiver is a running one.
type Receiver struct {
	srv  *http.Server
	addr string

	mu     sync.Mutex
	spans  []Span
	Status int // it answers this and keeps nothing; 0: it takes all
}

// Start listens at an address.
func Start(addr string) (*Receiver, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Receiver{addr: ln.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/traces", r.handleTraces)
	r.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go r.srv.Serve(ln)
	return r, nil
}

// URL is where it takes traces.
func (r *Receiver) URL() string { return "http://" + r.addr + "/v1/traces" }

// Stop cuts all connections.
func (r *Receiver) Stop() { r.srv.Close() }

// Spans are all that came.
func (r *Receiver) Spans() []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Span(nil), r.spans...)
}

// Set changes what it answers.
func (r *Receiver) SetStatus(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Status = status
}

func (r *Receiver) handleTraces(w http.ResponseWriter, req *http.Request) {
	var in io.Reader = req.Body
	if req.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(req.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		in = z
	}
	raw, err := io.ReadAll(io.LimitReader(in, 64<<20))
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Status != 0 {
		http.Error(w, "trouble", r.Status)
		return
	}
	var m collector.ExportTraceServiceRequest
	if err := proto.Unmarshal(raw, &m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, rs := range m.ResourceSpans {
		for _, ss := range rs.ScopeSpans {
			for _, s := range ss.Spans {
				x := Span{TraceID: hex.EncodeToString(s.TraceId), ID: hex.EncodeToString(s.SpanId), ParentID: hex.EncodeToString(s.ParentSpanId), Name: s.Name,
					Start: time.Unix(0, int64(s.StartTimeUnixNano)), End: time.Unix(0, int64(s.EndTimeUnixNano)), Attrs: map[string]string{},
					Error: s.Status != nil && s.Status.Code == 2}
				for _, a := range s.Attributes {
					x.Attrs[a.Key] = a.Value.GetStringValue()
				}
				r.spans = append(r.spans, x)
			}
		}
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	out, _ := proto.Marshal(&collector.ExportTraceServiceResponse{})
	w.Write(out)
}
