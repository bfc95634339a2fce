package decide_test

import (
	"fmt"
	"time"

	"winghatch/decide"
)

// A gateway is told what happens and says what to do; the caller does it.
func Example() {
	cfg := decide.Config{
		Gateways: 1,
		Classes:  []decide.Class{{Name: "read", Effect: decide.Safe, Aim: time.Second, Deadline: 4 * time.Second, Worth: 1}},
		Plans:    []decide.Plan{{Name: "basic", Rate: 5, Burst: 20, Price: 1}},
		Limits:   decide.Limits{MaxAttempts: 3},
		Safety:   decide.Safety{ColdFrom: 0.2, ColdFor: 10 * time.Second, FallMultiple: 2, FallWindow: time.Second},
	}
	g, err := decide.New(cfg, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute // since an origin of the caller's choice
	g.Handle(now, decide.FleetUpdate{Kind: decide.FleetFull, Servers: []decide.Server{{ID: "10.0.0.1:80"}}})
	for _, a := range g.Handle(now, decide.Request{ID: "r1", Class: "read", Plan: "basic", Customer: "ada",
		Units: 1, Deadline: now + 4*time.Second, Spread: 1}) {
		switch a := a.(type) {
		case decide.Send:
			fmt.Println("send", a.ID, "to", a.Server)
		case decide.Refuse:
			fmt.Println("refuse", a.ID)
		}
	}
	// Tell the gateway how the attempt ended; Done says that its answer went to the client.
	g.Handle(now+20*time.Millisecond, decide.AttemptEnded{ID: "r1", Server: "10.0.0.1:80", Outcome: decide.OK,
		Took: 20 * time.Millisecond, Done: true})
	// Output: send r1 to 10.0.0.1:80
}
