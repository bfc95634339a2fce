// Package plain carries gossip between gateways as bare UDP datagrams, on a network of their own: a sender is known
// by its address. Datagrams of unknown senders, longer than MaxDatagramBytes or beyond the rate limit are dropped and
// counted.
package plain

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// MaxDatagramBytes is the longest datagram, in bytes.
const MaxDatagramBytes = 256

// readRetryPause is the pause after a read that failed.
const readRetryPause = time.Millisecond

// Counters are figures for operators, in datagrams.
type Counters struct {
	Sent          atomic.Int64
	Received      atomic.Int64
	UnknownSender atomic.Int64 // dropped
	TooLong       atomic.Int64 // dropped, sent or received
	RateLimited   atomic.Int64 // dropped
	Failed        atomic.Int64 // sends
}

// Transport is this gateway's socket. Send and Serve may be used at the same time.
type Transport struct {
	Counters
	conn  *net.UDPConn
	rank  int
	peers []netip.AddrPort       // by rank
	ranks map[netip.AddrPort]int // of peers
	limit rateLimit              // Serve's own
}

// New returns a transport on a socket, which it owns from then on. peers are the addresses of all gateways by rank,
// this one's included. rate is how many datagrams are received in a second; 0: any.
func New(conn *net.UDPConn, rank int, peers []string, rate float64) (*Transport, error) {
	t := &Transport{
		conn:  conn,
		rank:  rank,
		ranks: map[netip.AddrPort]int{},
		limit: rateLimit{rate: rate, tokens: rate, refilledAt: time.Now()},
	}
	for i, peer := range peers {
		addr, err := netip.ParseAddrPort(peer)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %q: %w", i, peer, err)
		}
		t.peers = append(t.peers, addr)
		t.ranks[addr] = i
	}
	return t, nil
}

// Send sends a message to the gateway of a rank. It does not wait; a message may be lost without notice.
func (t *Transport) Send(to int, text string) {
	if to < 0 || to >= len(t.peers) || to == t.rank {
		return
	}
	if len(text) > MaxDatagramBytes {
		t.TooLong.Add(1)
		return
	}
	if _, err := t.conn.WriteToUDPAddrPort([]byte(text), t.peers[to]); err != nil {
		t.Failed.Add(1)
		return
	}
	t.Sent.Add(1)
}

// Serve passes received messages to handle until Close.
func (t *Transport) Serve(handle func(from int, text string)) {
	var buf [MaxDatagramBytes + 1]byte // a longer datagram shows by the byte more
	for {
		n, addr, err := t.conn.ReadFromUDPAddrPort(buf[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // any other error is transient, as ENOBUFS
			time.Sleep(readRetryPause)
			continue
		}
		from, known := t.ranks[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		switch {
		case !known || from == t.rank:
			t.UnknownSender.Add(1)
		case n > MaxDatagramBytes:
			t.TooLong.Add(1)
		case !t.limit.allow(time.Now()):
			t.RateLimited.Add(1)
		default:
			t.Received.Add(1)
			handle(from, string(buf[:n]))
		}
	}
}

// Close closes the socket and so ends Serve.
func (t *Transport) Close() { t.conn.Close() }

// rateLimit is a token bucket that holds a second's worth: a flood must not keep the loop from its requests.
type rateLimit struct {
	rate       float64 // tokens a second; 0 or less: no limit
	tokens     float64
	refilledAt time.Time
}

// allow takes a token, if there is one.
func (l *rateLimit) allow(now time.Time) bool {
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
