package plain

import (
	"net"
	"strings"
	"testing"
	"time"
)

// listen returns a socket on a loopback port that is closed when the test ends.
func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// serve starts Serve and passes the received messages to a channel. The channel done is closed when Serve
// returns.
func serve(tr *Transport) (received chan string, done chan struct{}) {
	received, done = make(chan string, 1000), make(chan struct{})
	go func() {
		tr.Serve(func(_ int, text string) { received <- text })
		close(done)
	}()
	return received, done
}

// Guards against delivering datagrams of an unknown sender, datagrams that are too long or a flood to the
// event loop, and against losing the message of a peer because of them. The rate is 5 datagrams per second.
func TestOnlyValidMessagesAreDelivered(t *testing.T) {
	a, b, unknown := listen(t), listen(t), listen(t)
	peers := []string{a.LocalAddr().String(), b.LocalAddr().String()}
	sender, err := New(a, 0, peers, 0)
	if err != nil {
		t.Fatal(err)
	}
	receiver, err := New(b, 1, peers, 5)
	if err != nil {
		t.Fatal(err)
	}
	received, done := serve(receiver)
	unknown.WriteToUDP([]byte("x"), b.LocalAddr().(*net.UDPAddr))
	a.WriteToUDP(make([]byte, MaxDatagramBytes+1), b.LocalAddr().(*net.UDPAddr))
	sender.Send(1, strings.Repeat("y", MaxDatagramBytes+1))
	sender.Send(7, "unknown rank")
	sender.Send(0, "own rank")
	sender.Send(1, "hello")
	if text := <-received; text != "hello" {
		t.Errorf("received %q first, want \"hello\"", text)
	}
	if receiver.UnknownSender.Load() != 1 || receiver.TooLong.Load() != 1 || sender.TooLong.Load() != 1 {
		t.Errorf("unknown senders: %d, too long: %d received and %d sent, want 1 of each",
			receiver.UnknownSender.Load(), receiver.TooLong.Load(), sender.TooLong.Load())
	}
	for range 200 {
		sender.Send(1, "flood")
	}
	deadline := time.Now().Add(10 * time.Second)
	for receiver.Received.Load()+receiver.RateLimited.Load() < 150 {
		if time.Now().After(deadline) {
			t.Fatalf("%d datagrams received and %d beyond the rate within 10 s, want at least 150 together",
				receiver.Received.Load(), receiver.RateLimited.Load())
		}
		time.Sleep(time.Millisecond)
	}
	if n, dropped := receiver.Received.Load(), receiver.RateLimited.Load(); dropped < n {
		t.Errorf("%d datagrams of a flood received and %d dropped, want at least half dropped", n, dropped)
	}
	receiver.Close()
	<-done
}

// Guards against an error that does not name the peer address that cannot be parsed.
func TestInvalidPeerAddressIsNamed(t *testing.T) {
	_, err := New(listen(t), 0, []string{"127.0.0.1:1", "nowhere"}, 0)
	if err == nil || !strings.Contains(err.Error(), `peers[1]: "nowhere"`) {
		t.Errorf("error %v, want one that names peers[1]", err)
	}
}

// Guards against a gateway that receives no gossip until it is restarted, because reads failed for a long
// time and Serve gave up. Serve must continue once reads succeed again.
func TestServeContinuesAfterReadErrors(t *testing.T) {
	a, b := listen(t), listen(t)
	peers := []string{a.LocalAddr().String(), b.LocalAddr().String()}
	sender, _ := New(a, 0, peers, 0)
	receiver, _ := New(b, 1, peers, 0)
	b.SetReadDeadline(time.Now().Add(-time.Second)) // makes each read fail
	received, done := serve(receiver)
	select {
	case <-done:
		t.Fatal("Serve returned while the socket is open")
	case <-time.After(200 * time.Millisecond):
	}
	b.SetReadDeadline(time.Time{})
	sender.Send(1, "hello")
	if text := <-received; text != "hello" {
		t.Errorf("received %q, want \"hello\"", text)
	}
	receiver.Close()
	<-done
}
