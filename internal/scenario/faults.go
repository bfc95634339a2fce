package scenario

import "fmt"

// faultKind is a kind of fault that scripts can use.
type faultKind struct {
	description string               // effect of the fault; "count" and "size" refer to its settings
	inject      func(*runner, Fault) // injects the fault and returns when it is over

	needsUsageReceiver bool // whether the fault requires a fleet that exports usage
}

// faultKinds holds all kinds of faults by their names in scripts.
var faultKinds = map[string]faultKind{
	"ageing": {
		description: "count servers slow down gradually, up to size times",
		inject:      (*runner).slowServersGradually,
	},
	"slow": {
		description: "count servers are size times slower",
		inject:      (*runner).slowServers,
	},
	"shared_slow": {
		description: "all servers are size times slower",
		inject:      (*runner).slowAllServers,
	},
	"heavy_tail": {
		description: "one of 50 requests of a class takes size times the usual work",
		inject:      (*runner).slowTailOfClass,
	},
	"fast_errors": {
		description: "count servers quickly fail a fraction of size of their requests",
		inject:      (*runner).failCallsQuickly,
	},
	"class_fail": {
		description: "count servers do not answer requests of a class",
		inject:      (*runner).leaveClassUnanswered,
	},
	"report_gap": {
		description: "count servers omit their load reports",
		inject:      (*runner).omitLoadReports,
	},
	"cut": {
		description: "the connections of count servers are closed",
		inject:      (*runner).closeConnections,
	},
	"drain": {
		description: "count servers drain for the duration, stop, and restart in slow start",
		inject:      (*runner).drainServers,
	},
	"vanish": {
		description: "count servers stop responding for the duration and restart in slow start",
		inject:      (*runner).hangServers,
	},
	"cold_start": {
		description: "count additional servers start, in slow start",
		inject:      (*runner).addServers,
	},

	"balancer_crash": {
		description: "count gateways are killed and restart after the duration",
		inject:      (*runner).crashGateways,
	},
	"balancer_roll": {
		description: "every gateway in turn is stopped with SIGTERM and restarts",
		inject:      (*runner).restartGatewaysInTurn,
	},
	"balancer_stall": {
		description: "count gateways are suspended (SIGSTOP)",
		inject:      (*runner).suspendGateways,
	},
	"kill_storm": {
		description: "gateways are killed count times at random over the duration, and restart at once",
		inject:      (*runner).killGatewaysAtRandom,
	},
	"lost_peers": {
		description: "a fraction of size of the gossip between gateways is lost",
		inject:      (*runner).dropGossip,
	},

	"burst": {
		description: "all members together send size times the usual number of requests",
		inject:      (*runner).multiplyLoad,
	},
	"tenant_burst": {
		description: "count members send size times their usual number of requests",
		inject:      (*runner).multiplyMembersLoad,
	},
	"hot_key": {
		description: "one member sends size times its usual number of requests",
		inject:      (*runner).multiplyOneMembersLoad,
	},
	"hot_caller": {
		description: "count members send to only the first of their gateways",
		inject:      (*runner).useFirstGatewayOnly,
	},
	"reconnect": {
		description: "all client sessions end and reconnect at once",
		inject:      (*runner).reconnectClients,
	},

	"list_bad": {
		description: "discovery sends an invalid address, a server twice, old versions and a gap",
		inject:      (*runner).sendInvalidUpdates,
	},
	"list_late": {
		description: "discovery sends changes with a delay of the duration",
		inject:      (*runner).delayDiscovery,
	},
	"list_silent": {
		description: "discovery sends nothing but keeps its connections open",
		inject:      (*runner).silenceDiscovery,
	},
	"list_stale": {
		description: "the discovery server is stopped and restarts after the duration",
		inject:      (*runner).restartDiscovery,
	},

	"plan_change": {
		description: "count members move to the next plan of the fleet, and back after the duration",
		inject:      (*runner).changePlans,
	},
	"reserve": {
		description: "count members reserve size units; half of their requests use them for the duration",
		inject:      (*runner).reserveUnits,
	},

	"accounting_cut": {
		description:        "half of the batches are stored, but their connections close without a response",
		inject:             (*runner).dropUsageConnections,
		needsUsageReceiver: true,
	},
	"accounting_down": {
		description:        "the usage receiver is stopped",
		inject:             (*runner).stopUsageReceiver,
		needsUsageReceiver: true,
	},
	"accounting_early": {
		description:        "the usage receiver answers 200 to half of the batches unread and loses them",
		inject:             (*runner).respondEarlyToUsage,
		needsUsageReceiver: true,
	},
	"accounting_kill": {
		description:        "the usage receiver is killed count times over the duration, and restarts",
		inject:             (*runner).killUsageReceiver,
		needsUsageReceiver: true,
	},
	"accounting_slow": {
		description:        "the usage receiver takes size seconds to process a batch",
		inject:             (*runner).slowUsageReceiver,
		needsUsageReceiver: true,
	},
	"accounting_status": {
		description:        "the usage receiver answers half of the batches with status size and Retry-After",
		inject:             (*runner).failUsageBatches,
		needsUsageReceiver: true,
	},

	"metrics_down": {
		description: "the metrics receiver answers with status 503",
		inject:      (*runner).failMetrics,
	},
}

// inject injects a fault and returns when it is over.
func (r *runner) inject(f Fault) {
	kind := faultKinds[f.Kind]
	if kind.needsUsageReceiver && r.usageReceiver == nil {
		r.addError(fmt.Errorf("scenario: fault %s: the fleet does not export usage", f.Kind))
		return
	}
	kind.inject(r, f)
}
