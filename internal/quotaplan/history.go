package quotaplan

import "fmt"

// Status is the current status of a change.
type Status string

// Statuses of a change.
const (
	Waiting   Status = "waiting"   // the date is in the future
	InForce   Status = "in force"  // the change applies now; for a reservation, its window is open
	Replaced  Status = "replaced"  // superseded by another change
	Ended     Status = "ended"     // the window of the reservation has passed
	Cancelled Status = "cancelled" // cancelled by another change
	Void      Status = "void"      // the change does not count; Entry.Reason states why
	Done      Status = "done"      // a Cancel or Shorten change, which takes effect at once
)

// Entry is a change with its current status.
type Entry struct {
	Change
	Status Status
	Reason string // explains the status to operators; may be empty
}

// History returns the changes that concern a member, including changes of plan terms, in the order of
// changes. With an empty name it returns all changes.
func (r *Replica) History(member string) (out []Entry) {
	for _, c := range r.set.ordered {
		target := r.derived.byNumber[c.Target]
		if member != "" && c.Member != member && c.Kind != Terms &&
			(target == nil || target.Member != member) {
			continue
		}
		out = append(out, r.entry(c))
	}
	return out
}

// entry determines the current status of a change.
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
	case c.Kind == Move && d.effectiveAt(d.planMoves[c.Member], now) != c,
		c.Kind == Terms && d.effectiveAt(d.termChanges[c.Plan], now) != c:
		e.Status = Replaced
	}
	if units, ok := d.shortenedTo[c.Number]; ok && c.Kind == Reserve {
		e.Reason = fmt.Sprintf("of %v units now", units)
	}
	return e
}

// Contains reports whether the replica has, or is persisting, a change with the same number and content as c.
// A From or Rate of 0 in c matches any value, because Submit replaces these by defaults.
func (r *Replica) Contains(c Change) bool {
	o := r.derived.byNumber[c.Number]
	if o == nil {
		p, ok := r.pending[c.Number]
		if !ok {
			return false
		}
		o = &p.change
	}
	return o.Kind == c.Kind && o.Member == c.Member && o.Plan == c.Plan && o.Units == c.Units &&
		(o.Target == c.Target || o.final()) && (c.From == 0 || c.From == o.From) && c.To == o.To &&
		(c.Rate == 0 || c.Rate == o.Rate) &&
		(c.Kind != Terms || o.Terms == c.Terms)
}

// Changes returns all changes of the set, in the order of changes, for a snapshot.
func (r *Replica) Changes() (out []Change) {
	for _, c := range r.set.ordered {
		out = append(out, *c)
	}
	return out
}

// Digest returns the number of changes in the set and a hash of them. Replicas with equal digests have the
// same set.
func (r *Replica) Digest() (changes int, hash uint64) {
	return len(r.set.hashes), xorOf(r.set.hashes)
}
