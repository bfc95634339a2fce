// Package httpreceiver provides the HTTP server and the fault responses that the emulated receivers of
// metrics, usage and traces share.
package httpreceiver

import (
	"net/http"
	"time"

	"winghatch/internal/testbed/ports"
)

// headerTimeout bounds the time in which a client must send the header of a request.
const headerTimeout = 5 * time.Second

// Server is a running HTTP server.
type Server struct {
	http *http.Server
	addr string
}

// Start serves HTTP on addr in a goroutine that ends with Stop. It returns an error if addr cannot be bound.
func Start(addr string, handler http.Handler) (*Server, error) {
	ln, err := ports.Listen(addr)
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

// Addr returns the listen address as host:port.
func (s *Server) Addr() string { return s.addr }

// Stop closes the listener and all connections at once, as if the process were killed.
func (s *Server) Stop() { s.http.Close() }
