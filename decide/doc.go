// Package decide makes the decisions of an API gateway that enforces quotas over a fleet: which requests to
// admit, which server to send an attempt to, when to retry or hedge, and when to give the final answer.
//
// A [Gateway] is a deterministic state machine. It does no I/O, reads no clock, starts no goroutine and
// keeps no state outside itself. The caller owns the clock, the sockets, the timers and the queue of
// events; it calls [Gateway.Handle] once for each [Event] and carries out the returned [Action] values.
//
// # Calls
//
// A Gateway belongs to one goroutine, usually an event loop. Handle, Status and CeilingShares must not
// run at the same time. Handle does not block, and must not be called while the caller is still carrying
// out its actions: what an action causes at once (a failed dial, a cancelled attempt) is an event of its
// own, handled after the actions of the present one. The returned slice belongs to the caller.
//
// # Time
//
// Times are a [time.Duration] since an origin of the caller's choice, taken from a monotonic clock. The
// time given to Handle is the time at which the event is handled; a time earlier than the last one counts
// as the last one. [Request.Deadline], [Server.StartedAt], [SetTimer.At] and [Send.WriteBefore] are on
// the same clock. A gap without any event, in which not even the heartbeat timer fired, is taken as a
// stall of the caller's event loop: requests and responses found after it are not blamed on the servers.
//
// # What the caller must do
//
// Actions are carried out in the order in which they are returned, and all actions of one event before the
// next event is handled.
//
//   - [Send] starts an attempt. The attempts of a request are numbered from 0 in the order of their Sends.
//     Each attempt must end in exactly one [AttemptEnded], also one that was cancelled or never started
//     ([OutcomeNotDispatched]). An outcome that says that the attempt never ran must be true: the request
//     may then be sent again although it is not idempotent.
//   - [Cancel] asks for the early end of an attempt. The attempt still ends in an AttemptEnded, usually with
//     [OutcomeCancelled].
//   - [Reject] and [Fail] are final answers. A Reject tells the client that the request may be sent again
//     without harm, so a caller must never turn a Fail into one. The third final answer is the response of
//     a server, which the caller passes on and marks by [AttemptEnded.RequestDone]. Each request gets
//     exactly one of the three, unless [ClientDisconnected] was handled first.
//   - [SetTimer] asks for one [TimerFired] with the same token, not before its time. A late timer only
//     delays what depends on it; without the heartbeat timer gossip and upkeep stop.
//   - [SendGossip] carries a datagram to one peer, which hands it to its Gateway as [GossipReceived]. It may
//     be lost, repeated, delayed or overtaken. The sender's rank must be authentic.
//   - A [PlanChange] must be durable before it is handled: a Gateway remembers nothing over a restart, so the
//     caller hands in again what is in force.
//
// Until the first [EndpointUpdate] no server is known, and every request is rejected.
//
// # Determinism
//
// The same configuration, seed and sequence of times and events give the same actions, byte for byte. A
// recording of a Gateway can thus be replayed, and any failure played again. The order in which random
// numbers are drawn and the order of floating-point operations are part of that: a change of either
// changes the outcome of recordings. No decision depends on the order of a map.
//
// # Files
//
// Each rule has one file: quota.go the leaky bucket, demandshare.go and usagereport.go a gateway's share
// of it, gossip.go the totals that gateways exchange, quotaowner.go the grants of a customer's owner
// gateways, admission.go load shedding, selection.go the choice of a server, outlier.go and latency.go
// what is known of the servers, slowstart.go the warm-up budget, retry.go retries and hedging, attempt.go
// the way of a request from its first attempt to its final answer. Constants stand beside the rule that
// uses them.
package decide
