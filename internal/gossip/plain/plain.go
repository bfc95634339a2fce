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
const Most = 256

// readPause is the wait behind a read that failed.
const readPause = time.Millisecond

// Counts are what operators are told.
type Counts struct{ Sent, Received, Foreign, TooLong, OverIntake, Failed atomic.Int64 }

// Link is this gateway's end.
type Link struct {
	Counts
	pc    *net.UDPConn
	rank  int
	peers []netip.AddrPort
	from  map[netip.AddrPort]int

	intake, room float64 // messages a second that are taken in; those that may come now
	at           time.Time
}

// New takes the socket and the addresses of all gateways by their numbers. intake is in messages a second; 0: any.
func New(pc *net.UDPConn, rank int, peers []string, intake float64) (*Link, error) {
	l := &Link{pc: pc, rank: rank, from: map[netip.AddrPort]int{}, intake: intake, room: intake, at: time.Now()}
	for i, p := range peers {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %q: %w", i, p, err)
		}
		l.peers = append(l.peers, a)
		l.from[a] = i
	}
	return l, nil
}

// Send sends a message to the gateway of that number. It does not wait, and tells nobody if it is lost.
func (l *Link) Send(to int, text string) {
	if to < 0 || to >= len(l.peers) || to == l.rank {
		return
	}
	if len(text) > Most {
		l.TooLong.Add(1)
		return
	}
	if _, err := l.pc.WriteToUDPAddrPort([]byte(text), l.peers[to]); err != nil {
		l.Failed.Add(1)
		return
	}
	l.Sent.Add(1)
}

// Serve hands on what comes until Close.
func (l *Link) Serve(take func(from int, text string)) {
	var b [Most + 1]byte
	for {
		n, addr, err := l.pc.ReadFromUDPAddrPort(b[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // it passes, however long it takes
			time.Sleep(readPause)
			continue
		}
		from, ok := l.from[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		switch {
		case !ok || from == l.rank:
			l.Foreign.Add(1)
		case n > Most:
			l.TooLong.Add(1)
		case !l.admit(time.Now()):
			l.OverIntake.Add(1)
		default:
			l.Received.Add(1)
			take(from, string(b[:n]))
		}
	}
}

// admit bounds what a flood makes the loop do; a second's worth may come at once.
func (l *Link) admit(now time.Time) bool {
	if l.intake <= 0 {
		return true
	}
	l.room = min(l.intake, l.room+l.intake*now.Sub(l.at).Seconds())
	l.at = now
	if l.room < 1 {
		return false
	}
	l.room--
	return true
}

// Close ends Serve.
func (l *Link) Close() { l.pc.Close() }
