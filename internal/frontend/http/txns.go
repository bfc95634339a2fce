package http

import (
	"container/list"
	"sync/atomic"
	"time"

	"winghatch/decide"
)

const (
	// txnRetention is the time for which the X-Txn of a request is refused whose client left before its answer.
	// A client that comes again does so within seconds; servers may still run a forwarded attempt meanwhile.
	txnRetention = time.Minute
	// maxRetainedTxns limits the X-Txn values that are retained; the oldest is forgotten first.
	maxRetainedTxns = 4096
)

// txnTable holds the X-Txn values that a new request must not have: those of open requests, and those of
// requests that may have run for a client that left before it had the answer. Such a client may send its request
// again, and servers would run it again. Server.mu guards the table.
type txnTable struct {
	entries  map[string]*txnEntry
	retained list.List // *txnEntry values with expiresAt, the first to expire first
}

// txnEntry is the entry of one request.
type txnEntry struct {
	txn          string
	isRepeatable bool // see the function isRepeatable
	// forwarded says whether an attempt may have reached a server. A transport sets it from its own goroutine.
	forwarded  atomic.Bool
	clientGone bool          // whether the client left before the answer
	expiresAt  time.Duration // end of the retention; 0: not retained
}

// isRepeatable reports whether a second run of a request of the class does no harm at any time: the class is
// safe, or servers recognize its idempotency key without a time limit.
func isRepeatable(class *decide.Class) bool {
	return class.Idempotency == decide.Idempotent ||
		class.Idempotency == decide.IdempotentByKey && class.DedupWindow == 0
}

// add adds the entry of a new request. It returns nil if the X-Txn must not be used.
func (t *txnTable) add(now time.Duration, txn string, isRepeatable bool) *txnEntry {
	t.removeExpired(now)
	if t.entries[txn] != nil {
		return nil
	}
	e := &txnEntry{txn: txn, isRepeatable: isRepeatable}
	t.entries[txn] = e
	return e
}

// answered removes the entry of a request whose client has its answer. The client may use the X-Txn again.
func (t *txnTable) answered(e *txnEntry) { t.remove(e) }

// abandoned notes that the client of a request left before it had the answer.
func (t *txnTable) abandoned(e *txnEntry) {
	if e.isRepeatable {
		t.remove(e)
		return
	}
	e.clientGone = true
}

// released notes that the core no longer holds a request, so no further attempt begins. If its client left and
// an attempt may have run, the X-Txn is retained.
func (t *txnTable) released(now time.Duration, e *txnEntry) {
	if !e.clientGone || t.entries[e.txn] != e {
		return
	}
	if !e.forwarded.Load() {
		t.remove(e)
		return
	}
	e.expiresAt = now + txnRetention
	t.retained.PushBack(e)
	if t.retained.Len() > maxRetainedTxns {
		t.removeOldest()
	}
}

// removeExpired removes the entries whose retention has ended.
func (t *txnTable) removeExpired(now time.Duration) {
	for t.retained.Len() > 0 && t.retained.Front().Value.(*txnEntry).expiresAt <= now {
		t.removeOldest()
	}
}

// removeOldest removes the retained entry that expires first.
func (t *txnTable) removeOldest() {
	t.remove(t.retained.Remove(t.retained.Front()).(*txnEntry))
}

// remove removes an entry unless the X-Txn is another request's by now.
func (t *txnTable) remove(e *txnEntry) {
	if t.entries[e.txn] == e {
		delete(t.entries, e.txn)
	}
}
