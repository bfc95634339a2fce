package quotaplan

import (
	"fmt"
	"slices"
	"time"
)

// Reservations are accepted by one gateway for the whole fleet, one after the other, because a sum of
// reservations has to fit, and only a gateway that knows all of them can tell. An accepted reservation is
// final: no other change can make it void. Gateways that are asked for a reservation propose it to the
// acceptor and answer with its decision.

const (
	// proposalTimeout is how long a gateway waits for the decision of the acceptor.
	proposalTimeout = 3 * time.Second
	// proposalRetryInterval is the time after which a proposal without a decision is sent again.
	proposalRetryInterval = 250 * time.Millisecond
	// decisionTimeout is how long the acceptor waits until it knows the changes of all other gateways. It is
	// shorter than proposalTimeout, so that the reason of a rejection reaches the gateway that proposed.
	decisionTimeout = 2500 * time.Millisecond
)

// acceptedByFleet is the Target of a reservation that the acceptor accepted. Reservations have no other use
// for the field, and earlier versions, whose gateways accepted reservations each for itself, ignore it.
const acceptedByFleet = ^uint64(0)

// FieldGateway is the Field of an Error about a reservation on which the acceptor could not decide. The same
// change may be accepted later.
const FieldGateway = "gateway"

// final reports whether a change is a reservation that the acceptor accepted.
func (c *Change) final() bool { return c.Kind == Reserve && c.Target == acceptedByFleet }

// submission is a submitted change with the place that its answer goes to.
type submission struct {
	from        int    // rank of the gateway that proposed it; noPeer: submitted to this gateway
	token       uint64 // token of the Submit event, at the gateway that got it
	incarnation uint64 // of the process of that gateway, if from is not noPeer
	change      Change
	deadline    time.Duration // on the monotonic clock
}

// sameOrigin reports whether two submissions are copies of one.
func (s *submission) sameOrigin(o *submission) bool {
	return s.from == o.from && s.token == o.token && s.incarnation == o.incarnation
}

// proposal is a reservation that waits for the decision of the acceptor.
type proposal struct {
	submission
	sendAt time.Duration // time of the next transmission, on the monotonic clock
}

// submitReservation starts the acceptance of a reservation whose fields are valid.
func (r *Replica) submitReservation(token uint64, c Change) {
	c.Target = 0
	s := submission{from: noPeer, token: token, change: c}
	if r.settings.Rank == r.settings.Acceptor {
		s.deadline = r.now.Mono + decisionTimeout
		r.undecided = append(r.undecided, s)
		r.decideNext()
		return
	}
	s.deadline = r.now.Mono + proposalTimeout
	r.proposals = append(r.proposals, &proposal{s, r.now.Mono})
	r.sendProposals()
}

// sendProposals sends the proposals that are due and gives up those whose time is over.
func (r *Replica) sendProposals() {
	r.proposals = slices.DeleteFunc(r.proposals, func(p *proposal) bool {
		if r.now.Mono >= p.deadline {
			r.emit(Reply{p.token, p.change, invalid(&p.change, FieldGateway,
				"no answer of gateway %d, which accepts the reservations of the fleet, within %v: it is down, "+
					"cut off or of an earlier version. It may still have accepted this one, ask the history. "+
					"Else start it or restore the connection, and send the change again with the same number",
				r.settings.Acceptor, proposalTimeout)})
			return true
		}
		if r.now.Mono >= p.sendAt {
			p.sendAt = r.now.Mono + proposalRetryInterval
			r.emit(Send{r.settings.Acceptor, proposalMessage{p.token, r.settings.Incarnation, p.change}.encode()})
		}
		return false
	})
}

// receiveProposal queues the reservation that another gateway proposes. A copy of one that is decided already
// gets the same answer.
func (r *Replica) receiveProposal(from int, m proposalMessage) {
	s := submission{from: from, token: m.token, incarnation: m.incarnation, change: m.change,
		deadline: r.now.Mono + decisionTimeout}
	if r.settings.Rank != r.settings.Acceptor || s.change.Kind != Reserve {
		return
	}
	s.change.Target = 0
	known := r.derived.byNumber[s.change.Number]
	if known != nil && known.final() && r.Contains(s.change) && r.derived.cancelledBy[known.Number] == 0 {
		r.answer(&s, *known, nil)
		return
	}
	for _, p := range r.pending {
		if p.sameOrigin(&s) {
			return
		}
	}
	isCopy := slices.ContainsFunc(r.undecided, func(o submission) bool { return o.sameOrigin(&s) })
	if isCopy || len(r.undecided) >= maxPendingSubmits {
		return
	}
	r.undecided = append(r.undecided, s)
	r.decideNext()
}

// decideNext decides on the waiting reservations in order, as long as no accepted one is being persisted: the
// next one has to fit beside it.
func (r *Replica) decideNext() {
	for len(r.undecided) > 0 && !r.persistsReservation() {
		s := r.undecided[0]
		if !r.complete {
			if r.now.Mono < s.deadline {
				return
			}
			r.undecided = r.undecided[1:]
			r.answer(&s, s.change, r.incompleteError(&s.change))
			continue
		}
		r.undecided = r.undecided[1:]
		if r.stale {
			r.recompute()
		}
		err := r.check(&s.change)
		if err == nil {
			err = r.checkCapacity(&s.change, r.planAt(s.change.Member, s.change.From))
		}
		if err != nil {
			r.answer(&s, s.change, err)
			continue
		}
		r.accept(&s)
	}
}

// persistsReservation reports whether an accepted reservation is being persisted.
func (r *Replica) persistsReservation() bool {
	for _, p := range r.pending {
		if p.change.Kind == Reserve {
			return true
		}
	}
	return false
}

// answer gives the answer to a submission, at this gateway or at the one that proposed it.
func (r *Replica) answer(s *submission, c Change, err *Error) {
	if s.from == noPeer {
		r.emit(Reply{s.token, c, err})
		return
	}
	r.emit(Send{s.from, decisionMessage{s.token, s.incarnation, c, err}.encode()})
}

// receiveDecision answers the submission of a reservation with the decision of the acceptor.
func (r *Replica) receiveDecision(from int, m decisionMessage) {
	i := slices.IndexFunc(r.proposals, func(p *proposal) bool {
		return p.token == m.token && p.change.Number == m.change.Number
	})
	if from != r.settings.Acceptor || m.incarnation != r.settings.Incarnation || i < 0 {
		return
	}
	r.proposals = slices.Delete(r.proposals, i, i+1)
	if m.err == nil && r.add(m.change) {
		r.emit(Persist{m.change, false})
		r.forward([]*Change{&m.change}, from)
	}
	r.emit(Reply{m.token, m.change, m.err})
}

// advanceAdmission does the work for reservations that is due.
func (r *Replica) advanceAdmission() {
	r.sendProposals()
	r.queryPeers()
	r.decideNext()
}

// nextAdmission returns the time, on the monotonic clock, of the next work for reservations, or a later time
// than any if there is none.
func (r *Replica) nextAdmission(never time.Duration) time.Duration {
	at := never
	for _, p := range r.proposals {
		at = min(at, p.sendAt, p.deadline)
	}
	if !r.complete {
		at = min(at, r.queryAt)
		for _, s := range r.undecided {
			at = min(at, s.deadline)
		}
	}
	return at
}

// incompleteError says why the acceptor can't accept a reservation yet.
func (r *Replica) incompleteError(c *Change) *Error {
	var missing []string
	for rank, heard := range r.heard {
		if !heard {
			missing = append(missing, fmt.Sprint(rank))
		}
	}
	return invalid(c, FieldGateway, "%d, which accepts the reservations of the fleet, has a new folder and has to "+
		"learn first what was accepted before; it has not heard yet from %s: start them and send the change again",
		r.settings.Acceptor, joinNames(missing))
}
