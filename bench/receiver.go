package main

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// receiver is an HTTP receiver that accepts everything and stores nothing. While it is down, it responds with
// 503.
type receiver struct {
	addr     string
	down     atomic.Bool
	received atomic.Int64 // bytes of request bodies received so far
}

// startReceiver starts a receiver on a loopback port. Its goroutines end with the process.
func startReceiver() (*receiver, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &receiver{addr: ln.Addr().String()}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		s.received.Add(n)
		w.WriteHeader(http.StatusAccepted)
	}))
	return s, nil
}
