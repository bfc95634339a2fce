package quotaplan

import "time"

const (
	// queryInterval is the time between queries of the acceptor for the changes of the other gateways.
	queryInterval = 100 * time.Millisecond
	// maxQueries is the number of gateways that are asked at once. Their answers count against the messages
	// that a gateway can receive.
	maxQueries = 2
	// settleTime is how long the acceptor waits before its first query: messages with what an earlier process
	// accepted may still be on their way to other gateways.
	settleTime = 500 * time.Millisecond
)

// An acceptor that starts with a new folder may have accepted reservations before, with a folder that was lost.
// It accepts none until its set has been equal to that of each other gateway once, so that it has everything
// that they have. From then on it is complete, and Settings.Complete tells that to its later processes.

// startQueries schedules the first query, if this gateway is an acceptor with a new folder.
func (r *Replica) startQueries() { r.queryAt = r.now.Mono + settleTime }

// queryPeers asks some of the gateways that were not heard yet for the digest of their set, in rotation.
func (r *Replica) queryPeers() {
	if r.complete || r.now.Mono < r.queryAt {
		return
	}
	r.queryAt = r.now.Mono + queryInterval
	asked := 0
	for range r.heard {
		r.queryTurn = (r.queryTurn + 1) % len(r.heard)
		if r.heard[r.queryTurn] {
			continue
		}
		r.emit(Send{r.queryTurn, []byte{messageQuery}})
		if asked++; asked >= maxQueries {
			return
		}
	}
}

// receiveDigest notes that a gateway has the same set, or starts a comparison with it.
func (r *Replica) receiveDigest(from int, m digestMessage) {
	if r.complete {
		return
	}
	changes, hash := r.Digest()
	if m.changes != uint64(changes) || m.hash != hash {
		r.startComparison(from)
		return
	}
	r.heard[from] = true
	for _, heard := range r.heard {
		if !heard {
			return
		}
	}
	r.complete = true
	r.emit(PersistComplete{})
	r.decideNext()
}
