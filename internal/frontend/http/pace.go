package http

import (
	"net/http"
	"sync"
	"time"

	"winghatch/internal/frontend/pacing"
)

const (
	// pauseLogInterval is the shortest time between two log lines about connections that have to pause.
	pauseLogInterval = time.Second
	// maxPausedChecks is the number of sockets that evictPaused checks; each costs two system calls.
	// maxPausedScans is the number of connections among which it looks for these.
	maxPausedChecks = 2
	maxPausedScans  = 16
	// pausedRetention is the time after a pause for which evictPaused still prefers the connection. Between two pauses
	// a client that sends without pause would otherwise outlast quiet ones.
	pausedRetention = time.Second
)

// After maxSmallReads reads of less than smallReadBytes for one message, the reader pauses for smallReadPause
// before each further read.
const (
	smallReadBytes = 256
	maxSmallReads  = 4
	smallReadPause = 4 * time.Millisecond
)

// Reads and bytes of a request that are not charged to a client that has awaited the answer to its last request.
const (
	freeReads = 4
	freeBytes = maxHeadBytes
)

// pacer holds the budget for the input of all connections and limits the log lines about pauses.
type pacer struct {
	mu         sync.Mutex // guards the fields below; no system call is made with it held
	budget     *pacing.Budget
	loggedAt   time.Duration // time of the last log line; 0: none
	suppressed int           // connections that began to pause without a log line since loggedAt
}

// newAccount returns the account of a new connection.
func (p *pacer) newAccount(now time.Duration) pacing.Account {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.NewAccount(now)
}

// charge adds work of a connection to the budget and returns how long the connection must pause.
func (p *pacer) charge(now time.Duration, account *pacing.Account, work pacing.Work, conns int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Charge(now, account, work, conns)
}

// chargeAccept adds a new connection to the budget and returns how long accepting must pause.
func (p *pacer) chargeAccept(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.ChargeAccept(now)
}

// noteLag records by how much a pause ended too late.
func (p *pacer) noteLag(now, lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.NoteLag(now, lag)
}

// shouldLog reports whether the first pause of a connection gets a log line, and how many did not get one
// since the last line.
func (p *pacer) shouldLog(now time.Duration) (suppressed int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loggedAt > 0 && now-p.loggedAt < pauseLogInterval {
		p.suppressed++
		return 0, false
	}
	suppressed, p.suppressed, p.loggedAt = p.suppressed, 0, now
	return suppressed, true
}

// inputState holds what the input of one connection has cost. Only the reader goroutine uses it.
type inputState struct {
	account       pacing.Account
	work          pacing.Work // work since the last charge
	total         pacing.Work // work charged so far
	message       pacing.Work // reads and bytes of the message that is being read
	chargedChunks int         // the part of http1.Reader.Chunks that has been charged
	smallReads    int         // reads of few bytes since the last message, see awaitMoreBytes
	isPipelined   bool        // whether the message being read was sent before the last one was answered
	nextPipelined bool        // whether a byte after the open request was read before its answer
	pauseLogged   bool        // whether logFirstPause was called
	// pausedBeforeRead says whether the reader has paused since its last read, and pausedAt when the first of
	// these pauses began.
	pausedBeforeRead bool
	pausedAt         time.Duration
}

// beginMessage prepares for the next message. It is called before the reader waits for it.
func (c *conn) beginMessage() {
	c.input.smallReads = 0
	c.input.isPipelined, c.input.nextPipelined = c.input.nextPipelined, false
}

// noteInput counts n bytes that were read from the socket.
func (i *inputState) noteInput(n int) {
	i.message.Reads++
	i.message.Bytes += n
	i.work.Reads++
	i.work.Bytes += n
}

// refundRequest takes back the work of reading a request whose client has awaited the answer to the one before, as
// long as the request came in few reads. Such a client limits itself. It would otherwise wait beside hundreds of
// connections, whose equal parts are smaller than a few requests a second.
func (i *inputState) refundRequest() {
	i.work.Reads -= min(i.message.Reads, i.work.Reads, freeReads)
	i.work.Bytes -= min(i.message.Bytes, i.work.Bytes, freeBytes)
}

// endMessage begins the count for the next message. It is called before the answer, because the reader may read the
// next message while it waits for that.
func (i *inputState) endMessage() { i.message = pacing.Work{} }

// pace charges the work that the client has caused since the last charge, and pauses if the client sends more
// than its share. Its further bytes wait in the socket. The reader calls it without a lock before it takes
// more input.
func (c *conn) pace() {
	chunks := c.reader.Chunks()
	c.input.work.Chunks += chunks - c.input.chargedChunks
	c.input.chargedChunks = chunks
	if !c.input.work.IsChargeable() {
		return
	}
	s := c.server
	now := s.clock()
	wait := s.pacer.charge(now, &c.input.account, c.input.work, int(s.Conns.Load()))
	c.input.total = c.input.total.Add(c.input.work)
	c.input.work = pacing.Work{}
	if wait <= 0 {
		return
	}
	if !c.input.pauseLogged {
		c.input.pauseLogged = true
		c.logFirstPause(now)
	}
	c.pause(now, wait, true)
}

// pause waits, at most until the connection or the server is closed. sendsMuch says that the client sends more than
// its share.
func (c *conn) pause(now, wait time.Duration, sendsMuch bool) {
	s := c.server
	if !c.beginPause() {
		return
	}
	if !c.input.pausedBeforeRead {
		c.input.pausedAt, c.input.pausedBeforeRead = now, true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		end := s.clock()
		s.pacer.noteLag(end, end-now-wait)
	case <-c.pauseEnd:
	case <-s.quit:
	}
	c.finishPause(sendsMuch)
	s.Pauses.Add(1)
	s.PauseTime.Add(int64(s.clock() - now))
}

// beginPause lists the connection in Server.paused. It returns false if the connection is closing.
func (c *conn) beginPause() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.phase == closing {
		return false
	}
	c.isPausing = true
	if c.pausedElem == nil {
		c.pausedElem = s.paused.PushBack(c)
	}
	return true
}

// finishPause notes the end of a pause. If the client sends more than its share, the connection stays in
// Server.paused for pausedRetention.
func (c *conn) finishPause(sendsMuch bool) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.isPausing, c.pauseEndedAt = false, s.clock()
	if !sendsMuch {
		c.removePaused()
	}
}

// awaitMoreBytes pauses before a read if the client sends the current message in very small parts. Each part
// would otherwise cost a read and a run of the reader.
func (c *conn) awaitMoreBytes() {
	if c.input.smallReads < maxSmallReads {
		return
	}
	c.pause(c.server.clock(), smallReadPause, false)
}

// removePaused removes the connection from Server.paused if it is listed there. The caller holds Server.mu.
func (c *conn) removePaused() {
	if c.pausedElem != nil {
		c.server.paused.Remove(c.pausedElem)
		c.pausedElem = nil
	}
}

// endPause wakes the reader if it pauses, because the connection is closing. The caller holds Server.mu.
func (c *conn) endPause() {
	c.removePaused()
	if c.isPausing {
		c.isPausing = false
		c.pauseEnd <- struct{}{}
	}
}

// evictPaused ends a connection whose reader pauses, or has paused lately as its client sends more than its share, if
// there is one: preferably one whose client has left. Clients that send much, or come again on new connections, would
// otherwise take the room of others for as long as the pauses last. The caller holds mu and calls unlockAndClose.
func (s *Server) evictPaused() {
	var victim *conn
	now := s.clock()
	checks := 0
	for range min(maxPausedScans, s.paused.Len()) {
		elem := s.paused.Front()
		s.paused.MoveToBack(elem) // the next call checks others
		c := elem.Value.(*conn)
		switch {
		case !c.isPausing && now-c.pauseEndedAt > pausedRetention:
			c.removePaused()
			continue
		case c.phase == active:
			continue
		case c.isHungUp():
			c.clientGone = true
			c.setPhase(closing)
			c.abort()
			s.toClose = append(s.toClose, c)
			return
		}
		victim = c
		if checks++; checks == maxPausedChecks {
			break
		}
	}
	if victim != nil {
		s.Evicted.Add(1)
		victim.closeInactive(http.StatusServiceUnavailable, "too many connections")
	}
}

// logFirstPause logs that the client is slowed down, with what it has sent so far.
func (c *conn) logFirstPause(now time.Duration) {
	suppressed, ok := c.server.pacer.shouldLog(now)
	if !ok {
		return
	}
	c.server.log.Warn("Client sends more than its share, reading more slowly",
		"client", c.nc.RemoteAddr().String(), "conn", uint64(c.id),
		"health_checks", c.input.total.HealthChecks, "bad_requests", c.input.total.BadRequests,
		"pipelined_requests", c.input.total.PipelinedRequests, "reads", c.input.total.Reads,
		"bytes", c.input.total.Bytes, "chunks", c.input.total.Chunks,
		"not_logged", suppressed)
}
