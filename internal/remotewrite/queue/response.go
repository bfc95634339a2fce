package queue

import "time"

// HTTP statuses that have a meaning of their own. Decisions do not import net/http.
const (
	statusEntityTooLarge       = 413
	statusUnsupportedMediaType = 415
	statusTooManyRequests      = 429
)

// Response is a receiver's answer to a batch.
type Response struct {
	Status         int  // HTTP status; 0: there was no answer
	BodySent       bool // all of the batch was sent before the answer came
	VersionTwo     bool // the batch was of remote write 2.0
	WrittenCounted bool // the answer has the headers that say what was written
	RetryAfter     time.Duration
}

// Verdict is what a response means for a batch.
type Verdict int

// The verdicts.
const (
	Accepted  Verdict = iota // all items were taken
	Retry                    // the batch may be accepted later
	Rejected                 // an item of it never will be
	Downgrade                // the receiver accepts remote write 1.0 only: the batch is sent again in that
)

// classify reads a response by the rules of remote write 1.0 and 2.0 ("Retries & Backoff", "Required Written Response
// Headers"): 5xx and 429 are retried, other 4xx are not; a 415 to 2.0, or a 2xx that does not say what was written,
// means that the receiver accepts 1.0 only. An answer that came before the batch was sent acknowledges nothing.
func classify(r Response) Verdict {
	switch {
	case r.Status >= 200 && r.Status < 300:
		switch {
		case !r.BodySent:
			return Retry
		case r.VersionTwo && !r.WrittenCounted:
			return Downgrade
		}
		return Accepted
	case r.VersionTwo && r.Status == statusUnsupportedMediaType:
		return Downgrade
	case r.Status == statusTooManyRequests || r.Status >= 500 || r.Status < 400:
		return Retry
	}
	return Rejected
}
