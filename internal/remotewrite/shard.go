package remotewrite

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/golang/snappy"

	"winghatch/internal/httppost"
	"winghatch/internal/remotewrite/queue"
)

// HTTP headers of the remote write protocol and their values.
const (
	headerVersion           = "X-Prometheus-Remote-Write-Version"
	headerSamplesWritten    = "X-Prometheus-Remote-Write-Samples-Written"
	headerHistogramsWritten = "X-Prometheus-Remote-Write-Histograms-Written"

	contentTypeV1 = "application/x-protobuf"
	contentTypeV2 = "application/x-protobuf;proto=io.prometheus.write.v2.Request"
	versionV1     = "0.1.0"
	versionV2     = "2.0.0"
)

// shard sends the samples of the series that are assigned to it by hash, one batch at a time, so that each
// series stays in order.
type shard struct {
	writer *Writer
	mu     sync.Mutex // guards queue
	queue  *queue.Queue
	wake   chan struct{} // notify sends an element when samples are enqueued or the writer closes
}

// notify wakes the goroutine in run so that it checks the queue. It never blocks.
func (s *shard) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run sends batches until the context ends or, once the writer is closing, until the queue is empty.
// Writer.Run starts it in a goroutine and waits for it to return.
func (s *shard) run(ctx context.Context) {
	for ctx.Err() == nil {
		batch := s.nextBatch()
		if len(batch) == 0 {
			if s.writer.closing.Load() {
				return
			}
			select {
			case <-ctx.Done():
			case <-s.wake:
			}
			continue
		}
		response, reason := s.writer.send(ctx, batch)
		s.mu.Lock()
		verdict, wait := s.queue.HandleResponse(response)
		s.mu.Unlock()
		s.logVerdict(verdict, reason, len(batch))
		if wait > 0 {
			s.backOff(ctx, wait)
		}
	}
}

// nextBatch returns the samples to send now. It returns an empty batch if there are none.
func (s *shard) nextBatch() []*Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := s.queue.Next(time.Since(s.writer.startedAt))
	batch := make([]*Sample, len(items))
	for i, it := range items {
		batch[i] = it.Data.(*Sample)
	}
	return batch
}

// logVerdict logs rejected samples. It also switches the writer to remote write 1.0 if the receiver does not
// support 2.0, and logs that once.
func (s *shard) logVerdict(v queue.Verdict, reason string, samples int) {
	log := s.writer.options.Log
	switch v {
	case queue.Downgrade:
		if !s.writer.useV1.Swap(true) {
			log.Warn("Receiver supports only remote write 1.0", "reason", reason)
		}
	case queue.Rejected:
		log.Warn("Receiver rejected samples", "reason", reason, "count", samples)
	}
}

// backOff waits for the given time, or until the context ends, and then resumes the queue.
func (s *shard) backOff(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Resume()
}

// send sends one batch in the protocol version that the receiver accepts. The second result is the reason
// why the batch was not accepted, or empty if it was.
func (w *Writer) send(ctx context.Context, batch []*Sample) (queue.Response, string) {
	useV1 := w.useV1.Load()
	encode, contentType, version := encodeV2, contentTypeV2, versionV2
	if useV1 {
		encode, contentType, version = encodeV1, contentTypeV1, versionV1
	}
	raw, err := encode(batch)
	if err != nil {
		// A batch that cannot be encoded never will be, so it is handled as if the receiver had rejected
		// it.
		return queue.Response{Status: http.StatusBadRequest}, err.Error()
	}
	header := http.Header{
		"Content-Type":     {contentType},
		"Content-Encoding": {"snappy"},
		headerVersion:      {version},
		"User-Agent":       {"winghatch"},
	}
	res := httppost.Post(ctx, &w.client, w.options.URL, header, snappy.Encode(nil, raw))
	return queue.Response{
		Status:   res.Status,
		BodySent: res.BodySent,
		SentV2:   !useV1,
		HasWrittenHeaders: res.Header.Get(headerSamplesWritten) != "" ||
			res.Header.Get(headerHistogramsWritten) != "",
		RetryAfter: res.RetryAfter,
	}, res.Reason
}
