package quotaplan

import (
	"slices"
	"sort"
)

// changeSet is a set of changes that only grows.
type changeSet struct {
	ordered []*Change // in the order of Change.before
	byHash  map[uint64]*Change
	hashes  []uint64 // ascending
}

// add adds a change; false: the set had it.
func (s *changeSet) add(c Change) bool {
	h := c.hash()
	if s.byHash[h] != nil {
		return false
	}
	p := &c
	s.byHash[h] = p
	i, _ := slices.BinarySearch(s.hashes, h)
	s.hashes = slices.Insert(s.hashes, i, h)
	at := sort.Search(len(s.ordered), func(i int) bool { return c.before(s.ordered[i]) })
	s.ordered = slices.Insert(s.ordered, at, p)
	return true
}

// hashesBetween are the hashes from low to high, both included.
func (s *changeSet) hashesBetween(low, high uint64) []uint64 {
	i, _ := slices.BinarySearch(s.hashes, low)
	j, found := slices.BinarySearch(s.hashes, high)
	if found {
		j++
	}
	return s.hashes[i:max(i, j)]
}

// xorOf combines hashes into one value that does not depend on their order.
func xorOf(hashes []uint64) (sum uint64) {
	for _, h := range hashes {
		sum ^= h
	}
	return sum
}
