package platform

// memoryPressure is how close the process is to its memory limit.
type memoryPressure int

// Levels of pressure. Each one includes the steps of the lower ones; memoryManager describes the steps.
const (
	pressureNone memoryPressure = iota
	pressureElevated
	pressureHigh
	pressureCritical
)

// String returns the name of the level in the log.
func (p memoryPressure) String() string {
	return [...]string{"none", "elevated", "high", "critical"}[p]
}

// Fractions of the memory limit at which a level begins. The target of the runtime leaves an eighth of the limit
// free, so the process stays below the level high as long as the collector can keep it there.
const (
	elevatedShare = 0.8
	highShare     = 0.9
	criticalShare = 0.95
	// fallShare is subtracted from these fractions for the end of a level, so that the level does not change with
	// each measurement.
	fallShare = 0.03
)

// maxCollectionRate is the largest number of garbage collections a second without the level high. Beyond it the live
// memory is so close to the target that collections free little, and they take the processor from requests.
const maxCollectionRate = 30

// nextPressure returns the level that follows the current one. resident and limit are in bytes, collectionRate
// is the number of garbage collections a second.
func nextPressure(current memoryPressure, resident, limit int64, collectionRate float64) memoryPressure {
	if limit <= 0 {
		return pressureNone
	}
	share := float64(resident) / float64(limit)
	level := pressureNone
	for i, begin := range []float64{elevatedShare, highShare, criticalShare} {
		candidate := memoryPressure(i + 1)
		if candidate <= current {
			begin -= fallShare
		}
		if share >= begin {
			level = candidate
		}
	}
	if collectionRate > maxCollectionRate {
		level = max(level, pressureHigh)
	}
	return level
}

const (
	// memoryTargetShare is the largest fraction of the memory limit that becomes the soft limit of the Go runtime.
	// The rest is for what the runtime does not count, and for socket buffers.
	memoryTargetShare = 0.6
	// minTargetShare is the smallest such fraction. With less the collector would run without end.
	minTargetShare = 0.25
	// freeShare is the fraction of the memory limit that the target leaves free.
	freeShare = 0.125
)

// runtimeTarget returns the soft limit of the Go runtime for a process with the given memory limit. outside is the
// memory of the process that the runtime does not count, which is mostly pages of the binary. All are in bytes.
func runtimeTarget(limit, outside int64) int64 {
	share := func(fraction float64) int64 { return int64(fraction * float64(limit)) }
	target := limit - outside - share(freeShare)
	return max(min(target, share(memoryTargetShare)), share(minTargetShare))
}
