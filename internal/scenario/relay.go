package scenario

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
)

// maxDatagram is the size of the largest datagram that a relay forwards, in bytes. Larger ones are truncated.
const maxDatagram = 2048

// lossyRelay forwards datagrams to the gossip socket of a gateway and drops a fraction of them. close ends
// its goroutine.
type lossyRelay struct {
	socket net.PacketConn
	to     net.Addr
	rng    *rand.Rand // used only by the goroutine

	mu        sync.Mutex // guards the field below
	lossShare float64    // fraction of the datagrams to drop
}

// newLossyRelay starts a relay to a UDP address, given as host:port. It drops nothing until setLoss is
// called.
func newLossyRelay(to string, seed uint64) (*lossyRelay, error) {
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &lossyRelay{socket: socket, to: addr, rng: rand.New(rand.NewPCG(seed, 4))}
	go r.run()
	return r, nil
}

// addr returns the address that the gateway's peers send to.
func (r *lossyRelay) addr() string { return r.socket.LocalAddr().String() }

func (r *lossyRelay) setLoss(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lossShare = share
}

func (r *lossyRelay) run() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := r.socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for example, the port of a gateway that is not running was unreachable
		}
		if !r.drops() {
			r.socket.WriteTo(buf[:n], r.to)
		}
	}
}

// drops reports whether to drop the next datagram. It consumes one random number for each datagram, even if
// nothing is dropped.
func (r *lossyRelay) drops() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < r.lossShare
}

func (r *lossyRelay) close() { r.socket.Close() }
