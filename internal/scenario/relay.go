package scenario

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
)

// maxDatagram is the size of the largest datagram that a relay forwards whole, in bytes.
const maxDatagram = 2048

// lossyRelay forwards datagrams to the gossip socket of a gateway and loses a share of them. Its goroutine ends with
// close.
type lossyRelay struct {
	socket net.PacketConn
	to     net.Addr
	rng    *rand.Rand // of the goroutine alone

	mu        sync.Mutex // guards what follows
	lossShare float64    // share of the datagrams
}

// newLossyRelay starts a relay to a UDP address, host:port. It loses nothing yet.
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
			continue // such as a refusal by a gateway that does not run
		}
		if !r.drops() {
			r.socket.WriteTo(buf[:n], r.to)
		}
	}
}

// loses decides whether the next datagram is lost. It draws one random number for each datagram, also without loss.
func (r *lossyRelay) drops() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < r.lossShare
}

func (r *lossyRelay) close() { r.socket.Close() }
