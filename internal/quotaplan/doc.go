// Package quotaplan replicates the changes to customers' plans and decides which plan is in force at a moment: who is
// on which plan from when, what a plan's terms become, and which units are reserved for whom.
//
// Every gateway has a Replica of the whole set of changes. A Change is a numbered record that never alters. All that
// holds at a moment is computed from the set alone, in one total order of changes, so replicas with the same set agree,
// however and in whatever order the changes reached them. Replicas converge by forwarding new changes and by
// anti-entropy: they compare ranges of hashes and exchange what differs.
//
// A Replica is a state machine: Handle takes an event with its time and returns actions, which the caller carries out
// in order. The caller owns the disk and the sockets. It makes the change of a Persist action durable before it returns
// Persisted; a change submitted here is answered and sent to others only then. After a start it passes what was
// persisted to Restore and then a Start event. The package does no I/O, reads no clock and starts no goroutine; a
// Replica is not safe for concurrent use.
package quotaplan
