package decide_test

import (
	"fmt"
	"time"

	"winghatch/decide"
)

// The caller passes each event to a Gateway and carries out the actions that it returns.
func Example() {
	cfg := decide.Config{
		Gateways: 1,
		Classes: []decide.Class{{Name: "read", Idempotency: decide.Idempotent, LatencyObjective: time.Second,
			Deadline: 4 * time.Second, PriorityWeight: 1}},
		Plans:  []decide.Plan{{Name: "basic", Rate: 5, Burst: 20, PriorityWeight: 1}},
		Limits: decide.Limits{MaxAttempts: 3},
		Safety: decide.Safety{SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second,
			OverloadMultiple: 2, OverloadWindow: time.Second},
	}
	g, err := decide.New(cfg, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute // since an origin that the caller chooses
	g.Handle(now, decide.EndpointUpdate{Kind: decide.FullUpdate,
		Servers: []decide.Server{{ID: "10.0.0.1:80"}}})
	for _, a := range g.Handle(now, decide.Request{ID: "r1", Class: "read", Plan: "basic", Customer: "ada",
		Units: 1, Deadline: now + 4*time.Second, GatewayCount: 1}) {
		switch a := a.(type) {
		case decide.Send:
			fmt.Println("send", a.ID, "to", a.Server)
		case decide.Reject:
			fmt.Println("reject", a.ID)
		}
	}
	// Report the end of the attempt. RequestDone says that its response is the final answer.
	g.Handle(now+20*time.Millisecond, decide.AttemptEnded{ID: "r1", Server: "10.0.0.1:80",
		Outcome:  decide.OutcomeOK,
		Duration: 20 * time.Millisecond, RequestDone: true})
	// Output: send r1 to 10.0.0.1:80
}
