// Package reservation spends reserved units: requests that are marked as reserved pass by the customer's quota and use
// units of a reservation instead.
//
// The units of a reservation are tokens. They are minted once, at the gateway that accepted the reservation, and from
// then on only move between gateways, so no two gateways can spend the same one, however they are partitioned. A
// gateway that runs short requests a transfer from its peers. What a gateway held when it was killed is unusable until
// its disk is back.
//
// A Ledger is a state machine: Handle takes an event with its time and returns actions, which the caller carries out in
// order. The caller owns the disk and the sockets. A Persist action has the complete state of a reservation; what
// depends on it (spending tokens that were drawn, sending tokens to a peer, acknowledging tokens received) is
// held back until the caller has returned Persisted. After a start the caller passes the last state of each reservation
// to Restore. The package does no I/O, reads no clock and starts no goroutine; a Ledger is not safe for concurrent use.
//
// The states of a token at a gateway: free (persisted, not spendable), drawing (its draw is being persisted), drawn
// (spendable; lost in a crash), and then in flight with a request until that has ended. A transfer takes it from the
// free ones of the sender to the free ones of the receiver.
package reservation
