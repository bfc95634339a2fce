// Package plain sends gossip between gateways as unauthenticated UDP datagrams. It is meant for a network
// that only the gateways use, and identifies a sender by its address. Datagrams that come from unknown
// senders, are longer than MaxDatagramBytes or exceed the rate limit are dropped and counted.
package plain

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"winghatch/internal/socket"
)

// MaxDatagramBytes is the maximum length of a datagram.
const MaxDatagramBytes = 256

// readRetryDelay is the pause after a failed read.
const readRetryDelay = time.Millisecond

// Counters count datagrams for operators.
type Counters struct {
	Sent          atomic.Int64
	Received      atomic.Int64 // received and passed to the handler
	UnknownSender atomic.Int64 // dropped because the sender is not a peer
	TooLong       atomic.Int64 // dropped before sending or after receiving because of MaxDatagramBytes
	RateLimited   atomic.Int64 // dropped because of the rate limit
	Failed        atomic.Int64 // not sent because of an error of the socket
}

// Transport exchanges messages with the other gateways over one socket. Create it with New. Send and Serve
// may be called concurrently.
type Transport struct {
	Counters
	conn  *net.UDPConn
	rank  int
	peers []netip.AddrPort       // indexed by rank
	ranks map[netip.AddrPort]int // keyed by the addresses in peers
	limit rateLimit              // used only by Serve
}

// New returns a transport that uses and owns the socket conn. peers are the addresses of all gateways by
// rank, including this gateway, as IP:port. rate is the maximum number of received datagrams per second; 0
// means no limit. New returns an error if an address cannot be parsed.
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
			return nil, fmt.Errorf("peers[%d]: %q, want IP:port: %w", i, peer, err)
		}
		t.peers = append(t.peers, addr)
		t.ranks[addr] = i
	}
	return t, nil
}

// Send sends a message to the gateway with the given rank. A message may be lost without an error; one to
// this gateway itself or to an unknown rank is dropped without being counted.
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

// Serve calls handle for each received message until Close is called. from is the rank of the sender.
func (t *Transport) Serve(handle func(from int, text string)) {
	var buf [MaxDatagramBytes + 1]byte // the extra byte reveals a datagram that is too long
	var busy socket.BusyLimit
	for {
		busy.PauseIfBusy()
		busy.BeginCall()
		n, addr, err := t.conn.ReadFromUDPAddrPort(buf[:])
		busy.EndCall()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // any other error is transient, for example ENOBUFS
			time.Sleep(readRetryDelay)
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

// Close closes the socket, which makes Serve return.
func (t *Transport) Close() { t.conn.Close() }

// rateLimit is a token bucket with the capacity of one second. It keeps a flood of datagrams from delaying
// the requests that the event loop handles.
type rateLimit struct {
	rate       float64 // tokens per second; no limit if not positive
	tokens     float64 // tokens in the bucket as of refilledAt
	refilledAt time.Time
}

// allow takes a token and reports whether there was one.
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
