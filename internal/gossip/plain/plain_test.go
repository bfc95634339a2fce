package plain

import (
	"net"
	"strings"
	"testing"
	"time"
)

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// serve passes received messages to a channel; done is closed when Serve has returned.
func serve(tr *Transport) (received chan string, done chan struct{}) {
	received, done = make(chan string, 1000), make(chan struct{})
	go func() {
		tr.Serve(func(_ int, text string) { received <- text })
		close(done)
	}()
	return received, done
}

// A stranger, a datagram that is too long or a flood must not reach the loop, nor keep a peer's message from it.
func TestMessagesBetweenGateways(t *testing.T) {
	a, b, stranger := listen(t), listen(t), listen(t)
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
	stranger.WriteToUDP([]byte("x"), b.LocalAddr().(*net.UDPAddr))
	a.WriteToUDP(make([]byte, MaxDatagramBytes+1), b.LocalAddr().(*net.UDPAddr))
	sender.Send(1, strings.Repeat("y", MaxDatagramBytes+1))
	sender.Send(7, "nobody")
	sender.Send(0, "myself")
	sender.Send(1, "hello")
	if text := <-received; text != "hello" {
		t.Errorf("%q was received, want hello alone", text)
	}
	if receiver.UnknownSender.Load() != 1 || receiver.TooLong.Load() != 1 || sender.TooLong.Load() != 1 {
		t.Errorf("unknown sender %d, too long %d and %d, want 1 of each",
			receiver.UnknownSender.Load(), receiver.TooLong.Load(), sender.TooLong.Load())
	}
	for range 200 {
		sender.Send(1, "flood")
	}
	deadline := time.Now().Add(10 * time.Second)
	for receiver.Received.Load()+receiver.RateLimited.Load() < 150 {
		if time.Now().After(deadline) {
			t.Fatalf("%d received, %d over the rate", receiver.Received.Load(), receiver.RateLimited.Load())
		}
		time.Sleep(time.Millisecond)
	}
	if n, over := receiver.Received.Load(), receiver.RateLimited.Load(); over < n {
		t.Errorf("%d of a flood were received, %d not, at a rate of 5 a second", n, over)
	}
	receiver.Close()
	<-done
}

func TestPeersThatCantBeRead(t *testing.T) {
	_, err := New(listen(t), 0, []string{"127.0.0.1:1", "nowhere"}, 0)
	if err == nil || !strings.Contains(err.Error(), `peers[1]: "nowhere"`) {
		t.Errorf("error %v, want one that names peers[1]", err)
	}
}

// Reads fail for a long time and then work again. Serve must go on, or the gateway hears no gossip until its restart.
func TestReadsThatFailForLong(t *testing.T) {
	a, b := listen(t), listen(t)
	peers := []string{a.LocalAddr().String(), b.LocalAddr().String()}
	sender, _ := New(a, 0, peers, 0)
	receiver, _ := New(b, 1, peers, 0)
	b.SetReadDeadline(time.Now().Add(-time.Second)) // each read fails
	received, done := serve(receiver)
	select {
	case <-done:
		t.Fatal("Serve returned while the socket is open")
	case <-time.After(200 * time.Millisecond):
	}
	b.SetReadDeadline(time.Time{})
	sender.Send(1, "hello")
	if text := <-received; text != "hello" {
		t.Errorf("%q was received, want hello", text)
	}
	receiver.Close()
	<-done
}
