package wsconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"winghatch/internal/socket"
	"winghatch/internal/websocket"
)

// acceptRetryDelay is the delay after an accept that failed, such as for want of file descriptors.
const acceptRetryDelay = time.Millisecond

// Dial opens a connection to host:port and does the client's handshake within the context. The server's rejection is a
// *websocket.HandshakeError.
func Dial(ctx context.Context, addr string, request *websocket.Request, o Options) (*Conn, error) {
	o = o.withDefaults()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	nc := socket.WithRetry(raw)
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) }) // a time in the past ends all I/O
	in := bufio.NewReaderSize(nc, o.ReadBuffer)
	if _, err = nc.Write(request.Bytes()); err == nil {
		err = request.ReadResponse(in)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	return newConn(nc, in, websocket.Client, o), nil
}

// Accept does the server's handshake within the timeout. check, if not nil, may reject the client with a
// *websocket.HandshakeError. The caller writes the response to a rejection and closes nc after any error.
func Accept(nc net.Conn, protocol string, timeout time.Duration, check func(*websocket.Upgrade) error,
	o Options) (*Conn, error) {
	o = o.withDefaults()
	nc = socket.WithRetry(nc)
	in := bufio.NewReaderSize(nc, o.ReadBuffer)
	nc.SetDeadline(time.Now().Add(timeout))
	upgrade, err := websocket.ReadUpgrade(in)
	if err == nil && check != nil {
		err = check(upgrade)
	}
	if err != nil {
		return nil, err
	}
	if _, err := nc.Write(upgrade.Accept(protocol)); err != nil {
		return nil, err
	}
	nc.SetDeadline(time.Time{})
	return newConn(nc, in, websocket.Server, o), nil
}

// Serve calls handle for each connection in a goroutine of its own until the listener is closed. It does not wait for
// these goroutines; each closes its connection when handle returns.
func Serve(ln net.Listener, handle func(net.Conn)) {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		go func() {
			defer nc.Close()
			handle(nc)
		}()
	}
}
