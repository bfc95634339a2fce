package platform

import (
	"context"
	"log/slog"
	"net"
	"time"
)

// An address may be refused for a moment: the process before may hold it still, or the machine be out of buffers.
const (
	bindTimeout    = 5 * time.Second
	bindRetryPause = 20 * time.Millisecond
)

// bind tries again what fails for a moment.
func retryBind[T any](log *slog.Logger, try func() (T, error)) (T, error) {
	until := time.Now().Add(bindTimeout)
	for n := 0; ; n++ {
		v, err := try()
		if err == nil || time.Now().After(until) {
			return v, err
		}
		if n == 0 {
			log.Warn("an address can't be bound, tries again", "err", err)
		}
		time.Sleep(bindRetryPause)
	}
}

// listen binds the address where clients connect.
func listen(addr string, log *slog.Logger) (*net.TCPListener, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	ln, err := retryBind(log, func() (net.Listener, error) { return lc.Listen(context.Background(), "tcp", addr) })
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// listenPeers binds the address of datagrams.
func listenPeers(addr string, log *slog.Logger) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	return retryBind(log, func() (*net.UDPConn, error) { return net.ListenUDP("udp", at) })
}
