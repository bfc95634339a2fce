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

	"winghatch/internal/websocket"
)

// ends are both ends of a connection over a real socket.
func ends(t *testing.T, o Options) (client, server *Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	a, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	return New(a, bufio.NewReader(a), websocket.Client, o), New(b, bufio.NewReader(b), websocket.Server, o)
}

func TestOrder(t *testing.T) {
	c, s := ends(t, Options{})
	const n = 5000
	go func() {
		for i := range n {
			c.Send([]byte{byte('a' + i%26)})
			if i%1000 == 0 {
				c.Ping()
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
	// The close handshake is done whole: the closing side reads the answer to its close frame.
	if _, err := c.Read(); !errors.As(err, &pc) || pc.Code != websocket.CodeNormal {
		t.Errorf("%v", err)
	}
	if c.Send([]byte("x")) != ErrClosed || s.Send([]byte("x")) != ErrClosed {
		t.Error("a closed connection takes messages")
	}
}

// TestNotBegun leaves out a message that is no longer wanted when its turn comes.
func TestNotBegun(t *testing.T) {
	c, s := ends(t, Options{})
	var asked atomic.Int32
	c.SendIf([]byte("no"), func() bool { asked.Add(1); return false })
	c.SendIf([]byte("yes"), func() bool { asked.Add(1); return true })
	if m, err := s.Read(); err != nil || string(m) != "yes" || asked.Load() != 2 {
		t.Errorf("%q %v", m, err)
	}
}

// TestSlowPeer writes to a peer that reads nothing: the queue's bound or the time to write ends it.
func TestSlowPeer(t *testing.T) {
	for _, o := range []Options{{MaxQueue: 64 << 10, WriteTimeout: time.Minute}, {MaxQueue: 1 << 30, WriteTimeout: 50 * time.Millisecond}} {
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
			t.Fatal("a peer that takes nothing was never cut off")
		}
		if _, err := c.Read(); err == nil {
			t.Error("a cut connection still reads")
		}
	}
}

// TestSilentClose closes towards a peer that does not answer: the reader ends all the same.
func TestSilentClose(t *testing.T) {
	c, _ := ends(t, Options{CloseTimeout: 50 * time.Millisecond})
	c.Close(websocket.CodeNormal, "")
	if _, err := c.Read(); err == nil {
		t.Error("no end")
	}
}

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
			t.Errorf("the peer was told %v, want %d", err, code)
		}
		if _, err := c.reader.Next(); err != io.EOF {
			t.Errorf("%v", err)
		}
	}
}

// TestEmptyPings floods a connection with empty pings and reads nothing: the answers have a bound too.
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
		t.Error("the connection goes on")
	}
}

// TestKeep cuts a peer that answers no ping and leaves one alone that does.
func TestKeep(t *testing.T) {
	_, deaf := ends(t, Options{})
	client, kept := ends(t, Options{})
	go func() {
		for {
			if _, err := client.Read(); err != nil {
				return
			}
		}
	}()
	go kept.Read()
	ctx, stop := context.WithCancel(context.Background())
	cut := make(chan struct{}, 1)
	ended := make(chan struct{})
	go func() {
		PingIdle(ctx, 20*time.Millisecond, func() []*Conn { return []*Conn{deaf, kept} }, func() {
			select {
			case cut <- struct{}{}:
			default:
			}
		})
		close(ended)
	}()
	if _, err := deaf.Read(); err == nil {
		t.Error("a deaf peer is kept")
	}
	<-cut
	if err := kept.Send([]byte("x")); err != nil {
		t.Errorf("a peer that answers was cut: %v", err)
	}
	stop()
	<-ended
}

// TestFrameLimit refuses a frame over its bound in a message within the message's.
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
