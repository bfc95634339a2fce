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

// acceptRetryDelay is the delay after a failed accept, for example when the process has run out of file
// descriptors.
const acceptRetryDelay = time.Millisecond

// Dial connects to addr, which is a host:port, and performs the client side of the opening handshake. ctx
// limits both but does not affect the returned connection. The error is a *websocket.HandshakeError if the
// server rejects the handshake.
func Dial(ctx context.Context, addr string, request *websocket.Request, o Options) (*Conn, error) {
	o = o.withDefaults()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	nc := socket.WithRetry(raw)
	// A deadline in the past ends all I/O.
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })
	in := bufio.NewReaderSize(nc, o.ReadBuffer)
	if _, err = nc.Write(request.Bytes()); err == nil {
		err = request.ReadResponse(in)
	}
	// If the context has ended, the connection has the deadline in the past and cannot be used.
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	return newConn(nc, in, websocket.Client, o), nil
}

// Accept performs the server side of the opening handshake on nc within the timeout and selects the
// subprotocol protocol, if it is not empty. check, if not nil, may reject the client by returning a
// *websocket.HandshakeError. The caller must write the response for a *websocket.HandshakeError, and must
// close nc after any error.
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

// Serve accepts connections until the listener is closed. It calls handle for each connection in a separate
// goroutine and closes the connection when handle returns. It does not wait for these goroutines.
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
