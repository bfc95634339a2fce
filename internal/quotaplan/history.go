package quotaplan

import "fmt"

// Status is what became of a change.
type Status string

// The statuses.
const (
	Waiting   Status = "waiting"   // its date is in the future
	InForce   Status = "in force"  // or, of a reservation, within its window
	Replaced  Status = "replaced"  // superseded by another change
	Ended     Status = "ended"     // a reservation whose window is over
	Cancelled Status = "cancelled" // by another change
	Void      Status = "void"      // it does not count, for the Reason given
	Done      Status = "done"      // of Cancel and Shorten
)

// Entry is a change and what became of it.
type Entry struct {
	Change
	Status Status
	Reason string // for operators; may be empty
}

// History lists the changes of one member, and those of plans, or all with an empty name, in their order.
func (r *Replica) History(member string) (out []Entry) {
	for _, c := range r.set.ordered {
		target := r.derived.byNumber[c.Target]
		if member != "" && c.Member != member && c.Kind != Terms && (target == nil || target.Member != member) {
			continue
		}
		out = append(out, r.entry(c))
	}
	return out
}

func (r *Replica) entry(c *Change) Entry {
	e := Entry{Change: *c, Status: InForce}
	d, now := &r.derived, r.now.Wall
	switch {
	case d.voidReasons[c] != "":
		e.Status, e.Reason = Void, d.voidReasons[c]
	case c.Kind == Cancel || c.Kind == Shorten:
		e.Status = Done
	case d.cancelledBy[c.Number] != 0:
		e.Status, e.Reason = Cancelled, fmt.Sprintf("by %d", d.cancelledBy[c.Number])
	case c.From > now:
		e.Status = Waiting
	case c.Kind == Reserve && c.To <= now:
		e.Status = Ended
	case c.Kind == Move && d.inForce(d.planMoves[c.Member], now) != c,
		c.Kind == Terms && d.inForce(d.termChanges[c.Plan], now) != c:
		e.Status = Replaced
	}
	if units, ok := d.shortenedTo[c.Number]; ok && c.Kind == Reserve {
		e.Reason = fmt.Sprintf("of %v units now", units)
	}
	return e
}

// Contains reports whether the replica has, or is persisting, a change of that number that says the same. Of c, a From
// or Rate of 0 matches any.
func (r *Replica) Contains(c Change) bool {
	o := r.derived.byNumber[c.Number]
	if o == nil {
		p, ok := r.pending[c.Number]
		if !ok {
			return false
		}
		o = &p.change
	}
	return o.Kind == c.Kind && o.Member == c.Member && o.Plan == c.Plan && o.Units == c.Units && o.Target == c.Target &&
		(c.From == 0 || c.From == o.From) && c.To == o.To && (c.Rate == 0 || c.Rate == o.Rate) &&
		(c.Kind != Terms || o.Terms == c.Terms)
}

// Changes returns all changes of the set, in its order, for a snapshot.
func (r *Replica) Changes() (out []Change) {
	for _, c := range r.set.ordered {
		out = append(out, *c)
	}
	return out
}

// Digest identifies the set by its size and a hash: replicas with the same digest have the same set.
func (r *Replica) Digest() (changes int, hash uint64) {
	return len(r.set.hashes), xorOf(r.set.hashes)
}
