package backend

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"winghatch/internal/invariant"
	"winghatch/internal/jsonrpc"
)

// latencyWeight is the weight of one call in the exponentially weighted mean latency that responses report.
const latencyWeight = 0.1

// job is a received call. The server's mutex guards it.
type job struct {
	conn          *clientConn
	id            jsonrpc.ID
	params        callParams
	class         string
	work          time.Duration // duration on a core of speed 1
	reportedUnits float64       // units that the response reports
	cancelled     bool
	disconnected  bool // the connection has ended, so no response is sent
}

// callParams holds the params of a call from a gateway.
type callParams struct {
	Request   string  `json:"request"`
	Attempt   int     `json:"attempt"`
	Member    string  `json:"member"`
	Key       string  `json:"key"`
	Units     float64 `json:"units"`
	TimeoutMs float64 `json:"timeout_ms"`
	Work      struct {
		Try   string  `json:"try"`        // the client's id of the call
		Units float64 `json:"true_units"` // units that the call turns out to cost; 0: as estimated
		Cost  float64 `json:"cost"`       // factor on the work of the call; 0: 1
	} `json:"work"`
}

// handle processes one message of a gateway. The caller must hold s.mu.
func (s *Server) handle(c *clientConn, m *jsonrpc.Message) {
	if m.Method == "cancel" {
		s.handleCancel(c, m.Params)
		return
	}
	j := &job{conn: c, id: m.ID, class: m.Method}
	if m.Invalid || m.ID == "" || json.Unmarshal(m.Params, &j.params) != nil {
		return
	}
	class, known := s.options.Classes[m.Method]
	if !known {
		c.ws.Send(errorResponse(m.ID, jsonrpc.CodeMethodNotFound, "no such class"))
		return
	}
	j.work = s.drawWork(class, j)
	s.recordReceived(j)
	c.jobs[string(m.ID)] = j
	if s.options.Meter != nil {
		s.options.Meter.add(j.params.Request, j.params.Member, j.params.Units)
	}
	s.checkOverload(time.Now(), j.work)
	s.accept(j, class)
}

// accept runs, queues, answers or ignores a call, depending on the faults and the load. The caller must hold
// s.mu.
func (s *Server) accept(j *job, class Class) {
	switch {
	case s.fault.Unresponsive || s.overloaded:
	case s.rng.Float64() < s.fault.ErrorShare:
		s.reply(j, errorResponse(j.id, jsonrpc.CodeServerError, "injected fault: the call is not run"))
	case class.Deduplicates && j.params.Key != "" &&
		s.options.Dedup.isDuplicate(j.params.Key, class.DedupWindow):
		s.record(invariant.Deduplicated, j)
		s.reply(j, jsonrpc.AppendResult(nil, j.id, s.resultBody(j)))
	case s.running >= s.options.Cores && len(s.queue) >= s.options.Queue:
		s.record(invariant.ServerRejected, j)
		s.reply(j, errorResponse(j.id, jsonrpc.CodeServerFull, "all cores are busy and the queue is full"))
	default:
		s.queue = append(s.queue, j)
		s.startQueued()
	}
}

func errorResponse(id jsonrpc.ID, code int, message string) []byte {
	return jsonrpc.AppendError(nil, id, &jsonrpc.Error{Code: code, Message: message})
}

func (s *Server) handleCancel(c *clientConn, params json.RawMessage) {
	var p struct {
		ID json.RawMessage `json:"id"`
	}
	if json.Unmarshal(params, &p) != nil {
		return
	}
	if j := c.jobs[string(p.ID)]; j != nil {
		s.cancel(j)
	}
}

// cancel prevents a waiting call from being run. A running call is finished. The caller must hold s.mu.
func (s *Server) cancel(j *job) {
	j.cancelled = true
	s.options.Log.Add(invariant.Record{Kind: invariant.Cancelled, Server: s.addr, Request: j.params.Request,
		Attempt: j.params.Attempt, CallID: j.params.Work.Try})
}

// drawWork returns random work for a call, with the mean of its class. The distribution is that of the mean
// of four exponential variables, so that few calls are very short. The caller must hold s.mu.
func (s *Server) drawWork(class Class, j *job) time.Duration {
	factor := (s.rng.ExpFloat64() + s.rng.ExpFloat64() + s.rng.ExpFloat64() + s.rng.ExpFloat64()) / 4
	if cost := j.params.Work.Cost; cost > 0 {
		factor *= cost
	}
	if tail := s.fault.TailFactor[j.class]; tail > 0 && s.rng.Float64() < s.fault.TailShare {
		factor *= tail
	}
	return time.Duration(factor * float64(class.MeanWork))
}

// startQueued starts waiting calls while a core is free. The caller must hold s.mu.
func (s *Server) startQueued() {
	for s.running < s.options.Cores && len(s.queue) > 0 && !s.closed {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.cancelled || j.disconnected {
			delete(j.conn.jobs, string(j.id))
			continue
		}
		s.running++
		s.record(invariant.WorkStarted, j)
		slowdown := max(1, s.fault.Slowdown)
		speed := s.options.Speed * s.capacityShare(time.Now())
		duration := time.Duration(float64(j.work) * slowdown / speed)
		time.AfterFunc(duration, func() { s.finish(j, duration) })
	}
}

// finish ends the run of a call, answers it and starts waiting calls.
func (s *Server) finish(j *job, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.closed {
		return
	}
	s.record(invariant.WorkEnded, j)
	s.completed++
	now := time.Now()
	s.rate = s.rate*math.Exp(-now.Sub(s.rateAt).Seconds()) + 1
	s.rateAt = now
	s.meanLatencyMs += latencyWeight * (duration.Seconds()*1000 - s.meanLatencyMs)
	if !s.fault.UnansweredClasses[j.class] && !s.fault.Unresponsive && !s.overloaded {
		s.reply(j, jsonrpc.AppendResult(nil, j.id, s.resultBody(j)))
	}
	s.startQueued()
}

// resultBody returns the result object of a call and stores the units in it in j.reportedUnits. The caller
// must hold s.mu.
func (s *Server) resultBody(j *job) []byte {
	j.reportedUnits = j.params.Units
	if j.params.Work.Units > 0 {
		j.reportedUnits = j.params.Work.Units
	}
	b := strconv.AppendFloat([]byte(`{"units":`), j.reportedUnits, 'g', -1, 64)
	if s.options.Meter != nil {
		b = append(b, `,"metered":`...)
		b = strconv.AppendInt(b, int64(s.options.Meter.report(j.params.Member)), 10)
	}
	if !s.fault.OmitLoadReport {
		b = append(b, `,"load":{"queue":`...)
		b = strconv.AppendInt(b, int64(len(s.queue)), 10)
		b = append(b, `,"qps":`...)
		b = strconv.AppendFloat(b, s.rate, 'f', 1, 64)
		b = append(b, `,"latency_ms":`...)
		b = strconv.AppendFloat(b, s.meanLatencyMs, 'f', 1, 64)
		b = append(b, '}')
	}
	b = append(b, `,"body":{"node":`...)
	b = append(b, strconv.Quote(s.addr)...)
	return append(b, `}}`...)
}

// reply sends the response to a call, unless its connection has ended. The caller must hold s.mu.
func (s *Server) reply(j *job, response []byte) {
	delete(j.conn.jobs, string(j.id))
	if j.disconnected {
		return
	}
	s.record(invariant.ServerAnswered, j)
	j.conn.ws.Send(response)
}

// recordReceived records the arrival of a call with its units and its deadline, after which the gateway stops
// waiting.
func (s *Server) recordReceived(j *job) {
	r := s.newRecord(invariant.Received, j)
	r.At = s.options.Log.Now()
	r.Units = j.params.Units
	r.Deadline = r.At + time.Duration(j.params.TimeoutMs*float64(time.Millisecond))
	s.options.Log.Add(r)
}

// record records a later step of a call with the units that the response reports.
func (s *Server) record(kind invariant.Kind, j *job) {
	r := s.newRecord(kind, j)
	r.Units = j.reportedUnits
	s.options.Log.Add(r)
}

func (s *Server) newRecord(kind invariant.Kind, j *job) invariant.Record {
	return invariant.Record{
		Kind:    kind,
		Server:  s.addr,
		Zone:    s.options.Zone,
		Cell:    s.options.Cell,
		Request: j.params.Request,
		Attempt: j.params.Attempt,
		CallID:  j.params.Work.Try,
		Member:  j.params.Member,
		Class:   j.class,
		Key:     j.params.Key,
		Work:    j.work,
	}
}
