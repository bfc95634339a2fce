// Package pacing bounds the work that the input of clients causes, so that one client can't delay the requests
// of others. A [Budget] decides how long the reader of a connection waits before it takes more input. The
// client's bytes stay in its socket meanwhile, and TCP flow control slows the client down. Nothing is refused
// or dropped.
//
// Work is counted in estimated processor time, see [Work]. A connection waits for two reasons:
//   - It has caused more than its own limit, MaxConnShare of the gateway's processor time.
//   - All connections together have caused more input than MaxInputShare or more pipelined requests than
//     MaxRequestShare, and this connection more than an equal part of that. Connections below their equal part
//     never wait for others, so a health check or a request on a quiet connection is handled at once whatever
//     the others send.
//
// Accepting waits as well, for new connections that take more than MaxAcceptShare. They wait in the kernel's
// backlog; many clients that connect without pause have left again when their connection is accepted.
//
// The estimates may be wrong, and a gateway may get less processor time than it is configured to have. So
// [Budget.NoteLag] lowers the limits while waits end late, which shows that work waits for the processor.
//
// The package does no I/O and reads no clock. Callers pass times as readings of a monotonic clock with any
// fixed origin.
package pacing

import "time"

// Shares of the processor time of a gateway. What they leave is for clients that await each answer, for servers
// and for gossip.
const (
	// MaxConnShare limits the input and the pipelined requests of one connection.
	MaxConnShare = 0.25
	// MaxInputShare limits the input, without pipelined requests, of all connections above their equal part
	// together.
	MaxInputShare = 0.2
	// MaxRequestShare limits the pipelined requests of all connections above their equal part together.
	MaxRequestShare = 0.5
	// MaxAcceptShare limits new connections. It matters only while the processor is short and the limits are
	// lowered: new clients would otherwise wait behind others without need.
	MaxAcceptShare = 1
)

// Work that may be done at once, in processor time of a gateway with one core; a gateway with a share of a core
// may do that share of it.
const (
	connBurst    = 100 * time.Millisecond // input and pipelined requests of one connection
	inputBurst   = 20 * time.Millisecond  // input of all connections
	requestBurst = 200 * time.Millisecond // pipelined requests of all connections
	acceptBurst  = 50 * time.Millisecond  // new connections
)

const (
	// minEqualBurst is the least work at once for which a connection counts as below its equal part, however
	// many connections there are. A new connection begins with it, so that clients gain nothing by opening new
	// connections. It covers a request and some health checks.
	minEqualBurst = 500 * time.Microsecond
	// newConnShare and newConnTotalBurst limit the bursts of input with which new connections begin, in processor
	// time. Clients that are disconnected for what they send and connect again would otherwise gain a burst each
	// time. Beyond the limit a new connection begins with minNewConnBurst, which covers a request.
	newConnShare      = 0.1
	newConnTotalBurst = 100 * time.Millisecond
	minNewConnBurst   = 125 * time.Microsecond
	// maxWait is the longest wait. It is shorter than the time in which a request must be complete.
	maxWait = 500 * time.Millisecond
	// defaultCores is the number of processor cores of a gateway whose configuration does not state it.
	defaultCores = 1
)

// Adaptation of the limits to the processor time that the gateway really gets.
const (
	acceptedLag   = 5 * time.Millisecond  // half of a time slice of the Go scheduler
	adaptInterval = 50 * time.Millisecond // shortest time between two changes
	scaleDecrease = 0.5                   // factor of a change after a late wait
	scaleIncrease = 1.2                   // factor of a change after waits that ended in time
	minScale      = 1.0 / 64              // lowest factor of the limits of input and of pipelined requests
	// minAcceptScale is the lowest factor of the limit of new connections. New clients wait in the same queue as
	// those that connect without pause, so a lower factor would delay them more than it helps the others.
	minAcceptScale = 0.3
	// initialInputScale is the factor for the input before any wait has ended in time, and again after
	// forgetAfter without a wait. It is low because the processor may be far slower than the estimates assume,
	// and nothing shows that before the first wait. Pipelined requests begin with the configured limit, because
	// a request that waits may miss its deadline.
	initialInputScale = 1.0 / 16
	forgetAfter       = time.Second
)

// rate is the speed at which the tokens of a bucket return, in seconds of work per second, and the most that it
// holds.
type rate struct {
	share    float64
	capacity time.Duration
}

// bucket is a token bucket. Its tokens are work that may be done at once; they are negative while there is a
// debt.
type bucket struct {
	tokens    time.Duration // as of updatedAt
	updatedAt time.Duration
}

// take adds the tokens that have returned until now, at most up to the capacity, and removes those for work.
// The debt does not rise further than where the wait is maxWait.
func (b *bucket) take(now time.Duration, r rate, work time.Duration) {
	returned := time.Duration(r.share * float64(max(0, now-b.updatedAt)))
	maxDebt := time.Duration(r.share * float64(maxWait))
	b.tokens = max(-maxDebt, min(r.capacity, b.tokens+returned)-work)
	b.updatedAt = now
}

// wait returns the time until there is no debt.
func (b *bucket) wait(r rate) time.Duration {
	return time.Duration(float64(max(0, -b.tokens)) / r.share)
}

// pool limits one kind of work of all connections together.
type pool struct {
	rate         rate // the configured limit
	total        bucket
	scale        float64 // factor by which the limit is lowered, from minScale to 1
	initialScale float64
	minScale     float64
}

// newPool returns a pool without debt.
func newPool(share float64, capacity time.Duration, initialScale, minScale float64) pool {
	return pool{
		rate:         rate{share, capacity},
		total:        bucket{tokens: capacity},
		scale:        initialScale,
		initialScale: initialScale,
		minScale:     minScale,
	}
}

// adapt changes the scale. isLate says whether waits have ended late.
func (p *pool) adapt(isLate bool) {
	if isLate {
		p.scale = max(p.minScale, p.scale*scaleDecrease)
		return
	}
	p.scale = min(1, p.scale*scaleIncrease)
}

// equalPart returns the part of the configured limit that each of the connections has. It does not follow the
// scale, so that quiet connections do not wait on a slow processor.
func (p *pool) equalPart(conns int) rate {
	n := max(1, conns)
	return rate{p.rate.share / float64(n), max(minEqualBurst, p.rate.capacity/time.Duration(n))}
}

// charge removes the tokens for work and returns the time until there is no debt.
func (p *pool) charge(now, work time.Duration) time.Duration {
	lowered := rate{p.rate.share * p.scale, p.rate.capacity}
	p.total.take(now, lowered, work)
	return p.total.wait(lowered)
}

// chargeConn removes the tokens for work of a connection and returns how long the connection must wait. equal is
// its bucket for its equal part of the pool.
func (p *pool) chargeConn(now time.Duration, equal *bucket, work time.Duration, conns int) time.Duration {
	wait := p.charge(now, work)
	equal.take(now, p.equalPart(conns), work)
	if equal.tokens >= 0 {
		return 0
	}
	return wait
}

// Budget holds the work of all connections of a gateway. It is not safe for concurrent use.
type Budget struct {
	conn     rate // limit of one connection
	input    pool
	requests pool
	accepts  pool

	newConnBursts bucket // bursts of minEqualBurst for new connections
	newConnRate   rate

	maxLag    time.Duration // longest lag since adaptedAt
	adaptedAt time.Duration // time of the last adaptation
}

// New returns the budget of a gateway with the given number of processor cores. 0 counts as defaultCores.
func New(cores float64) *Budget {
	if cores <= 0 {
		cores = defaultCores
	}
	burst := func(oneCore time.Duration) time.Duration { return time.Duration(cores * float64(oneCore)) }
	newConnRate := rate{newConnShare * cores, burst(newConnTotalBurst)}
	return &Budget{
		conn:     rate{MaxConnShare * cores, burst(connBurst)},
		input:    newPool(MaxInputShare*cores, burst(inputBurst), initialInputScale, minScale),
		requests: newPool(MaxRequestShare*cores, burst(requestBurst), 1, minScale),
		accepts:  newPool(MaxAcceptShare*cores, burst(acceptBurst), 1, minAcceptScale),

		newConnBursts: bucket{tokens: newConnRate.capacity},
		newConnRate:   newConnRate,
	}
}

// NoteLag records by how much a wait ended too late, and adapts the limits.
func (b *Budget) NoteLag(now, lag time.Duration) {
	b.maxLag = max(b.maxLag, lag)
	if now-b.adaptedAt < adaptInterval {
		return
	}
	isForgotten := now-b.adaptedAt > forgetAfter
	isLate := b.maxLag > acceptedLag
	for _, p := range []*pool{&b.input, &b.requests, &b.accepts} {
		if isForgotten {
			p.scale = p.initialScale
		}
		p.adapt(isLate)
	}
	b.maxLag, b.adaptedAt = 0, now
}

// Account holds the work that one connection may do.
type Account struct {
	own      bucket // all work
	input    bucket // for the equal part of the input of all connections
	requests bucket // for the equal part of the pipelined requests of all connections
}

// NewAccount returns the account of a new connection.
func (b *Budget) NewAccount(now time.Duration) Account {
	return Account{
		own:      bucket{tokens: b.conn.capacity, updatedAt: now},
		input:    bucket{tokens: b.newConnBurst(now), updatedAt: now},
		requests: bucket{tokens: minEqualBurst, updatedAt: now},
	}
}

// newConnBurst returns the input with which a new connection counts as below its equal part.
func (b *Budget) newConnBurst(now time.Duration) time.Duration {
	b.newConnBursts.take(now, b.newConnRate, minEqualBurst)
	if b.newConnBursts.tokens >= 0 {
		return minEqualBurst
	}
	b.newConnBursts.tokens = 0
	return minNewConnBurst
}

// Charge adds work of a connection and returns how long the connection must wait before it takes more input.
// conns is the number of connections of the gateway.
func (b *Budget) Charge(now time.Duration, a *Account, work Work, conns int) time.Duration {
	a.own.take(now, b.conn, work.input()+work.requests())
	return max(
		a.own.wait(b.conn),
		b.input.chargeConn(now, &a.input, work.input(), conns),
		b.requests.chargeConn(now, &a.requests, work.requests(), conns),
	)
}

// ChargeAccept adds a new connection and returns how long the caller must wait before it accepts the next one.
func (b *Budget) ChargeAccept(now time.Duration) time.Duration {
	return b.accepts.charge(now, connTime)
}
