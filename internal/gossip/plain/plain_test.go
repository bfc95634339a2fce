package plain

import (
	"net"
	"strings"
	"testing"
	"time"
)

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	pc, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { pc.Close() })
	return pc
}

func TestMessagesBetweenGateways(t *testing.T) {
	a, b, stranger := listen(t), listen(t), listen(t)
	peers := []string{a.LocalAddr().String(), b.LocalAddr().String()}
	la, err := New(a, 0, peers, 0)
	if err != nil {
		t.Fatal(err)
	}
	lb, err := New(b, 1, peers, 5)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan string, 1000)
	done := make(chan struct{})
	go func() { lb.Serve(func(from int, text string) { got <- text }); close(done) }()
	stranger.WriteToUDP([]byte("x"), b.LocalAddr().(*net.UDPAddr))
	a.WriteToUDP(make([]byte, MaxDatagram+1), b.LocalAddr().(*net.UDPAddr))
	la.Send(1, strings.Repeat("y", MaxDatagram+1))
	la.Send(7, "nobody")
	la.Send(0, "myself")
	la.Send(1, "hello")
	if text := <-got; text != "hello" {
		t.Errorf("%q came, want hello alone", text)
	}
	if lb.UnknownSender.Load() != 1 || lb.TooLong.Load() != 1 || la.TooLong.Load() != 1 {
		t.Errorf("foreign %d, too long %d and %d, want 1 of each", lb.UnknownSender.Load(), lb.TooLong.Load(), la.TooLong.Load())
	}
	for range 200 {
		la.Send(1, "flood")
	}
	for until := time.Now().Add(10 * time.Second); lb.Received.Load()+lb.RateLimited.Load() < 150; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d received, %d over the intake", lb.Received.Load(), lb.RateLimited.Load())
		}
	}
	if n, over := lb.Received.Load(), lb.RateLimited.Load(); over < n {
		t.Errorf("%d of a flood were taken in, %d not, at an intake of 5 a second", n, over)
	}
	lb.Close()
	<-done
}

func TestPeersThatCantBeRead(t *testing.T) {
	if _, err := New(listen(t), 0, []string{"127.0.0.1:1", "nowhere"}, 0); err == nil || !strings.Contains(err.Error(), `peers[1]: "nowhere"`) {
		t.Errorf("error %v, want one that names peers[1]", err)
	}
}

// Reads that fail for long, and then work again, end nothing.
func TestReadsThatFailForLong(t *testing.T) {
	a, b := listen(t), listen(t)
	peers := []string{a.LocalAddr().String(), b.LocalAddr().String()}
	la, _ := New(a, 0, peers, 0)
	lb, _ := New(b, 1, peers, 0)
	b.SetReadDeadline(time.Now().Add(-time.Second)) // each read fails
	got := make(chan string, 1)
	done := make(chan struct{})
	go func() { lb.Serve(func(_ int, text string) { got <- text }); close(done) }()
	select {
	case <-done:
		t.Fatal("the reader ended while the socket is open")
	case <-time.After(200 * time.Millisecond):
	}
	b.SetReadDeadline(time.Time{})
	la.Send(1, "hello")
	if text := <-got; text != "hello" {
		t.Errorf("%q came, want hello", text)
	}
	lb.Close()
	<-done
}
