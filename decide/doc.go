// Package decide implements the decisions of an API gateway that enforces quotas across a fleet of gateways:
// which requests to admit, which server to send an attempt to, when to retry or hedge a request, and when to
// give the client its final answer.
//
// A [Gateway] is a deterministic state machine. It does no I/O, reads no clock, starts no goroutine and
// keeps no global state. The caller owns the clock, the sockets, the timers and the event queue; it calls
// [Gateway.Handle] once for each [Event] and carries out the returned [Action] values.
//
// # Calls
//
// A Gateway is not safe for concurrent use: Handle, Status and CeilingShares must not run at the same time,
// so a Gateway usually belongs to the goroutine of one event loop. Handle does not block. It must not be
// called again while the caller is still carrying out the returned actions: an immediate result of an action
// (a failed dial, a cancelled attempt) is a separate event, to be handled after the remaining actions. The
// caller owns the returned slice.
//
// # Time
//
// A point in time is a [time.Duration] since an origin that the caller chooses, read from a monotonic clock.
// The time passed to Handle is the time at which the event is handled; if it is earlier than that of the
// previous event, the previous time is used. [Request.Deadline], [Server.StartedAt], [SetTimer.At] and
// [Send.WriteBefore] use the same clock. A gap between events in which not even the heartbeat timer fired is
// treated as a stall of the caller's event loop: delays of the requests and responses that are handled at its
// end are not attributed to the servers.
//
// # What the caller must do
//
// Carry out actions in the order in which they are returned, and all actions of one event before the next
// event is handled.
//
//   - [Send] starts an attempt. The attempts of a request are numbered from 0 in the order of their Sends.
//     Each attempt must end in exactly one [AttemptEnded], even if it was cancelled or never started
//     ([OutcomeNotDispatched]). The caller may report an outcome that proves that an attempt never ran only
//     if that is certain: the request may then be sent again even if it is not idempotent.
//   - [Cancel] ends an attempt early. The attempt still ends in an AttemptEnded, usually with
//     [OutcomeCancelled].
//   - [Reject] and [Fail] are final answers. A Reject states that the client can safely send the request
//     again, so the caller must never replace a Fail by a Reject. The third kind of final answer is the
//     response of a server, which the caller forwards and reports with [AttemptEnded.RequestDone]. Each
//     request gets exactly one final answer, unless [ClientDisconnected] was handled first.
//   - [SetTimer] requests one [TimerFired] with the same token, at or after the given time. A late timer only
//     delays the work that depends on it; if the heartbeat timer is lost, gossip and periodic maintenance
//     stop.
//   - [SendGossip] sends a datagram to one peer, whose caller passes it to its Gateway as [GossipReceived].
//     Datagrams may be lost, duplicated, delayed or reordered. The caller must authenticate the sender's
//     rank.
//   - A [PlanChange] must be stored durably before it is handled. A Gateway keeps no state across a restart,
//     so after one the caller must pass in again each PlanChange that is in force.
//
// Until the first [EndpointUpdate] no server is known and every request is rejected.
//
// # Determinism
//
// The same configuration, seed and sequence of times and events produce exactly the same actions, so a
// recorded run can be replayed to reproduce a failure. This includes the order in which random numbers are
// drawn and the order of floating-point operations: changing either one changes the result of replaying
// existing recordings. No decision depends on map iteration order.
//
// # Files
//
// Each rule has its own file, which also defines the constants of the rule:
//
//   - admission.go: admission of requests and load shedding
//   - attempt.go: the lifecycle of a request from its first attempt to its final answer
//   - demandshare.go and usagereport.go: the share of a customer's quota that this gateway may use
//   - eviction.go: which customers are forgotten, and what is kept of them
//   - gossip.go: the totals that gateways exchange
//   - latency.go and outlier.go: latency and failures of the servers
//   - quota.go: the leaky bucket of a customer
//   - quotaowner.go: grants by the owner gateways of a customer
//   - retry.go: retries and hedging
//   - selection.go: selection of a server
//   - slowstart.go: the request budget of a server in slow start
//
// The remaining files hold the configuration, the events and actions, the state that rules share, and the
// encoding of messages.
package decide
