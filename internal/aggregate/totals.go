package aggregate

import "github.com/cespare/xxhash/v2"

// Key is a customer or a class of requests.
type Key struct {
	IsClass bool
	Name    string
}

func (k Key) hash() uint64 {
	kind := "m/"
	if k.IsClass {
		kind = "c/"
	}
	return xxhash.Sum64String(kind + k.Name)
}

// Totals are counts of requests by their outcome, and the units that were used.
type Totals struct {
	Served, Rejected, Failed uint64
	Units                    float64
}

func (t *Totals) add(o Totals) {
	t.Served += o.Served
	t.Rejected += o.Rejected
	t.Failed += o.Failed
	t.Units += o.Units
}

// less reports whether any of t is less than that of o. Totals only grow, so t is older then.
func (t Totals) less(o Totals) bool {
	return t.Served < o.Served || t.Rejected < o.Rejected || t.Failed < o.Failed || t.Units < o.Units
}

func (t Totals) minus(o Totals) Totals {
	return Totals{t.Served - o.Served, t.Rejected - o.Rejected, t.Failed - o.Failed, t.Units - o.Units}
}
