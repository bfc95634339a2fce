// Package memory accounts for the memory that peers cause: bodies, bytes that are read ahead, and answers that wait
// to be taken. What is reserved is the capacity of buffers, not the length of their contents, and it is released
// by the last holder of a buffer, not when the buffer is no longer wanted.
package memory

import "sync/atomic"

// Account limits the memory of one purpose. An account may have a parent, which limits the sum over its children.
// A nil *Account has no limit and counts nothing. All methods are safe for concurrent use.
type Account struct {
	parent *Account
	limit  int64 // bytes; 0: no limit

	used     atomic.Int64
	peak     atomic.Int64 // largest value of used since the last call of TakePeak
	refusals atomic.Int64
}

// NewAccount returns an account with a limit in bytes; 0 means no limit. parent may be nil.
func NewAccount(parent *Account, limit int64) *Account {
	return &Account{parent: parent, limit: limit}
}

// Reserve reserves n bytes and reports whether they were available in this account and its parents.
func (a *Account) Reserve(n int64) bool {
	if a == nil {
		return true
	}
	used := a.used.Add(n)
	if a.limit > 0 && used > a.limit || !a.parent.Reserve(n) {
		a.used.Add(-n)
		a.refusals.Add(1)
		return false
	}
	a.notePeak(used)
	return true
}

// Add reserves n bytes even beyond the limit. It is for memory that has a bound of its own.
func (a *Account) Add(n int64) {
	if a == nil {
		return
	}
	a.notePeak(a.used.Add(n))
	a.parent.Add(n)
}

// Release gives back n bytes that Reserve or Add has reserved.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.used.Add(-n)
	a.parent.Release(n)
}

// Limit returns the limit in bytes; 0 means no limit.
func (a *Account) Limit() int64 { return a.limit }

// Used returns the number of bytes that are reserved.
func (a *Account) Used() int64 {
	if a == nil {
		return 0
	}
	return a.used.Load()
}

// Refusals returns how often Reserve has returned false.
func (a *Account) Refusals() int64 {
	if a == nil {
		return 0
	}
	return a.refusals.Load()
}

// TakePeak returns the largest number of bytes that were reserved at a time since the last call.
func (a *Account) TakePeak() int64 {
	if a == nil {
		return 0
	}
	return max(a.peak.Swap(0), a.used.Load())
}

// notePeak records that used bytes were reserved at a time.
func (a *Account) notePeak(used int64) {
	for {
		peak := a.peak.Load()
		if used <= peak || a.peak.CompareAndSwap(peak, used) {
			return
		}
	}
}
