package quotaplan

import (
	"slices"
	"sort"
)

// changeSet is a grow-only set of changes.
type changeSet struct {
	ordered []*Change // in the order of Change.before
	byHash  map[uint64]*Change
	hashes  []uint64 // in ascending order
}

// add adds a change. It returns false if the set already contains it.
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

// hashesBetween returns the hashes from low to high, both inclusive, in ascending order.
func (s *changeSet) hashesBetween(low, high uint64) []uint64 {
	i, _ := slices.BinarySearch(s.hashes, low)
	j, found := slices.BinarySearch(s.hashes, high)
	if found {
		j++
	}
	return s.hashes[i:max(i, j)]
}

// xorOf combines hashes into a value that does not depend on their order.
func xorOf(hashes []uint64) (sum uint64) {
	for _, h := range hashes {
		sum ^= h
	}
	return sum
}
