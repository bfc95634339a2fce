package aggregate

import "github.com/cespare/xxhash/v2"

// Key identifies a customer or a class of requests.
type Key struct {
	IsClass bool // the key is a class, not a customer
	Name    string
}

// hash returns the hash that identifies the key in reports and selects its owners.
func (k Key) hash() uint64 {
	kind := "m/"
	if k.IsClass {
		kind = "c/"
	}
	return xxhash.Sum64String(kind + k.Name)
}

// Totals counts requests by outcome, and the units that they used.
type Totals struct {
	Served, Rejected, Failed uint64  // requests
	Units                    float64 // units used by these requests
}

func (t *Totals) add(o Totals) {
	t.Served += o.Served
	t.Rejected += o.Rejected
	t.Failed += o.Failed
	t.Units += o.Units
}

// less reports whether any field of t is less than that of o. Totals only grow, so t is then older than o.
func (t Totals) less(o Totals) bool {
	return t.Served < o.Served || t.Rejected < o.Rejected || t.Failed < o.Failed || t.Units < o.Units
}

func (t Totals) minus(o Totals) Totals {
	return Totals{t.Served - o.Served, t.Rejected - o.Rejected, t.Failed - o.Failed, t.Units - o.Units}
}
