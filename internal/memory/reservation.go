package memory

import "sync/atomic"

// Reservation is the memory of one message in an [Account]. Several holders may share it; the last one that
// releases it gives the memory back. A nil *Reservation is valid and reserves nothing.
type Reservation struct {
	account  *Account
	size     int64        // bytes of the message so far
	free     int64        // leading bytes that need no room in the account
	reserved atomic.Int64 // bytes reserved in the account
	holders  atomic.Int32
}

// NewReservation returns an empty reservation with one holder. The first free bytes of the message count outside
// of the account, so that small messages have room even while large ones have taken all of it. Their number must
// have a bound of its own.
func NewReservation(account *Account, free int64) *Reservation {
	r := &Reservation{account: account, free: free}
	r.holders.Store(1)
	return r
}

// Grow adds n bytes and reports whether the account had room for them. Only the first holder may call it, and not
// after it has shared the reservation.
func (r *Reservation) Grow(n int) bool {
	size := r.size + int64(n)
	if size > r.free {
		missing := size - r.reserved.Load()
		if !r.account.Reserve(missing) {
			return false
		}
		r.reserved.Add(missing)
	}
	r.size = size
	return true
}

// Reserved returns the number of bytes that are reserved in the account.
func (r *Reservation) Reserved() int64 {
	if r == nil {
		return 0
	}
	return r.reserved.Load()
}

// Size returns the number of bytes of the message so far. Only the first holder may call it.
func (r *Reservation) Size() int64 { return r.size }

// Retain adds a holder.
func (r *Reservation) Retain() {
	if r != nil {
		r.holders.Add(1)
	}
}

// Release removes a holder, which must no longer refer to the memory of the message.
func (r *Reservation) Release() {
	if r != nil && r.holders.Add(-1) == 0 {
		r.account.Release(r.reserved.Load())
	}
}
