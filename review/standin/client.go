package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// request is one request of a class that is safe to repeat.
type request struct {
	txn, customer string
	spread        int           // number of gateways that serve the customer
	deadline      time.Duration // the time that the client waits for the answer
}

// newRequest returns a request with an id of its own.
func newRequest(customer string, spread int) *request {
	return &request{fmt.Sprintf("%016x", rand.Uint64()), customer, spread, lookupDeadline}
}

// newCustomer returns the name of a customer who was never there before.
func newCustomer() string { return fmt.Sprintf("%016x", rand.Uint64N(1<<33)) }

// encode returns the bytes of the request, as the protocol page has them.
func (r *request) encode() []byte {
	return fmt.Appendf(nil, "GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Txn: %s\r\nX-Lane: %s\r\n"+
		"X-Plan: imprenta\r\nX-Customer: %s\r\nX-Remaining-Ms: %d\r\nX-Quota: units=1,spread=%d,first=0\r\n\r\n",
		r.txn, lookupClass, r.customer, r.deadline.Milliseconds(), r.spread)
}

// client is one connection of usual clients to a gateway. It sends one request at a time.
type client struct {
	name   string
	rec    *record
	nc     net.Conn
	reader *bufio.Reader

	answered *atomic.Int64 // requests that were answered, over all clients
}

func dialClient(p *play, name, addr string) (*client, error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &client{name, p.rec, nc, bufio.NewReader(nc), &p.answered}, nil
}

// exchange sends a request and reads its answer. After an error the connection is of no further use.
func (c *client) exchange(r *request) error {
	err := c.send(r)
	if err != nil {
		c.rec.add("%s no further use after %s: %v", c.name, r.txn, err)
		c.nc.Close()
	}
	return err
}

func (c *client) send(r *request) error {
	if _, err := c.nc.Write(r.encode()); err != nil {
		return err
	}
	c.rec.add("%s sent %s customer %s", c.name, r.txn, r.customer)
	c.nc.SetReadDeadline(time.Now().Add(r.deadline + 2*time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	c.rec.add("%s got %d %s", c.name, resp.StatusCode, r.txn)
	c.answered.Add(1)
	switch {
	case resp.StatusCode == http.StatusOK && string(body) != answerTo(r.txn):
		return errors.New("the answer was made for another request")
	case resp.Close:
		return errors.New("the gateway ends the connection")
	}
	return nil
}
