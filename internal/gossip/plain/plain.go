// Package plain carries messages between gateways as bare datagrams on a network of their own: a sender is known by
// its address. Foreign senders, what is too long and what comes faster than the stated intake is dropped and counted.
package plain

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// Most is how many bytes a datagram may have.
const MaxDatagram = 256

// readPause is the wait behind a read that failed.
const readPause = time.Millisecond

// Counts are what operators are told.
type Counters struct{ Sent, Received, UnknownSender, TooLong, RateLimited, Failed atomic.Int64 }

// Link is this gateway's end.
type Transport struct {
	Counters
	conn  *net.UDPConn
	rank  int
	peers []netip.AddrPort
	ranks map[netip.AddrPort]int

	rate, tokens float64 // messages a second that are taken in; those that may come now
	refilledAt   time.Time
}

// New takes the socket and the addresses of all gateways by their numbers. intake is in messages a second; 0: any.
func New(pc *net.UDPConn, rank int, peers []string, intake float64) (*Transport, error) {
	l := &Transport{conn: pc, rank: rank, ranks: map[netip.AddrPort]int{}, rate: intake, tokens: intake, refilledAt: time.Now()}
	for i, p := range peers {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %q: %w", i, p, err)
		}
		l.peers = append(l.peers, a)
		l.ranks[a] = i
	}
	return l, nil
}

// Send sends a message to the gateway of that number. It does not wait, and tells nobody if it is lost.
func (l *Transport) Send(to int, text string) {
	if to < 0 || to >= len(l.peers) || to == l.rank {
		return
	}
	if len(text) > MaxDatagram {
		l.TooLong.Add(1)
		return
	}
	if _, err := l.conn.WriteToUDPAddrPort([]byte(text), l.peers[to]); err != nil {
		l.Failed.Add(1)
		return
	}
	l.Sent.Add(1)
}

// Serve hands on what comes until Close.
func (l *Transport) Serve(take func(from int, text string)) {
	var b [MaxDatagram + 1]byte
	for {
		n, addr, err := l.conn.ReadFromUDPAddrPort(b[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // it passes, however long it takes
			time.Sleep(readPause)
			continue
		}
		from, ok := l.ranks[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		switch {
		case !ok || from == l.rank:
			l.UnknownSender.Add(1)
		case n > MaxDatagram:
			l.TooLong.Add(1)
		case !l.allow(time.Now()):
			l.RateLimited.Add(1)
		default:
			l.Received.Add(1)
			take(from, string(b[:n]))
		}
	}
}

// admit bounds what a flood makes the loop do; a second's worth may come at once.
func (l *Transport) allow(now time.Time) bool {
	if l.rate <= 0 {
		return true
	}
	l.tokens = min(l.rate, l.tokens+l.rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Close ends Serve.
func (l *Transport) Close() { l.conn.Close() }
