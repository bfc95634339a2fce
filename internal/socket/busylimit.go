package socket

import (
	"cmp"
	"time"
)

const (
	defaultMaxBusyTime = 4 * time.Millisecond   // see BusyLimit.MaxBusyTime
	defaultPause       = time.Millisecond       // see BusyLimit.Pause
	minWait            = 100 * time.Microsecond // shortest call that counts as a wait for input
)

// BusyLimit makes a goroutine pause that takes input without ever waiting for it. As long as input has already
// arrived, its calls never block; with one processor, the scheduler then looks for ready sockets only when the
// time slice of the goroutine has ended. The zero value is ready for use. One goroutine calls all methods.
//
// A caller that can't tell whether a call has waited encloses it in BeginCall and EndCall, which judge by its
// duration. Other callers report a wait with NoteWait.
type BusyLimit struct {
	MaxBusyTime time.Duration // longest time of taking input without a wait; 0: 4 ms
	Pause       time.Duration // pause after that time; 0: 1 ms

	calledAt  time.Time // start of the call in progress
	busySince time.Time // end of the last wait for input; zero before the first call
}

// BeginCall records the start of a call that may wait for input.
func (l *BusyLimit) BeginCall() { l.calledAt = time.Now() }

// EndCall records the end of that call.
func (l *BusyLimit) EndCall() {
	if l.busySince.IsZero() || time.Since(l.calledAt) > minWait {
		l.NoteWait()
	}
}

// NoteWait records that the goroutine has waited for input.
func (l *BusyLimit) NoteWait() { l.busySince = time.Now() }

// PauseIfBusy pauses if the goroutine has taken input for longer than MaxBusyTime without a wait. It reports
// whether it paused.
func (l *BusyLimit) PauseIfBusy() bool {
	if l.busySince.IsZero() || time.Since(l.busySince) <= cmp.Or(l.MaxBusyTime, defaultMaxBusyTime) {
		return false
	}
	time.Sleep(cmp.Or(l.Pause, defaultPause))
	l.NoteWait()
	return true
}
