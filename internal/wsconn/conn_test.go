package wsconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"winghatch/internal/testbed/tcpserver"
	"winghatch/internal/websocket"
)

// ends returns both ends of a connection over a socket.
func ends(t *testing.T, o Options) (client, server *Conn) {
	t.Helper()
	a, b := tcpserver.Connect(t)
	return newConn(a, bufio.NewReader(a), websocket.Client, o), newConn(b, bufio.NewReader(b), websocket.Server, o)
}

// TestOrder sends many messages with pings between them: they arrive in order, and the connection ends with a complete
// close handshake.
func TestOrder(t *testing.T) {
	c, s := ends(t, Options{})
	const n = 5000
	go func() {
		for i := range n {
			c.Send([]byte{byte('a' + i%26)})
			if i%1000 == 0 {
				c.ping()
			}
		}
		c.Close(websocket.CodeNormal, "done")
	}()
	for i := range n {
		m, err := s.Read()
		if err != nil || m[0] != byte('a'+i%26) {
			t.Fatalf("message %d: %q %v", i, m, err)
		}
	}
	var pc *PeerClosedError
	if _, err := s.Read(); !errors.As(err, &pc) || pc.Code != websocket.CodeNormal || pc.Reason != "done" {
		t.Fatalf("%v", err)
	}
	// The closing side reads the answer to its close frame.
	if _, err := c.Read(); !errors.As(err, &pc) || pc.Code != websocket.CodeNormal {
		t.Errorf("%v", err)
	}
	if c.Send([]byte("x")) != ErrClosed || s.Send([]byte("x")) != ErrClosed {
		t.Error("a closed connection accepts messages")
	}
}

// TestNotBegun sends a message that is cancelled when the writer gets to it: nothing of it is written.
func TestNotBegun(t *testing.T) {
	c, s := ends(t, Options{})
	var calls atomic.Int32
	beforeWrite := func(result bool) func() bool {
		return func() bool {
			calls.Add(1)
			return result
		}
	}
	c.SendIf([]byte("no"), beforeWrite(false))
	c.SendIf([]byte("yes"), beforeWrite(true))
	if m, err := s.Read(); err != nil || string(m) != "yes" || calls.Load() != 2 {
		t.Errorf("%q %v", m, err)
	}
}

// TestSlowPeer writes to a peer that reads nothing: the bound of the queue or the write timeout disconnects it.
func TestSlowPeer(t *testing.T) {
	for _, o := range []Options{
		{MaxQueue: 64 << 10, WriteTimeout: time.Minute},
		{MaxQueue: 1 << 30, WriteTimeout: 50 * time.Millisecond},
	} {
		c, _ := ends(t, o)
		data := []byte(strings.Repeat("x", 16<<10))
		var err error
		for range 100_000 {
			if err = c.Send(data); err != nil {
				break
			}
			if o.MaxQueue > 1<<20 {
				time.Sleep(100 * time.Microsecond)
			}
		}
		if err == nil {
			t.Fatal("a peer that reads nothing was never disconnected")
		}
		if _, err := c.Read(); err == nil {
			t.Error("a closed connection still reads")
		}
	}
}

// TestSilentClose closes towards a peer that does not answer: the reader ends after the close timeout.
func TestSilentClose(t *testing.T) {
	c, _ := ends(t, Options{CloseTimeout: 50 * time.Millisecond})
	c.Close(websocket.CodeNormal, "")
	if _, err := c.Read(); err == nil {
		t.Error("Read returned no error")
	}
}

// TestRefusedMessages sends messages that the server must not accept. The server ends the connection with the close
// code for the reason, and the client reads it.
func TestRefusedMessages(t *testing.T) {
	for code, raw := range map[int][]byte{
		websocket.CodeUnsupported: websocket.AppendFrame(nil, true, websocket.Binary, []byte("x"), &[4]byte{1}),
		websocket.CodeProtocol:    websocket.AppendFrame(nil, true, websocket.Text, []byte("x"), nil),
		websocket.CodeTooBig:      websocket.AppendFrame(nil, true, websocket.Text, make([]byte, 200), &[4]byte{1}),
	} {
		c, s := ends(t, Options{MaxMessage: 100})
		c.nc.Write(raw)
		if _, err := s.Read(); websocket.CloseCode(err) != code {
			t.Errorf("%v, want close code %d", err, code)
		}
		var pc *PeerClosedError
		if _, err := c.Read(); !errors.As(err, &pc) || pc.Code != code {
			t.Errorf("the peer got %v, want close code %d", err, code)
		}
		if _, err := c.reader.Next(); err != io.EOF {
			t.Errorf("%v", err)
		}
	}
}

// TestEmptyPings: a peer floods the connection with empty pings and reads nothing. The queue bounds the pongs too, and
// the peer is disconnected.
func TestEmptyPings(t *testing.T) {
	c, s := ends(t, Options{MaxQueue: 64 << 10, WriteTimeout: time.Minute})
	go func() {
		ping := websocket.AppendFrame(nil, true, websocket.Ping, nil, &[4]byte{1})
		for {
			if _, err := c.nc.Write(ping); err != nil {
				return
			}
		}
	}()
	s.nc.(*net.TCPConn).SetWriteBuffer(1)
	if _, err := s.Read(); err == nil {
		t.Error("the connection is still open")
	}
}

// TestKeep pings two peers, of which one does not answer: that one is disconnected, the other is not.
func TestKeep(t *testing.T) {
	_, silent := ends(t, Options{})
	client, answering := ends(t, Options{})
	go func() {
		for {
			if _, err := client.Read(); err != nil {
				return
			}
		}
	}()
	go answering.Read()
	ctx, stop := context.WithCancel(context.Background())
	closed := make(chan struct{}, 1)
	ended := make(chan struct{})
	go func() {
		PingIdle(ctx, 20*time.Millisecond, func() []*Conn { return []*Conn{silent, answering} }, func() {
			select {
			case closed <- struct{}{}:
			default:
			}
		})
		close(ended)
	}()
	if _, err := silent.Read(); err == nil {
		t.Error("a silent peer is still connected")
	}
	<-closed
	if err := answering.Send([]byte("x")); err != nil {
		t.Errorf("a peer that answers was disconnected: %v", err)
	}
	stop()
	<-ended
}

// TestFrameLimit sends a frame over its limit in a message within the limit of messages: it is refused.
func TestFrameLimit(t *testing.T) {
	c, s := ends(t, Options{MaxFrame: 10})
	c.Send([]byte("0123456789"))
	if m, err := s.Read(); err != nil || len(m) != 10 {
		t.Errorf("%q %v", m, err)
	}
	c.Send([]byte("0123456789a"))
	var e *websocket.ProtocolError
	if _, err := s.Read(); !errors.As(err, &e) || e.Code != websocket.CodeTooBig {
		t.Errorf("%v, want 1009", err)
	}
}
