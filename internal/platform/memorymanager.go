package platform

import (
	"context"
	"log/slog"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/internal/memory"
)

const (
	memoryCheckInterval = 50 * time.Millisecond // interval between two checks of the memory of the process
	// costlyStepInterval is the shortest time between two drops of file pages and between two forced collections.
	costlyStepInterval = time.Second
	// collectionWindow is the time over which collections are counted.
	collectionWindow = time.Second
	// minTargetChange is the smallest change of the target that is worth a pause of all goroutines, as a fraction of
	// the limit.
	minTargetChange = 1.0 / 64
)

// Fractions of the limits on the memory of bodies and of responses. Over fullShare the oldest are ended until
// roomShare is left, so that other clients have room.
const (
	fullShare = 0.875
	roomShare = 0.75
)

// Metrics of the Go runtime (package runtime/metrics).
const (
	mappedMetric   = "/memory/classes/total:bytes"         // memory that the runtime has mapped
	releasedMetric = "/memory/classes/heap/released:bytes" // the part of it that was returned to the system
	collections    = "/gc/cycles/total:gc-cycles"          // garbage collections since the start
)

// memoryHolder is a part of the gateway that holds memory for peers and can be told to hold less.
type memoryHolder interface {
	// LimitBodies sets whether large bodies are refused.
	LimitBodies(limited bool)
	// EndOldestBodies ends connections that are receiving large bodies of excess bytes in all.
	EndOldestBodies(excess int64) int
	// EndStalledResponses ends connections whose clients do not take responses of excess bytes in all.
	EndStalledResponses(excess int64) int
}

// peerAccounts are the accounts of the memory that peers cause.
type peerAccounts struct {
	total     *memory.Account // sum of the others
	bodies    *memory.Account // bodies of requests, and bytes of clients that are read ahead
	responses *memory.Account // bodies of responses, until clients have taken them
}

// newPeerAccounts returns the accounts for a configuration.
func newPeerAccounts(c *Config) peerAccounts {
	total := memory.NewAccount(nil, 0)
	return peerAccounts{
		total:     total,
		bodies:    memory.NewAccount(total, c.maxBodyMemory()),
		responses: memory.NewAccount(total, c.maxBodyMemory()),
	}
}

// memoryCounters count the steps of a memoryManager.
type memoryCounters struct {
	fileDrops         atomic.Int64 // drops of pages of the binary
	forcedCollections atomic.Int64
	levelChanges      atomic.Int64
}

// memoryManager keeps the process within its memory limit. It sets the target of the Go runtime to what the limit
// leaves beside the memory that the runtime does not count, and reacts to the pressure:
//
//   - elevated: pages of the binary that are not in use are dropped
//   - high: large bodies are refused, the oldest of those that are being received and responses that clients do not
//     take are ended until half of their limits is left
//   - critical: all of these are ended, and memory is returned to the system
//
// At any pressure the oldest bodies and responses are ended when they have nearly used up their limit.
type memoryManager struct {
	memoryCounters
	limit    int64 // bytes
	meter    *memoryMeter
	accounts peerAccounts
	holder   memoryHolder
	log      *slog.Logger
	samples  []metrics.Sample // of the metrics above, in their order

	// Used only by run:
	target      int64 // soft limit of the runtime; 0: not set yet
	floor       int64 // least target, see raiseFloor
	hasFailed   bool  // whether the last measurement has failed
	collections collectionMeter
	filesDropAt time.Time // time of the last drop of file pages
	collectedAt time.Time // time of the last forced collection

	mu   sync.Mutex // guards the fields below
	last memoryState
	peak int64 // largest resident memory since the last call of takeState
}

// memoryState is the result of a check.
type memoryState struct {
	process        processMemory
	target         int64 // soft limit of the runtime
	pressure       memoryPressure
	collectionRate float64 // garbage collections a second
}

// newMemoryManager returns a manager for the limits of a configuration, which must have a memory limit.
func newMemoryManager(c *Config, meter *memoryMeter, accounts peerAccounts, holder memoryHolder,
	log *slog.Logger) *memoryManager {
	return &memoryManager{
		limit:    c.memoryLimit(),
		meter:    meter,
		accounts: accounts,
		holder:   holder,
		log:      log,
		samples:  []metrics.Sample{{Name: mappedMetric}, {Name: releasedMetric}, {Name: collections}},
	}
}

// run checks the memory of the process every memoryCheckInterval until the context ends. It begins by dropping
// the pages of the start.
func (m *memoryManager) run(ctx context.Context) {
	m.dropFiles(time.Now())
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		m.check(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// check measures the memory of the process and reacts to it.
func (m *memoryManager) check(now time.Time) {
	process, err := m.meter.read()
	if err != nil {
		if !m.hasFailed {
			m.log.Error("Cannot measure memory, keeping the last target", "err", err, "target_kb", m.target>>10)
		}
		m.hasFailed = true
		return
	}
	m.hasFailed = false
	metrics.Read(m.samples)
	mapped := int64(m.samples[0].Value.Uint64()) - int64(m.samples[1].Value.Uint64())
	rate := m.collections.rate(now, m.samples[2].Value.Uint64())
	m.raiseFloor(mapped, rate)
	m.setTarget(max(m.floor, runtimeTarget(m.limit, process.file+max(0, process.anonymous-mapped))))
	pressure := m.note(memoryState{process: process, target: m.target, collectionRate: rate})
	m.react(now, pressure)
}

// note stores the result of a check and returns the pressure that follows from it. It logs each change.
func (m *memoryManager) note(state memoryState) memoryPressure {
	m.mu.Lock()
	previous := m.last.pressure
	state.pressure = nextPressure(previous, state.process.resident, m.limit, state.collectionRate)
	m.last = state
	m.peak = max(m.peak, state.process.resident)
	m.mu.Unlock()
	if state.pressure != previous {
		m.levelChanges.Add(1)
		m.log.Warn("Memory pressure changed", "from", previous.String(), "to", state.pressure.String(),
			"rss_kb", state.process.resident>>10, "rss_file_kb", state.process.file>>10, "limit_kb", m.limit>>10,
			"target_kb", state.target>>10, "peer_memory_kb", m.accounts.total.Used()>>10,
			"collections_per_second", state.collectionRate)
	}
	return state.pressure
}

// raiseFloor keeps the target above the memory that the runtime has mapped, if collections run without end. They free
// nothing then, and take the processor from requests. The floor stays until the pressure has ended.
func (m *memoryManager) raiseFloor(mapped int64, rate float64) {
	if rate > maxCollectionRate {
		most := int64(memoryTargetShare * float64(m.limit))
		m.floor = max(m.floor, min(most, mapped+int64(freeShare*float64(m.limit))))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.last.pressure == pressureNone {
		m.floor = 0
	}
}

// setTarget changes the soft limit of the runtime if the change is not small.
func (m *memoryManager) setTarget(target int64) {
	change := target - m.target
	if m.target > 0 && max(change, -change) < int64(minTargetChange*float64(m.limit)) {
		return
	}
	m.target = target
	debug.SetMemoryLimit(target)
}

// react takes the steps for the pressure.
func (m *memoryManager) react(now time.Time, pressure memoryPressure) {
	m.holder.LimitBodies(pressure >= pressureHigh)
	keep := fullShare
	switch pressure {
	case pressureHigh:
		keep = roomShare / 2
	case pressureCritical:
		keep = 0
	}
	if excess := excessOver(m.accounts.bodies, keep); excess > 0 {
		m.holder.EndOldestBodies(excess)
	}
	if excess := excessOver(m.accounts.responses, keep); excess > 0 {
		m.holder.EndStalledResponses(excess)
	}
	if pressure >= pressureElevated && now.Sub(m.filesDropAt) >= costlyStepInterval {
		m.dropFiles(now)
	}
	if pressure == pressureCritical && now.Sub(m.collectedAt) >= costlyStepInterval {
		m.collectedAt = now
		m.forcedCollections.Add(1)
		debug.FreeOSMemory()
	}
}

// excessOver returns by how many bytes an account exceeds roomShare of its limit, or less than that if keep is
// lower, once it exceeds keep.
func excessOver(a *memory.Account, keep float64) int64 {
	limit, used := float64(a.Limit()), float64(a.Used())
	if used <= keep*limit {
		return 0
	}
	return int64(used - min(keep, roomShare)*limit)
}

// dropFiles drops the pages of the binary that are not in use.
func (m *memoryManager) dropFiles(now time.Time) {
	m.filesDropAt = now
	m.fileDrops.Add(1)
	if err := dropFilePages(); err != nil {
		m.log.Warn("Cannot drop pages of the binary", "err", err)
	}
}

// takeState returns the last state, and the largest resident memory since the last call.
func (m *memoryManager) takeState() (state memoryState, peak int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	peak, m.peak = max(m.peak, m.last.process.resident), 0
	return m.last, peak
}

// collectionMeter measures how often the garbage collector runs.
type collectionMeter struct {
	begunAt time.Time
	begin   uint64  // collections at begunAt
	last    float64 // rate in the last window
}

// rate returns the number of collections a second in the last complete window. count is their number so far.
func (c *collectionMeter) rate(now time.Time, count uint64) float64 {
	if c.begunAt.IsZero() {
		c.begunAt, c.begin = now, count
	}
	if elapsed := now.Sub(c.begunAt); elapsed >= collectionWindow {
		c.last = float64(count-c.begin) / elapsed.Seconds()
		c.begunAt, c.begin = now, count
	}
	return c.last
}
