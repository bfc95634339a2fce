// Package tracereceiver is an emulated receiver of OpenTelemetry traces for tests: OTLP over HTTP with protobuf. It
// keeps all spans in memory.
package tracereceiver

import (
	"compress/gzip"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"winghatch/internal/testbed/httpreceiver"
)

const maxBodyBytes = 64 << 20

// Span is a span that was received. Its ids are hexadecimal.
type Span struct {
	TraceID, ID, ParentID string
	Name                  string
	Start, End            time.Time
	Attrs                 map[string]string // those with string values
	Error                 bool
}

// Receiver is a running receiver.
type Receiver struct {
	server *httpreceiver.Server

	mu     sync.Mutex
	spans  []Span
	Status int // it answers with this status and keeps nothing; 0: it keeps all
}

// Start listens at an address. Stop ends the goroutine that it starts.
func Start(addr string) (*Receiver, error) {
	r := &Receiver{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/traces", r.handleTraces)
	server, err := httpreceiver.Start(addr, mux)
	if err != nil {
		return nil, err
	}
	r.server = server
	return r, nil
}

// URL returns the address of the traces.
func (r *Receiver) URL() string { return "http://" + r.server.Addr() + "/v1/traces" }

// Stop closes all connections.
func (r *Receiver) Stop() { r.server.Stop() }

// Spans returns all spans that were received.
func (r *Receiver) Spans() []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Span(nil), r.spans...)
}

// SetStatus changes the status of the answers; 0: spans are kept.
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
		http.Error(w, "trouble", r.Status)
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
