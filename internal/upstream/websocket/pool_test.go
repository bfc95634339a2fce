package websocket

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/invariant"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/testbed/tcpserver"
	"winghatch/internal/upstream"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

func testOptions() Options {
	return Options{ConnectTimeout: 2 * time.Second, MaxConns: 2, CallsPerConn: 1000, IdleTimeout: time.Minute,
		Conn: wsconn.Options{WriteTimeout: 5 * time.Second}}
}

func send(p *Pool, addr, params string) (*upstream.Call, chan upstream.Result) {
	got := make(chan upstream.Result, 2)
	c := &upstream.Call{Server: addr, Method: "m", Params: []byte(params), Done: func(r upstream.Result) { got <- r }}
	p.Send(c)
	return c, got
}

func want(t *testing.T, got chan upstream.Result, o decide.Outcome) upstream.Result {
	t.Helper()
	select {
	case r := <-got:
		if r.Outcome != o {
			t.Fatalf("outcome %d, want %d", r.Outcome, o)
		}
		return r
	case <-time.After(20 * time.Second):
		t.Fatalf("no outcome, want %d", o)
	}
	return upstream.Result{}
}

// startServer accepts connections and calls f for each after its handshake.
func startServer(t *testing.T, f func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	return tcpserver.Start(t, func(nc net.Conn) {
		br := bufio.NewReader(nc)
		u, err := websocket.ReadUpgrade(br)
		if err != nil {
			return
		}
		nc.Write(u.Accept(protocol))
		f(nc, br)
	})
}

// responseFrame is a frame with the response to the call with an id.
func responseFrame(id int) []byte {
	result := `{"units":2,"metered":3,"load":{"queue":1},"body":7}`
	message := fmt.Appendf(nil, `{"jsonrpc":"2.0","result":%s,"id":%d}`, result, id)
	return websocket.AppendFrame(nil, true, websocket.Text, message, nil)
}

// TestCutInAnswer: the server breaks the connection at some byte of its response. The call ends as Reset unless the
// whole response has come, and it ends once.
func TestCutInAnswer(t *testing.T) {
	whole := responseFrame(1)
	for at := 0; at <= len(whole); at += 7 {
		if at+7 > len(whole) {
			at = len(whole)
		}
		addr := startServer(t, func(nc net.Conn, br *bufio.Reader) {
			r := websocket.NewReader(br, websocket.Server, 1<<20)
			if _, err := r.Next(); err == nil {
				nc.Write(whole[:at])
			}
		})
		p := New(testOptions())
		_, got := send(p, addr, `{}`)
		if at < len(whole) {
			want(t, got, decide.OutcomeReset)
		} else {
			r := want(t, got, decide.OutcomeOK)
			if r.ActualUnits != 2 || r.ReportedUsage != 3 || r.LoadReport["queue"] != 1 || string(r.Body) != "7" {
				t.Errorf("%+v", r)
			}
		}
		p.Close()
		if len(got) != 0 {
			t.Fatal("a call ended twice")
		}
	}
}

// TestCutBeforeRead: a connection breaks while some calls are written and others wait in the queue, because the server
// reads nothing. A call ends as Reset if a byte of it may have been written and as ConnectFailed only if none was: no
// call that the server received ends as ConnectFailed, as the core would run it again.
func TestCutBeforeRead(t *testing.T) {
	var mu sync.Mutex
	got := map[string]bool{}
	cut := make(chan struct{})
	addr := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		nc.(*net.TCPConn).SetReadBuffer(4 << 10)
		<-cut
		r := websocket.NewReader(br, websocket.Server, 1<<20)
		nc.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		for {
			m, err := r.Next()
			if err != nil {
				return
			}
			mu.Lock()
			got[string(m.Data[strings.Index(string(m.Data), `"n":`):][:10])] = true
			mu.Unlock()
		}
	})
	o := testOptions()
	o.MaxConns = 1
	o.Conn.MaxQueue = 64 << 20
	p := New(o)
	defer p.Close()
	pad := strings.Repeat("x", 20_000)
	var outs []chan upstream.Result
	for i := range 600 {
		_, ch := send(p, addr, fmt.Sprintf(`{"n":%06d,"pad":"%s"}`, i, pad))
		outs = append(outs, ch)
		if i == 0 {
			until(t, "connected", func() bool { return p.connected(addr) == 1 })
		}
	}
	close(cut)
	count := map[decide.Outcome]int{}
	for i, ch := range outs {
		r := <-ch
		count[r.Outcome]++
		mu.Lock()
		arrived := got[fmt.Sprintf(`"n":%06d`, i)]
		mu.Unlock()
		if arrived && r.Outcome != decide.OutcomeReset {
			t.Fatalf("call %d arrived and has outcome %d", i, r.Outcome)
		}
	}
	if count[decide.OutcomeReset] == 0 || count[decide.OutcomeConnectFailed] == 0 || len(count) != 2 {
		t.Errorf("outcomes %v, want some of each", count)
	}
}

// connected is the number of connections to a server whose handshake is done.
func (p *Pool) connected(addr string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[addr]; s != nil {
		for _, c := range s.conns {
			if c.ws != nil {
				n++
			}
		}
	}
	return n
}

// TestNoConnection calls servers that do not listen, that never answer the handshake, and that reject it. Every call
// ends as ConnectFailed, and the pool keeps no connection.
func TestNoConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	silent := ln.Addr().String() // connections stay in its backlog
	defer ln.Close()
	closed, _ := net.Listen("tcp", "127.0.0.1:0")
	closed.Close()
	rejecting, _ := net.Listen("tcp", "127.0.0.1:0")
	defer rejecting.Close()
	go func() {
		for {
			nc, err := rejecting.Accept()
			if err != nil {
				return
			}
			nc.Write((&websocket.HandshakeError{Status: 503, Reason: "no"}).Response())
			nc.Close()
		}
	}()
	o := testOptions()
	o.ConnectTimeout = 100 * time.Millisecond
	p := New(o)
	defer p.Close()
	for _, addr := range []string{silent, closed.Addr().String(), rejecting.Addr().String()} {
		for range 3 {
			_, got := send(p, addr, `{}`)
			want(t, got, decide.OutcomeConnectFailed)
		}
	}
	until(t, "none is left", func() bool { return p.Conns() == 0 })
}

// TestAbandon abandons a call that was sent, one that waits for its connection, and one that has ended. The response to
// an abandoned call is counted as late.
func TestAbandon(t *testing.T) {
	first := make(chan struct{})
	addr := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		r := websocket.NewReader(br, websocket.Server, 1<<20)
		if _, err := r.Next(); err != nil {
			return
		}
		close(first)
		for {
			m, err := r.Next()
			if err != nil {
				return
			}
			if strings.Contains(string(m.Data), `"cancel"`) {
				nc.Write(responseFrame(1))
			}
		}
	})
	p := New(testOptions())
	defer p.Close()
	c, got := send(p, addr, `{}`)
	<-first
	if g := p.Abandon(c); g != upstream.MayHaveRun {
		t.Errorf("abandoning a sent call: %d", g)
	}
	until(t, "a late answer is counted", func() bool { return p.LateResponses() > 0 })
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	defer ln.Close()
	c2, got2 := send(p, ln.Addr().String(), `{}`)
	if g := p.Abandon(c2); g != upstream.NotSent {
		t.Errorf("abandoning a call that waits for its connection: %d", g)
	}
	if g := p.Abandon(c2); g != upstream.AlreadyEnded {
		t.Errorf("abandoning it again: %d", g)
	}
	if len(got)+len(got2) > 0 {
		t.Error("an abandoned call has an outcome")
	}
}

// TestNode sends calls to an emulated server: many at once on few connections, then with faults. Idle connections are
// closed; one that carries a call is not.
func TestNode(t *testing.T) {
	log := invariant.NewLog(nil)
	n, err := backend.Start(backend.Options{Address: "127.0.0.1:0", Log: log, Cores: 4, Speed: 1, Queue: 1000,
		Classes: map[string]backend.Class{"m": {MeanWork: 100 * time.Microsecond}}})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	o := testOptions()
	o.CallsPerConn, o.MaxConns, o.IdleTimeout = 10, 3, 20*time.Millisecond
	p := New(o)
	defer p.Close()
	var outs []chan upstream.Result
	for i := range 500 {
		_, ch := send(p, n.Addr(), fmt.Sprintf(`{"request":"r%d","units":2}`, i))
		outs = append(outs, ch)
	}
	for _, ch := range outs {
		if r := want(t, ch, decide.OutcomeOK); r.ActualUnits != 2 {
			t.Fatalf("%+v", r)
		}
	}
	n.SetFault(func(x *backend.Fault) { x.ErrorShare = 1 })
	_, ch := send(p, n.Addr(), `{"request":"e"}`)
	want(t, ch, decide.OutcomeError)
	until(t, "idle ones are closed", func() bool { return p.Conns() == 0 })
	n.SetFault(func(x *backend.Fault) { x.ErrorShare, x.Unresponsive = 0, true })
	_, ch = send(p, n.Addr(), `{"request":"s"}`)
	until(t, "the call arrived", func() bool {
		return slices.ContainsFunc(log.Records(), func(r invariant.Record) bool {
			return r.Kind == invariant.Received && r.Request == "s"
		})
	})
	p.CloseIdle(n.Addr())
	if p.Conns() != 1 {
		t.Error("a connection with a call was closed as idle")
	}
	n.Stop()
	want(t, ch, decide.OutcomeReset)
}

// TestIdleFromTheStart: every call of a connection is abandoned during its handshake. The connection carried no call,
// so no last call starts its idle timer; it is closed as idle all the same.
func TestIdleFromTheStart(t *testing.T) {
	handshake := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go wsconn.Serve(ln, func(nc net.Conn) {
		<-handshake
		if l, err := wsconn.Accept(nc, protocol, 5*time.Second, nil, wsconn.Options{}); err == nil {
			l.Read()
		}
	})
	o := testOptions()
	o.IdleTimeout = 10 * time.Millisecond
	p := New(o)
	defer p.Close()
	c, _ := send(p, ln.Addr().String(), `{}`)
	if p.Abandon(c) != upstream.NotSent {
		t.Fatal("a byte left before the handshake")
	}
	close(handshake)
	until(t, "the connection is closed", func() bool { return p.Conns() == 0 })
}

func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("never: " + what)
}
