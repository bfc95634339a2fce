package queue

import "time"

// HTTP statuses that classify handles individually. They are defined here because this package decides only
// and does not import net/http.
const (
	statusEntityTooLarge       = 413
	statusUnsupportedMediaType = 415
	statusTooManyRequests      = 429
)

// Response describes the response of the receiver to a batch.
type Response struct {
	// Status is the HTTP status. Zero means that there was no response.
	Status int
	// BodySent reports whether the whole batch was sent before the response arrived.
	BodySent bool
	// SentV2 reports whether the batch was sent as remote write 2.0.
	SentV2 bool
	// HasWrittenHeaders reports whether the response has one of the headers of remote write 2.0 that state
	// how many samples or histograms were written.
	HasWrittenHeaders bool
	// RetryAfter is the delay that the receiver asked for. Zero means that it asked for none.
	RetryAfter time.Duration
}

// Verdict is the meaning of a response for the batch.
type Verdict int

// The verdicts.
const (
	Accepted  Verdict = iota // the receiver accepted all items
	Retry                    // the receiver may accept the batch later
	Rejected                 // the receiver will never accept at least one of the items
	Downgrade                // the receiver supports only remote write 1.0; send the batch again as 1.0
)

// classify evaluates a response by the rules of the remote write specifications 1.0 and 2.0 (sections
// "Retries & Backoff" and "Required Written Response Headers"). Statuses 5xx and 429 are retried, other 4xx
// are not. A 415 for a 2.0 batch, or a 2xx without the headers that state what was written, means that the
// receiver supports only 1.0. A 2xx that arrived before the whole batch was sent does not acknowledge the
// batch, so the batch is retried. All other responses, such as redirects, and no response at all are
// retried too.
func classify(r Response) Verdict {
	switch {
	case r.Status >= 200 && r.Status < 300:
		switch {
		case !r.BodySent:
			return Retry
		case r.SentV2 && !r.HasWrittenHeaders:
			return Downgrade
		}
		return Accepted
	case r.SentV2 && r.Status == statusUnsupportedMediaType:
		return Downgrade
	case r.Status == statusTooManyRequests || r.Status >= 500 || r.Status < 400:
		return Retry
	}
	return Rejected
}
