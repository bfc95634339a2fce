package scenario

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
)

// relay stands in front of a gateway's socket for datagrams and loses some.
type lossyRelay struct {
	socket net.PacketConn
	to     net.Addr
	mu     sync.Mutex
	loss   float64
	rng    *rand.Rand
}

func newRelay(to string, seed uint64) (*lossyRelay, error) {
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	r := &lossyRelay{socket: pc, to: addr, rng: rand.New(rand.NewPCG(seed, 4))}
	go r.run()
	return r, nil
}

func (r *lossyRelay) addr() string { return r.socket.LocalAddr().String() }

func (r *lossyRelay) setLoss(share float64) {
	r.mu.Lock()
	r.loss = share
	r.mu.Unlock()
}

func (r *lossyRelay) run() {
	buf := make([]byte, 2048)
	for {
		n, _, err := r.socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as a refusal by a gateway that does not run
		}
		r.mu.Lock()
		lost := r.rng.Float64() < r.loss
		r.mu.Unlock()
		if !lost {
			r.socket.WriteTo(buf[:n], r.to)
		}
	}
}

func (r *lossyRelay) close() { r.socket.Close() }
