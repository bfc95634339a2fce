package platform

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"
)

// A bind may fail temporarily, because the previous process still holds the address or the machine is out of
// buffers.
const (
	bindTimeout    = 5 * time.Second       // time after which a failed bind is final
	bindRetryPause = 20 * time.Millisecond // pause between two attempts to bind
)

// retryBind calls bind until it succeeds or bindTimeout has passed, and returns the last result.
func retryBind[T any](log *slog.Logger, bind func() (T, error)) (T, error) {
	deadline := time.Now().Add(bindTimeout)
	for attempt := 0; ; attempt++ {
		v, err := bind()
		if err == nil || time.Now().After(deadline) {
			return v, err
		}
		if attempt == 0 {
			log.Warn("Bind failed, retrying", "err", err)
		}
		time.Sleep(bindRetryPause)
	}
}

// listen binds the TCP address for clients.
func listen(addr string, log *slog.Logger) (*net.TCPListener, error) {
	config := net.ListenConfig{KeepAlive: -1} // no probes, because package connlimit times silent clients out
	ln, err := retryBind(log, func() (net.Listener, error) {
		return config.Listen(context.Background(), "tcp", addr)
	})
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// listenPeers binds the UDP address for gossip.
func listenPeers(addr string, log *slog.Logger) (*net.UDPConn, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("resolve %q: %w", addr, err)
	}
	return retryBind(log, func() (*net.UDPConn, error) { return net.ListenUDP("udp", udpAddr) })
}
