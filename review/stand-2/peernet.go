package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// peerNet carries the datagrams between gateways: each gateway has an address at which the others reach it, and
// datagrams to it are passed on. While cut is set, all of them are lost.
type peerNet struct {
	cut   atomic.Bool
	mu    sync.Mutex
	conns []net.PacketConn
}

// add returns the address at which a gateway that listens at the address bind is reached.
func (p *peerNet) add(bind string) (string, error) {
	in, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	to, err := net.ResolveUDPAddr("udp", bind)
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	p.conns = append(p.conns, in)
	p.mu.Unlock()
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, _, err := in.ReadFrom(buf)
			if err != nil {
				return
			}
			if !p.cut.Load() {
				in.WriteTo(buf[:n], to)
			}
		}
	}()
	return in.LocalAddr().String(), nil
}

func (p *peerNet) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}
