// Package reservation admits requests against reserved units. A request that is marked as reserved does not
// use the customer's quota; it spends units of a reservation instead.
//
// The units of a reservation are represented by tokens. The gateway that accepted the reservation mints the
// tokens once. After that, tokens only move between gateways, so two gateways can never spend the same token,
// even while the network is partitioned. A gateway that runs short of tokens requests a transfer from its
// peers. The tokens that a gateway held when it was killed cannot be used until its disk is back. Then all of
// them can, except those of requests that were in flight.
//
// If the member's plan has a ceiling, a request also needs room: units that the ceiling still allows at this
// gateway. A gateway that has too little room asks a peer to grant some of its own.
//
// A Ledger is a state machine. Handle takes an event and its time, and returns actions that the caller
// carries out in order. The caller owns the disk and the sockets. A Persist action contains the complete
// state of a reservation. Every effect that depends on that state (spending drawn tokens, sending tokens to a
// peer, acknowledging received tokens) is deferred until the caller reports Persisted. A RecordSpending action
// contains the units spent so far; it is written, without a sync, before the requests that spent them are
// forwarded. After a start, the caller passes the spending records to RestoreSpending and then the last state
// of each reservation to Restore. The package does no I/O, reads no clock and
// starts no goroutine. A Ledger is not safe for concurrent use.
//
// A token at a gateway is in one of these states:
//
//   - free: persisted, but not yet spendable
//   - drawing: the state without the token is being persisted
//   - drawn: spendable; lost if the machine crashes, but not if the process is killed
//   - in flight: used by a request that has not ended
//
// A transfer moves a token from the free tokens of the sender to the free tokens of the receiver.
package reservation
