// Package tcpserver runs minimal TCP servers and opens connections, for tests of how code handles a
// misbehaving peer.
package tcpserver

import (
	"net"
	"testing"
)

// Start runs a server on a loopback port until the test ends and returns its address as host:port. It calls
// serve for each connection in a separate goroutine and closes the connection when serve returns. The test
// does not wait for these goroutines.
func Start(t testing.TB, serve func(nc net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go Serve(ln, serve)
	return ln.Addr().String()
}

// Serve accepts connections until the listener is closed. It calls serve for each connection in a separate
// goroutine and closes the connection when serve returns.
func Serve(ln net.Listener, serve func(nc net.Conn)) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			serve(nc)
		}()
	}
}

// Connect opens a loopback TCP connection and returns both ends. They are closed when the test ends.
func Connect(t testing.TB) (client, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return client, server
}
