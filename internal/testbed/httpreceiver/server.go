// Package httpreceiver has what the emulated receivers of metrics, usage and traces share: the HTTP server and its
// faults.
package httpreceiver

import (
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds how long a client may take to send a request's header.
const headerTimeout = 5 * time.Second

// Server is a running HTTP server.
type Server struct {
	http *http.Server
	addr string
}

// Start listens at an address. Stop ends the goroutine that it starts.
func Start(addr string, handler http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		addr: ln.Addr().String(),
	}
	go s.http.Serve(ln)
	return s, nil
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.addr }

// Stop closes all connections, as a kill would.
func (s *Server) Stop() { s.http.Close() }
