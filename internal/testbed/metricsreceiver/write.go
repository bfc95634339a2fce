package metricsreceiver

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/golang/snappy"

	"winghatch/internal/remotewrite"
	"winghatch/internal/testbed/httpreceiver"
)

// maxBodyBytes bounds the compressed size of a batch.
const maxBodyBytes = 64 << 20

// handleWrite receives a batch as the remote-write specification requires, except for the configured faults.
func (r *Receiver) handleWrite(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	fault := r.fault
	r.mu.Unlock()
	time.Sleep(fault.Delay)
	if fault.RespondEarly {
		httpreceiver.RespondEarly(w)
		return
	}
	raw, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if fault.Status != 0 {
		httpreceiver.RespondStatus(w, fault.Status, fault.RetryAfter)
		return
	}
	v2 := strings.Contains(req.Header.Get("Content-Type"), "io.prometheus.write.v2")
	if fault.MisreadsV2 && v2 {
		return
	}
	if err := checkHeader(req, v2, fault); err != nil {
		http.Error(w, err.Error(), http.StatusUnsupportedMediaType)
		return
	}
	samples, err := decodeBatch(raw, v2)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fault.MaxSamples > 0 && len(samples) > fault.MaxSamples {
		http.Error(w, fmt.Sprintf("batch has %d samples, want at most %d", len(samples), fault.MaxSamples),
			http.StatusRequestEntityTooLarge)
		return
	}
	names, err := seriesNames(samples, fault)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.store(samples, names, req.Header.Get(versionHeader), len(raw))
	if fault.DropConnection {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	if v2 {
		reportWritten(w, samples)
	}
	w.WriteHeader(http.StatusNoContent)
}

const versionHeader = "X-Prometheus-Remote-Write-Version"

func checkHeader(req *http.Request, v2 bool, fault Fault) error {
	if fault.OnlyV1 && v2 {
		return fmt.Errorf("Content-Type is %q, want prometheus.WriteRequest (remote write 1.0)",
			req.Header.Get("Content-Type"))
	}
	version2 := req.Header.Get(versionHeader) == "2.0.0"
	if req.Header.Get("Content-Encoding") != "snappy" || v2 != version2 {
		return fmt.Errorf("Content-Encoding is %q, %s is %q, want snappy and the version of Content-Type %q",
			req.Header.Get("Content-Encoding"), versionHeader, req.Header.Get(versionHeader),
			req.Header.Get("Content-Type"))
	}
	return nil
}

func decodeBatch(raw []byte, v2 bool) ([]remotewrite.Sample, error) {
	body, err := snappy.Decode(nil, raw)
	if err != nil {
		return nil, err
	}
	if v2 {
		return remotewrite.DecodeV2(body)
	}
	return remotewrite.DecodeV1(body)
}

// seriesNames returns the series name of each sample, or an error if fault.Reject matches one of them.
func seriesNames(samples []remotewrite.Sample, fault Fault) (names []string, err error) {
	for _, s := range samples {
		name := seriesName(s.Series)
		if fault.Reject != "" && strings.Contains(name, fault.Reject) {
			return nil, fmt.Errorf("series %s: rejected by an injected fault, because it contains %q",
				name, fault.Reject)
		}
		names = append(names, name)
	}
	return names, nil
}

func (r *Receiver) store(samples []remotewrite.Sample, names []string, version string, size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range samples {
		r.add(names[i], s)
	}
	r.Batches[version]++
	r.Bytes += size
	r.Samples += len(samples)
}

// reportWritten sets the response headers from which a 2.0 sender learns that the receiver understood its
// batch.
func reportWritten(w http.ResponseWriter, samples []remotewrite.Sample) {
	floats, histograms := 0, 0
	for _, s := range samples {
		if s.Histogram != nil {
			histograms++
		} else {
			floats++
		}
	}
	w.Header().Set("X-Prometheus-Remote-Write-Samples-Written", strconv.Itoa(floats))
	w.Header().Set("X-Prometheus-Remote-Write-Histograms-Written", strconv.Itoa(histograms))
	w.Header().Set("X-Prometheus-Remote-Write-Exemplars-Written", "0")
}
