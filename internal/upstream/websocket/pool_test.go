package websocket

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// testOptions returns options whose limits the tests do not reach.
func testOptions() Options {
	return Options{ConnectTimeout: 2 * time.Second, MaxConns: 2, CallsPerConn: 1000, IdleTimeout: time.Minute,
		Conn: wsconn.Options{WriteTimeout: 5 * time.Second}}
}

// send sends a call and returns it with the channel that receives its result. The channel has room for a
// second result, so that a test can detect one.
func send(p *Pool, addr, params string) (*upstream.Call, chan upstream.Result) {
	results := make(chan upstream.Result, 2)
	c := &upstream.Call{Server: addr, Method: "m", Params: []byte(params),
		Done: func(r upstream.Result) { results <- r }}
	p.Send(c)
	return c, results
}

// waitOutcome waits for a result, which must have the outcome want, and returns it.
func waitOutcome(t *testing.T, results chan upstream.Result, want decide.Outcome) upstream.Result {
	t.Helper()
	select {
	case r := <-results:
		if r.Outcome != want {
			t.Fatalf("outcome %d, want %d", r.Outcome, want)
		}
		return r
	case <-time.After(20 * time.Second):
		t.Fatalf("no result within 20 s, want outcome %d", want)
	}
	return upstream.Result{}
}

// startServer starts a server that calls serve for each connection after its handshake, and returns its
// address.
func startServer(t *testing.T, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	return tcpserver.Start(t, func(nc net.Conn) {
		br := bufio.NewReader(nc)
		u, err := websocket.ReadUpgrade(br)
		if err != nil {
			return
		}
		nc.Write(u.Accept(protocol))
		serve(nc, br)
	})
}

// responseFrame returns a frame with the response to the call with the given id.
func responseFrame(id int) []byte {
	result := `{"units":2,"metered":3,"load":{"queue":1},"body":7}`
	message := fmt.Appendf(nil, `{"jsonrpc":"2.0","result":%s,"id":%d}`, result, id)
	return websocket.AppendFrame(nil, true, websocket.Text, message, nil)
}

// TestConnectionBreaksDuringResponse guards against wrong outcomes, and against two results of one call, when
// a server closes the connection within its response. The call ends with OutcomeReset unless the response is
// complete.
func TestConnectionBreaksDuringResponse(t *testing.T) {
	frame := responseFrame(1)
	for length := 0; length <= len(frame); length += 7 {
		if length+7 > len(frame) {
			length = len(frame)
		}
		addr := startServer(t, func(nc net.Conn, br *bufio.Reader) {
			r := websocket.NewReader(br, websocket.Server, 1<<20)
			if _, err := r.Next(); err == nil {
				nc.Write(frame[:length])
			}
		})
		p := New(testOptions())
		_, results := send(p, addr, `{}`)
		if length < len(frame) {
			waitOutcome(t, results, decide.OutcomeReset)
		} else {
			r := waitOutcome(t, results, decide.OutcomeOK)
			if r.ActualUnits != 2 || r.ReportedUsage != 3 || r.LoadReport["queue"] != 1 ||
				string(r.Body) != "7" {
				t.Errorf("result %+v, want 2 units, usage 3, queue 1 and body 7", r)
			}
		}
		p.Close()
		if len(results) != 0 {
			t.Fatal("a call got two results")
		}
	}
}

// TestConnectionBreaksWithQueuedCalls guards against a call that the server received and that ends with
// OutcomeConnectFailed: the core would run it a second time. The server reads nothing, and the connection
// breaks while some calls were written and others still wait in the send queue. A call ends with OutcomeReset
// if a byte of it may have been written, and with OutcomeConnectFailed only if none was.
func TestConnectionBreaksWithQueuedCalls(t *testing.T) {
	var mu sync.Mutex
	received := map[string]bool{} // keyed by the "n" member of the params
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
			received[string(m.Data[strings.Index(string(m.Data), `"n":`):][:10])] = true
			mu.Unlock()
		}
	})
	o := testOptions()
	o.MaxConns = 1
	o.Conn.MaxQueue = 64 << 20
	p := New(o)
	defer p.Close()
	pad := strings.Repeat("x", 20_000)
	var results []chan upstream.Result
	for i := range 600 {
		_, ch := send(p, addr, fmt.Sprintf(`{"n":%06d,"pad":"%s"}`, i, pad))
		results = append(results, ch)
		if i == 0 {
			waitUntil(t, "the connection is open", func() bool { return p.connectedTo(addr) == 1 })
		}
	}
	close(cut)
	count := map[decide.Outcome]int{}
	for i, ch := range results {
		r := <-ch
		count[r.Outcome]++
		mu.Lock()
		arrived := received[fmt.Sprintf(`"n":%06d`, i)]
		mu.Unlock()
		if arrived && r.Outcome != decide.OutcomeReset {
			t.Fatalf("call %d was received by the server and has outcome %d, want OutcomeReset", i, r.Outcome)
		}
	}
	if count[decide.OutcomeReset] == 0 || count[decide.OutcomeConnectFailed] == 0 || len(count) != 2 {
		t.Errorf("calls by outcome: %v, want some OutcomeReset and some OutcomeConnectFailed alone", count)
	}
}

// connectedTo returns the number of connections to a server that have completed the handshake.
func (p *Pool) connectedTo(addr string) (n int) {
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

// TestFailedHandshakeEndsCalls guards against calls that hang, or that appear to have run, when no connection
// can be established: the server does not listen, never answers the handshake, or rejects it. Every call ends
// with OutcomeConnectFailed, and the pool keeps no connection.
func TestFailedHandshakeEndsCalls(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	silent := ln.Addr().String() // connections stay in the accept queue
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
			_, results := send(p, addr, `{}`)
			waitOutcome(t, results, decide.OutcomeConnectFailed)
		}
	}
	waitUntil(t, "the pool has no connections", func() bool { return p.Conns() == 0 })
}

// TestAbandon guards against wrong results of Abandon, by which the core decides whether a retry could run a
// request twice: for a call that was sent, for one that waits for its connection, and for one that has ended.
// The response to an abandoned call is counted as late.
func TestAbandon(t *testing.T) {
	received := make(chan struct{})
	addr := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		r := websocket.NewReader(br, websocket.Server, 1<<20)
		if _, err := r.Next(); err != nil {
			return
		}
		close(received)
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
	sent, sentResults := send(p, addr, `{}`)
	<-received
	if result := p.Abandon(sent); result != upstream.MayHaveRun {
		t.Errorf("abandoning a sent call returned %d, want MayHaveRun", result)
	}
	waitUntil(t, "the late response is counted", func() bool { return p.LateResponses() > 0 })
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	defer ln.Close()
	waiting, waitingResults := send(p, ln.Addr().String(), `{}`)
	if result := p.Abandon(waiting); result != upstream.NotSent {
		t.Errorf("abandoning a call that waits for its connection returned %d, want NotSent", result)
	}
	if result := p.Abandon(waiting); result != upstream.AlreadyEnded {
		t.Errorf("abandoning the same call again returned %d, want AlreadyEnded", result)
	}
	if len(sentResults)+len(waitingResults) > 0 {
		t.Error("an abandoned call got a result")
	}
}

// TestCancelledInQueueIsNotWritten guards against a call that is written although it was cancelled while it
// waited behind other messages, for example because the dedup window of another attempt ended meanwhile. It
// must end with OutcomeNotDispatched and must not reach the server.
func TestCancelledInQueueIsNotWritten(t *testing.T) {
	const paddingCalls = 200 // 20 MB, more than the kernel buffers
	begin := make(chan struct{})
	received := make(chan string, 2*paddingCalls)
	addr := startServer(t, func(_ net.Conn, br *bufio.Reader) {
		<-begin
		for r := websocket.NewReader(br, websocket.Server, 1<<20); ; {
			m, err := r.Next()
			if err != nil {
				return
			}
			received <- string(m.Data)
		}
	})
	o := testOptions()
	o.MaxConns, o.Conn.MaxQueue = 1, 64<<20
	p := New(o)
	defer p.Close()
	pad := strings.Repeat("x", 100_000)
	for range paddingCalls {
		send(p, addr, `{"pad":"`+pad+`"}`)
	}
	var cancelled atomic.Bool
	results := make(chan upstream.Result, 2)
	p.Send(&upstream.Call{Server: addr, Method: "m", Params: []byte(`{"key":"k"}`), Cancelled: cancelled.Load,
		Done: func(r upstream.Result) { results <- r }})
	waitUntil(t, "the connection is open", func() bool { return p.connectedTo(addr) == 1 })
	cancelled.Store(true)
	send(p, addr, `{"last":1}`)
	close(begin)
	waitOutcome(t, results, decide.OutcomeNotDispatched)
	for data := ""; !strings.Contains(data, `"last"`); {
		if data = <-received; strings.Contains(data, `"key"`) {
			t.Fatal("the server received the cancelled call")
		}
	}
}

// TestCallsToEmulatedServer guards against lost or mixed-up responses of many concurrent calls on few
// connections, against wrong outcomes when the server fails, and against idle connections that stay open. A
// connection that carries a call must not be closed as idle.
func TestCallsToEmulatedServer(t *testing.T) {
	log := invariant.NewLog(nil)
	server, err := backend.Start(backend.Options{Address: "127.0.0.1:0", Log: log,
		Cores: 4, Speed: 1, Queue: 1000,
		Classes: map[string]backend.Class{"m": {MeanWork: 100 * time.Microsecond}}})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	o := testOptions()
	o.CallsPerConn, o.MaxConns, o.IdleTimeout = 10, 3, 20*time.Millisecond
	p := New(o)
	defer p.Close()
	var results []chan upstream.Result
	for i := range 500 {
		_, ch := send(p, server.Addr(), fmt.Sprintf(`{"request":"r%d","units":2}`, i))
		results = append(results, ch)
	}
	for _, ch := range results {
		if r := waitOutcome(t, ch, decide.OutcomeOK); r.ActualUnits != 2 {
			t.Fatalf("result %+v, want 2 units", r)
		}
	}
	server.SetFault(func(f *backend.Fault) { f.ErrorShare = 1 })
	_, ch := send(p, server.Addr(), `{"request":"e"}`)
	waitOutcome(t, ch, decide.OutcomeError)
	waitUntil(t, "the idle connections are closed", func() bool { return p.Conns() == 0 })
	server.SetFault(func(f *backend.Fault) { f.ErrorShare, f.Unresponsive = 0, true })
	_, ch = send(p, server.Addr(), `{"request":"s"}`)
	waitUntil(t, "the server has received the call", func() bool {
		return slices.ContainsFunc(log.Records(), func(r invariant.Record) bool {
			return r.Kind == invariant.Received && r.Request == "s"
		})
	})
	p.CloseIdle(server.Addr())
	if p.Conns() != 1 {
		t.Error("a connection with a call was closed as idle")
	}
	server.Stop()
	waitOutcome(t, ch, decide.OutcomeReset)
}

// TestConnectionWithoutCallsIsClosed guards against a connection that is never closed because all of its
// calls were abandoned during the handshake: then no call ends on the open connection and starts the idle
// timer.
func TestConnectionWithoutCallsIsClosed(t *testing.T) {
	handshake := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go wsconn.Serve(ln, func(nc net.Conn) {
		<-handshake
		if ws, err := wsconn.Accept(nc, protocol, 5*time.Second, nil, wsconn.Options{}); err == nil {
			ws.Read()
		}
	})
	o := testOptions()
	o.IdleTimeout = 10 * time.Millisecond
	p := New(o)
	defer p.Close()
	c, _ := send(p, ln.Addr().String(), `{}`)
	if p.Abandon(c) != upstream.NotSent {
		t.Fatal("a call was marked as sent before the handshake")
	}
	close(handshake)
	waitUntil(t, "the connection is closed", func() bool { return p.Conns() == 0 })
}

// waitUntil waits until a condition holds and fails the test after 20 s.
func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("condition not met within 20 s: " + condition)
}
