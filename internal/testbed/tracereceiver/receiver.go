// Package tracereceiver emulates a receiver of OpenTelemetry traces for tests. It accepts OTLP over HTTP in
// protobuf encoding and keeps all spans in memory.
package tracereceiver

import (
	"compress/gzip"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"winghatch/internal/testbed/httpreceiver"
)

// maxBodyBytes bounds the uncompressed body of one request; the rest is not read.
const maxBodyBytes = 64 << 20

// Span is a received span. Its ids are in hexadecimal; ParentID is empty for a root span.
type Span struct {
	TraceID, ID, ParentID string
	Name                  string
	Start, End            time.Time
	Attrs                 map[string]string // values of string attributes by name; other values are empty
	Error                 bool              // whether the span's status is an error
}

// Receiver is a running trace receiver. Its methods are safe for concurrent use.
type Receiver struct {
	server *httpreceiver.Server

	mu     sync.Mutex
	spans  []Span
	Status int // HTTP status of the responses; spans are stored only if it is 0; set by SetStatus
}

// Start serves HTTP on addr in a goroutine that ends with Stop. It returns an error if addr cannot be bound.
func Start(addr string) (*Receiver, error) {
	r := &Receiver{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/traces", r.handleTraces)
	server, err := httpreceiver.Start(addr, mux)
	if err != nil {
		return nil, fmt.Errorf("tracereceiver: %w", err)
	}
	r.server = server
	return r, nil
}

// URL returns the URL to which traces are posted.
func (r *Receiver) URL() string { return "http://" + r.server.Addr() + "/v1/traces" }

// Stop closes the listener and all connections.
func (r *Receiver) Stop() { r.server.Stop() }

// Spans returns a copy of all stored spans in order of arrival.
func (r *Receiver) Spans() []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Span(nil), r.spans...)
}

// SetStatus sets the HTTP status of the following responses. While it is not 0, received spans are discarded.
func (r *Receiver) SetStatus(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Status = status
}

func (r *Receiver) handleTraces(w http.ResponseWriter, req *http.Request) {
	raw, err := readBody(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Status != 0 {
		http.Error(w, "injected fault: spans are not stored", r.Status)
		return
	}
	var request collector.ExportTraceServiceRequest
	if err := proto.Unmarshal(raw, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, resource := range request.ResourceSpans {
		for _, scope := range resource.ScopeSpans {
			for _, span := range scope.Spans {
				r.spans = append(r.spans, newSpan(span))
			}
		}
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	out, _ := proto.Marshal(&collector.ExportTraceServiceResponse{})
	w.Write(out)
}

func readBody(req *http.Request) ([]byte, error) {
	var in io.Reader = req.Body
	if req.Header.Get("Content-Encoding") == "gzip" {
		unzipped, err := gzip.NewReader(req.Body)
		if err != nil {
			return nil, err
		}
		in = unzipped
	}
	return io.ReadAll(io.LimitReader(in, maxBodyBytes))
}

func newSpan(s *tracepb.Span) Span {
	span := Span{
		TraceID:  hex.EncodeToString(s.TraceId),
		ID:       hex.EncodeToString(s.SpanId),
		ParentID: hex.EncodeToString(s.ParentSpanId),
		Name:     s.Name,
		Start:    time.Unix(0, int64(s.StartTimeUnixNano)),
		End:      time.Unix(0, int64(s.EndTimeUnixNano)),
		Attrs:    map[string]string{},
		Error:    s.Status != nil && s.Status.Code == tracepb.Status_STATUS_CODE_ERROR,
	}
	for _, a := range s.Attributes {
		span.Attrs[a.Key] = a.Value.GetStringValue()
	}
	return span
}
