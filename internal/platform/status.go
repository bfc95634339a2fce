package platform

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"
)

const statusInterval = 5 * time.Second // interval between two status lines

// logStatusPeriodically logs the status line every statusInterval until the context ends.
func (g *Gateway) logStatusPeriodically(ctx context.Context) {
	runtimeStats := newRuntimeStats()
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.LogStatus()
			g.logRuntime(runtimeStats.next())
		}
	}
}

// LogStatus logs a line of statistics for operators. docs/platform.md explains how to use them.
func (g *Gateway) LogStatus() {
	var attrs []any
	attrs = append(attrs, g.processStatus()...)
	attrs = append(attrs, g.requestStatus()...)
	attrs = append(attrs, g.clientConnStatus()...)
	attrs = append(attrs, g.serverConnStatus()...)
	g.log.Info("Status", attrs...)
}

// logRuntime logs how long goroutines waited since the last status line. Waits of the size of a request's
// deadline mean that some goroutine keeps the processor or a lock from the others.
func (g *Gateway) logRuntime(interval runtimeInterval) {
	g.log.Info("Runtime",
		"scheduler_p99", interval.schedulerLatency,
		"scheduler_max", interval.maxSchedulerLatency,
		"mutex_wait", interval.mutexWait)
}

// processStatus returns the log attributes about the process. The peak of the kernel's resource usage is not among
// them, because the kernel carries it across exec from the program that started this one.
func (g *Gateway) processStatus() []any {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return append([]any{
		"uptime", time.Since(g.startedAt).Round(time.Millisecond),
		"cpu_ms", processorTime().Milliseconds(),
		"heap_kb", mem.HeapAlloc >> 10,
		"sys_kb", mem.Sys >> 10,
		"gc_cycles", mem.NumGC,
		"goroutines", runtime.NumGoroutine(),
	}, g.memoryStatus()...)
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryStatus returns the log attributes about the memory that the kernel counts for the process, and about the
// part of it that peers cause.
func (g *Gateway) memoryStatus() []any {
	m, err := g.memory.read()
	if err != nil {
		return []any{"memory_error", err}
	}
	attrs := []any{
		"rss_kb", m.resident >> 10,
		"rss_max_kb", m.peak >> 10,
		"rss_anon_kb", m.anonymous >> 10,
		"rss_file_kb", m.file >> 10,
		"peer_memory_kb", g.accounts.total.Used() >> 10,
		"peer_memory_peak_kb", g.accounts.total.TakePeak() >> 10,
		"bodies_refused", g.frontend.BodiesRefused.Load(),
		"bodies_ended", g.frontend.BodiesEnded.Load(),
		"responses_ended", g.frontend.ResponsesEnded.Load(),
	}
	if g.manager == nil {
		return attrs
	}
	state, peak := g.manager.takeState()
	return append(attrs,
		"rss_peak_kb", peak>>10,
		"memory_target_kb", state.target>>10,
		"memory_pressure", state.pressure.String(),
		"memory_pressure_changes", g.manager.levelChanges.Load(),
		"collections_per_second", math.Round(state.collectionRate),
		"file_drops", g.manager.fileDrops.Load(),
		"forced_collections", g.manager.forcedCollections.Load())
}

// requestStatus returns the log attributes about requests.
func (g *Gateway) requestStatus() []any {
	summary := g.loop.Summary()
	return []any{
		"requests", g.frontend.Requests.Load(),
		"open", g.loop.OpenRequests.Load(),
		"served", g.loop.Served.Load(),
		"failed", g.loop.Failed.Load(),
		"client_gone", g.loop.Counters.Abandoned.Load(),
		"rejected", summary.Rejected,
		"outcomes", summary.Outcomes,
		"late_responses", g.loop.LateResponses.Load(),
		"timer_lag", summary.TimerLag,
		"longest_turn", summary.LongestTurn,
		"queue_wait", summary.QueueWait,
		"late_answers", g.loop.LateAnswers.Load(),
		"pressure", summary.Core.Pressure,
		"retry_budget", summary.Core.RetryBudget,
		"held", summary.OpenRequests,
		"customers", summary.Core.Customers,
		"customer_evictions", summary.Core.Evictions,
		"gossip_queue", summary.Core.GossipQueue,
	}
}

// clientConnStatus returns the log attributes about connections of clients.
func (g *Gateway) clientConnStatus() []any {
	c := &g.frontend.Counters
	return []any{
		"client_conns", c.Conns.Load(),
		"accepted", c.Accepted.Load(),
		"timed_out", c.TimedOut.Load(),
		"evicted", c.Evicted.Load(),
		"bad_requests", c.BadRequests.Load(),
		"repeated_txns", c.RepeatedTxns.Load(),
		"health_checks", c.HealthChecks.Load(),
		"reads", c.Reads.Load(),
		"bytes_read", c.BytesRead.Load(),
		"read_delay", c.TakeReadDelay(),
		"pauses", c.Pauses.Load(),
		"pause_time", time.Duration(c.PauseTime.Load()).Round(time.Millisecond),
		"accept_pauses", c.AcceptPauses.Load(),
		"refused_conns", c.RefusedConns.Load(),
	}
}

// serverConnStatus returns the log attributes about connections to servers.
func (g *Gateway) serverConnStatus() []any {
	c := &g.pool.Counters
	return []any{
		"server_conns", c.Conns.Load(),
		"dials", c.Dials.Load(),
		"dial_failures", c.DialFailures.Load(),
		"malformed_responses", c.MalformedResponses.Load(),
		"stale_conns", c.StaleConns.Load(),
		"conn_limit_reached", c.ConnLimitReached.Load(),
	}
}

// classSummaries returns the name, latency objective and deadline of each class. They are logged because they
// differ between deployments.
func classSummaries(c *Config) (summaries []string) {
	for _, class := range c.Decide.Classes {
		summaries = append(summaries,
			fmt.Sprintf("%s %v/%v", class.Name, class.LatencyObjective, class.Deadline))
	}
	return summaries
}
