package scenario

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
)

// maxDatagramBytes is more than any datagram between gateways.
const maxDatagramBytes = 2048

// lossyRelay stands in front of a gateway's gossip socket and loses a share of the datagrams to it. Its goroutine is
// forward, which ends with close.
type lossyRelay struct {
	socket net.PacketConn
	to     net.Addr

	mu   sync.Mutex
	loss float64 // share of the datagrams
	rng  *rand.Rand
}

func newRelay(to string, seed uint64) (*lossyRelay, error) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	r := &lossyRelay{socket: socket, to: addr, rng: rand.New(rand.NewPCG(seed, 4))}
	go r.forward()
	return r, nil
}

func (r *lossyRelay) addr() string { return r.socket.LocalAddr().String() }

func (r *lossyRelay) setLoss(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss = share
}

func (r *lossyRelay) forward() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := r.socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as a refusal by a gateway that does not run
		}
		if !r.drawLoss() {
			r.socket.WriteTo(buf[:n], r.to)
		}
	}
}

func (r *lossyRelay) drawLoss() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < r.loss
}

func (r *lossyRelay) close() { r.socket.Close() }
