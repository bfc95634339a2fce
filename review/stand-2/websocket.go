package main

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// session is a WebSocket session of a client (RFC 6455) that carries JSON-RPC 2.0. Calls may be open side by
// side.
type session struct {
	nc net.Conn
	in *bufio.Reader

	mu    sync.Mutex // guards writes and the fields below
	next  int
	calls map[int]chan wsReply
	ended bool
}

// wsReply is the answer to a call. kind is "served", "rejected" or "failed", or "none" if the session ended.
type wsReply struct {
	kind, reason string
	units        float64
	at           time.Time
}

// openSession performs the handshake with a gateway.
func openSession(addr, key string) (*session, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	var nonce [16]byte
	rand.Read(nonce[:])
	nc.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(nc, "GET / HTTP/1.1\r\nHost: %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: jsonrpc\r\nSec-WebSocket-Key: %s\r\n"+
		"Authorization: Bearer %s\r\n\r\n", addr, base64.StdEncoding.EncodeToString(nonce[:]), key)
	in := bufio.NewReader(nc)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		nc.Close()
		return nil, err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		nc.Close()
		return nil, fmt.Errorf("handshake: %s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	nc.SetDeadline(time.Time{})
	s := &session{nc: nc, in: in, calls: map[int]chan wsReply{}}
	go s.read()
	return s, nil
}

// frame writes one masked frame. The caller holds mu.
func (s *session) frame(opcode byte, data []byte) error {
	b := []byte{0x80 | opcode}
	switch {
	case len(data) < 126:
		b = append(b, 0x80|byte(len(data)))
	default:
		b = append(b, 0x80|126)
		b = binary.BigEndian.AppendUint16(b, uint16(len(data)))
	}
	var mask [4]byte
	rand.Read(mask[:])
	b = append(b, mask[:]...)
	for i, c := range data {
		b = append(b, c^mask[i%4])
	}
	_, err := s.nc.Write(b)
	return err
}

// call sends a call and returns the channel of its answer.
func (s *session) call(class string, params map[string]any) (<-chan wsReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil, net.ErrClosed
	}
	s.next++
	raw, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": s.next, "method": class, "params": params})
	if err != nil {
		return nil, err
	}
	answer := make(chan wsReply, 1)
	s.calls[s.next] = answer
	if err := s.frame(1, raw); err != nil {
		delete(s.calls, s.next)
		return nil, err
	}
	return answer, nil
}

// read handles messages until the session ends. Calls that are open then have no answer.
func (s *session) read() {
	for {
		opcode, data, err := s.readFrame()
		if err != nil || opcode == 8 {
			break
		}
		if opcode == 9 {
			s.mu.Lock()
			s.frame(10, data)
			s.mu.Unlock()
		}
		if opcode == 1 {
			s.answer(data)
		}
	}
	s.nc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for id, answer := range s.calls {
		delete(s.calls, id)
		answer <- wsReply{kind: "none", at: time.Now()}
	}
}

func (s *session) readFrame() (opcode byte, data []byte, err error) {
	var head [2]byte
	if _, err := io.ReadFull(s.in, head[:]); err != nil {
		return 0, nil, err
	}
	n := uint64(head[1] & 0x7f)
	var long [8]byte
	switch n {
	case 126:
		_, err = io.ReadFull(s.in, long[:2])
		n = uint64(binary.BigEndian.Uint16(long[:2]))
	case 127:
		_, err = io.ReadFull(s.in, long[:])
		n = binary.BigEndian.Uint64(long[:])
	}
	if err != nil || n > 1<<20 {
		return 0, nil, fmt.Errorf("frame of %d bytes: %v", n, err)
	}
	data = make([]byte, n)
	_, err = io.ReadFull(s.in, data)
	return head[0] & 0xf, data, err
}

func (s *session) answer(data []byte) {
	var m struct {
		ID     int `json:"id"`
		Result *struct {
			Units float64 `json:"units"`
		} `json:"result"`
		Error *struct {
			Code    int    `json:"code"`
			Message string `json:"message"`
			Data    struct {
				Reason string `json:"reason"`
			} `json:"data"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &m) != nil {
		return
	}
	s.mu.Lock()
	answer := s.calls[m.ID]
	delete(s.calls, m.ID)
	s.mu.Unlock()
	if answer == nil {
		return
	}
	a := wsReply{at: time.Now()}
	switch {
	case m.Result != nil:
		a.kind, a.units = "served", m.Result.Units
	case m.Error != nil && m.Error.Message == "refused":
		a.kind, a.reason = "rejected", m.Error.Data.Reason
	case m.Error != nil:
		a.kind, a.reason = "failed", m.Error.Message
	}
	answer <- a
}

// end closes the session with a close frame.
func (s *session) end() {
	s.mu.Lock()
	s.frame(8, []byte{3, 232})
	s.mu.Unlock()
	time.AfterFunc(time.Second, func() { s.nc.Close() })
}
