package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// workFunc returns how long a server works on a request, from its class's path and the number of requests that
// the server had before.
type workFunc func(r *http.Request) time.Duration

// server is a sound server: it runs a request once its last byte has come, and answers it with a body made for
// it.
type server struct {
	uid, addr string
	rec       *record
	work      workFunc
	inFlight  atomic.Int64
}

func startServer(uid string, rec *record, work workFunc) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{uid: uid, addr: ln.Addr().String(), rec: rec, work: work}
	go (&http.Server{Handler: s, IdleTimeout: 30 * time.Second}).Serve(ln)
	return s, nil
}

// answerTo returns the body that a server answers to the request with the given id.
func answerTo(txn string) string { return "answer made for " + txn + "\n" }

func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	txn := r.Header.Get("X-Txn")
	if _, err := io.Copy(io.Discard, r.Body); err != nil || txn == "" {
		http.NotFound(rw, r)
		return
	}
	s.rec.add("%s runs %s told %s", s.uid, txn, r.Header.Get("X-Remaining-Ms"))
	n := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	time.Sleep(s.work(r))
	rw.Header().Set("X-Pressure", fmt.Sprintf("backlog=0,throughput=%d,recent_ms=60", 10+n))
	rw.Header().Set("X-Quota-Used", "10")
	io.WriteString(rw, answerTo(txn))
}
