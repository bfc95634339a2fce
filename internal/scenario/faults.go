package scenario

import "fmt"

// faultKind is a kind of fault that a script can name.
type faultKind struct {
	description string // what happens, and what Count and Size of the fault mean
	inject      func(*runner, Fault)

	needsUsageReceiver bool // for fleets alone that export usage
}

// faultKinds are all kinds by the name that scripts have for them. A function injects the fault and returns when it is
// over.
var faultKinds = map[string]faultKind{
	"ageing": {
		description: "count servers grow slower, up to size times",
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
		description: "one of 50 calls of a class costs size times the usual",
		inject:      (*runner).slowTailOfClass,
	},
	"fast_errors": {
		description: "count servers fail a share of size of their calls quickly",
		inject:      (*runner).failCallsQuickly,
	},
	"class_fail": {
		description: "count servers leave a class unanswered",
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
		description: "count servers drain, stop, and come back in slow start after the time",
		inject:      (*runner).drainServers,
	},
	"vanish": {
		description: "count servers become silent and come back in slow start after the time",
		inject:      (*runner).hangServers,
	},
	"cold_start": {
		description: "count more servers are started, in slow start",
		inject:      (*runner).addServers,
	},

	"balancer_crash": {
		description: "count gateways are killed and started again after the time",
		inject:      (*runner).crashGateways,
	},
	"balancer_roll": {
		description: "every gateway in turn is stopped by SIGTERM and started again",
		inject:      (*runner).restartGatewaysInTurn,
	},
	"balancer_stall": {
		description: "count gateways are suspended (SIGSTOP)",
		inject:      (*runner).suspendGateways,
	},
	"kill_storm": {
		description: "gateways are killed at random moments, count times over the time, and started again at once",
		inject:      (*runner).killGatewaysAtRandom,
	},
	"lost_peers": {
		description: "a share of size of the gossip between gateways is lost",
		inject:      (*runner).dropGossip,
	},

	"burst": {
		description: "size times the usual requests",
		inject:      (*runner).multiplyLoad,
	},
	"tenant_burst": {
		description: "count members send size times their usual requests",
		inject:      (*runner).multiplyMembersLoad,
	},
	"hot_key": {
		description: "one member sends size times its usual requests",
		inject:      (*runner).multiplyOneMembersLoad,
	},
	"hot_caller": {
		description: "count members use only the first of their gateways",
		inject:      (*runner).useFirstGatewayOnly,
	},
	"reconnect": {
		description: "all sessions end and connect again at once",
		inject:      (*runner).reconnectClients,
	},

	"list_bad": {
		description: "the endpoint list sends an invalid address, a server twice and an old version",
		inject:      (*runner).sendInvalidUpdates,
	},
	"list_late": {
		description: "the endpoint list sends changes only after the time",
		inject:      (*runner).delayDiscovery,
	},
	"list_silent": {
		description: "the endpoint list sends nothing, its connections stay",
		inject:      (*runner).silenceDiscovery,
	},
	"list_stale": {
		description: "the endpoint list's process is stopped and started again after the time",
		inject:      (*runner).restartDiscovery,
	},

	"plan_change": {
		description: "count members move to the fleet's next plan, and back after the time",
		inject:      (*runner).changePlans,
	},
	"reserve": {
		description: "size units are reserved for each of count members, half of whose requests use them for the time",
		inject:      (*runner).reserveUnits,
	},

	"accounting_cut": {
		description:        "the usage receiver keeps half of the batches and closes the connection without a response",
		inject:             (*runner).dropUsageConnections,
		needsUsageReceiver: true,
	},
	"accounting_down": {
		description:        "the usage receiver is stopped",
		inject:             (*runner).stopUsageReceiver,
		needsUsageReceiver: true,
	},
	"accounting_early": {
		description:        "the usage receiver responds 200 to half of the batches before it reads them, and keeps nothing",
		inject:             (*runner).respondEarlyToUsage,
		needsUsageReceiver: true,
	},
	"accounting_kill": {
		description:        "the usage receiver is killed count times over the time, and started again",
		inject:             (*runner).killUsageReceiver,
		needsUsageReceiver: true,
	},
	"accounting_slow": {
		description:        "the usage receiver takes size seconds for a batch",
		inject:             (*runner).slowUsageReceiver,
		needsUsageReceiver: true,
	},
	"accounting_status": {
		description:        "the usage receiver responds to half of the batches with the status size, and Retry-After",
		inject:             (*runner).failUsageBatches,
		needsUsageReceiver: true,
	},

	"metrics_down": {
		description: "the metrics receiver responds 503",
		inject:      (*runner).failMetrics,
	},
}

// inject plays a fault and returns when it is over.
func (r *runner) inject(f Fault) {
	kind := faultKinds[f.Kind]
	if kind.needsUsageReceiver && r.usageReceiver == nil {
		r.addError(fmt.Errorf("scenario: %s: the fleet exports no usage", f.Kind))
		return
	}
	kind.inject(r, f)
}
