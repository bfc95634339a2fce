// Package quotaplan replicates plan changes between gateways and computes the plans in force at any time. A
// plan change moves a member to another plan, changes the terms of a plan, reserves units for a member, or
// cancels or shortens an earlier change.
//
// Every gateway has a Replica of the whole set of changes. A Change is a numbered, immutable record. The
// plans in force at a time are computed from the set alone, in a total order of the changes. Replicas with
// the same set therefore agree, no matter how and in which order the changes reached them. Replicas converge
// by forwarding new changes and by anti-entropy: they compare hashes of ranges of the set and exchange the
// changes that differ.
//
// Reservations are an exception to the equality of gateways: whether one fits depends on all others, so one
// gateway, the acceptor, accepts them for the whole fleet, and what it accepted counts whatever other changes
// are found later. The other gateways propose to it what they are asked for (acceptor.go). An acceptor with a
// new folder first learns what the others have (completeness.go).
//
// A Replica is a state machine. Handle takes an event and its time, and returns actions that the caller
// carries out in order. The caller owns the disk and the sockets. It makes the change of a Persist action
// durable and then reports Persisted; only then is a change that was submitted here acknowledged and sent to
// other gateways. After a start, the caller passes the persisted changes to Restore and then a Start event to
// Handle. The package does no I/O, reads no clock and starts no goroutine. A Replica is not safe for
// concurrent use.
package quotaplan
