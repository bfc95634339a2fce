package scenario

import (
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/frontend"
	"winghatch/internal/gateway"
)

// gatewayDefect is a defect with which a gateway violates a rule.
type gatewayDefect struct {
	settings func(*config.Fleet)      // changes the configuration after the gateway has read it; may be nil
	hooks    func() gateway.TestHooks // returns hooks that change events, actions or responses; may be nil
}

// gatewayDefects holds the defects by the names of the cases of TestCheckDetectsDefectiveGateways. A gateway
// with the name "" has no defect.
var gatewayDefects = map[string]gatewayDefect{
	"": {},

	// Rule 1: each client call gets exactly one final answer, in time.
	"no answer":        {hooks: noAnswer},
	"two answers":      {hooks: twoAnswers},
	"late answers":     {hooks: lateAnswers},
	"long Retry-After": {hooks: longRetryAfter},

	// Rule 2: no request takes effect twice.
	"unsafe class retried":      {hooks: retryUnsafe},
	"two attempts at once":      {hooks: sendTwice},
	"executed request rejected": {hooks: rejectFailed},

	// Rule 3: a draining server gets no new attempts.
	"endpoint changes ignored":         {hooks: ignoreUpdates},
	"requests sent to draining server": {hooks: sendToDraining},

	// Rule 4: a server in slow start is not overloaded.
	"all requests sent to server in slow start": {hooks: func() gateway.TestHooks {
		return sendToSlowStart(never)
	}},
	"most requests sent to server in slow start": {hooks: func() gateway.TestHooks {
		return sendToSlowStart(everyNth(3))
	}},

	// Rule 5: the units forwarded for a customer stay within its ceiling.
	"ceilings removed":         {settings: removeCeilings},
	"quota rejections ignored": {hooks: sendOverQuota},
}

// observer collects the servers and requests in the events of a gateway's core.
type observer struct {
	servers  []string                  // IDs, in the order of their first appearance in the endpoint list
	requests map[string]decide.Request // by ID
}

func (o *observer) observe(ev decide.Event) {
	switch e := ev.(type) {
	case decide.EndpointUpdate:
		for _, s := range e.Servers {
			if !o.isListed(s.ID) {
				o.servers = append(o.servers, s.ID)
			}
		}
	case decide.Request:
		o.requests[e.ID] = e
	}
}

func (o *observer) isListed(id string) bool {
	for _, s := range o.servers {
		if s == id {
			return true
		}
	}
	return false
}

// otherServer returns the first server whose ID is not the given one, or the given ID if there is no other
// server.
func (o *observer) otherServer(id string) string {
	for _, s := range o.servers {
		if s != id {
			return s
		}
	}
	return id
}

// replaceActions returns a hook that replaces each action of the core by the result of replace, which gets
// the action and the event that caused it.
func replaceActions(
	replace func(o *observer, ev decide.Event, a decide.Action) []decide.Action,
) gateway.TestHooks {
	o := &observer{requests: map[string]decide.Request{}}
	return gateway.TestHooks{Actions: func(ev decide.Event, actions []decide.Action) (out []decide.Action) {
		o.observe(ev)
		for _, a := range actions {
			out = append(out, replace(o, ev, a)...)
		}
		return out
	}}
}

// onListedServer returns a hook that calls f for each server of each endpoint update and changes no event.
func onListedServer(f func(decide.Server)) func(decide.Event) decide.Event {
	return func(ev decide.Event) decide.Event {
		if e, ok := ev.(decide.EndpointUpdate); ok {
			for _, s := range e.Servers {
				f(s)
			}
		}
		return ev
	}
}

// everyNth returns a function that returns true at every nth call.
func everyNth(n int) func() bool {
	calls := 0
	return func() bool {
		calls++
		return calls%n == 0
	}
}

func never() bool { return false }

func noAnswer() gateway.TestHooks {
	drop := everyNth(20)
	return gateway.TestHooks{Response: func(response frontend.Response, done func(frontend.Response)) {
		if !drop() {
			done(response)
		}
	}}
}

func twoAnswers() gateway.TestHooks {
	again := everyNth(20)
	return gateway.TestHooks{Response: func(response frontend.Response, done func(frontend.Response)) {
		done(response)
		if again() {
			done(response)
		}
	}}
}

func lateAnswers() gateway.TestHooks {
	late := everyNth(20)
	return gateway.TestHooks{Response: func(response frontend.Response, done func(frontend.Response)) {
		if late() {
			time.AfterFunc(6*time.Second, func() { done(response) })
			return
		}
		done(response)
	}}
}

func longRetryAfter() gateway.TestHooks {
	return gateway.TestHooks{Response: func(response frontend.Response, done func(frontend.Response)) {
		response.RetryAfter = time.Minute
		done(response)
	}}
}

// retryUnsafe sends a request that is not idempotent to another server after an attempt that may have been
// executed.
func retryUnsafe() gateway.TestHooks {
	return replaceActions(func(o *observer, ev decide.Event, a decide.Action) []decide.Action {
		if f, ok := a.(decide.Fail); ok {
			if e, ok := ev.(decide.AttemptEnded); ok {
				return []decide.Action{decide.Send{ID: f.ID, Server: o.otherServer(e.Server)}}
			}
		}
		return []decide.Action{a}
	})
}

// sendTwice sends each request of a class to two servers at once.
func sendTwice() gateway.TestHooks {
	return replaceActions(func(o *observer, _ decide.Event, a decide.Action) []decide.Action {
		if s, ok := a.(decide.Send); ok && o.requests[s.ID].Class == "order-lookup" {
			return []decide.Action{
				a,
				decide.Send{ID: s.ID, Server: o.otherServer(s.Server), Timeout: s.Timeout},
			}
		}
		return []decide.Action{a}
	})
}

// rejectFailed answers a failed request as rejected, although it may have been executed.
func rejectFailed() gateway.TestHooks {
	return replaceActions(func(_ *observer, _ decide.Event, a decide.Action) []decide.Action {
		if f, ok := a.(decide.Fail); ok {
			return []decide.Action{decide.Reject{ID: f.ID}}
		}
		return []decide.Action{a}
	})
}

// ignoreUpdates drops all changes of the endpoint list after the first full list.
func ignoreUpdates() gateway.TestHooks {
	return gateway.TestHooks{Event: func(ev decide.Event) decide.Event {
		if e, ok := ev.(decide.EndpointUpdate); ok && e.Kind == decide.DeltaUpdate {
			return nil
		}
		return ev
	}}
}

// sendToDraining sends every fifth attempt to the draining server.
func sendToDraining() gateway.TestHooks {
	draining := ""
	redirect := everyNth(5)
	t := replaceActions(func(_ *observer, _ decide.Event, a decide.Action) []decide.Action {
		if s, ok := a.(decide.Send); ok && draining != "" && redirect() {
			s.Server = draining
			return []decide.Action{s}
		}
		return []decide.Action{a}
	})
	t.Event = onListedServer(func(s decide.Server) {
		if s.State == decide.Draining {
			draining = s.ID
		}
	})
	return t
}

// sendToSlowStart sends all attempts to the server that was started last, except those for which spare
// returns true.
func sendToSlowStart(spare func() bool) gateway.TestHooks {
	started := ""
	t := replaceActions(func(_ *observer, _ decide.Event, a decide.Action) []decide.Action {
		if s, ok := a.(decide.Send); ok && started != "" && !spare() {
			s.Server = started
			return []decide.Action{s}
		}
		return []decide.Action{a}
	})
	t.Event = onListedServer(func(s decide.Server) {
		if s.StartedAt > 0 {
			started = s.ID
		}
	})
	return t
}

// removeCeilings removes the ceiling of every plan and sets a rate that no member reaches.
func removeCeilings(f *config.Fleet) {
	for i := range f.Decide.Plans {
		p := &f.Decide.Plans[i]
		p.Rate = 1e6
		p.Burst = 1e6
		p.CeilingRate = 0
		p.CeilingBurst = 0
	}
}

// sendOverQuota sends the requests that the core rejects because of a quota or a ceiling.
func sendOverQuota() gateway.TestHooks {
	return replaceActions(func(o *observer, _ decide.Event, a decide.Action) []decide.Action {
		r, ok := a.(decide.Reject)
		if ok && (r.Reason == decide.ReasonOverQuota || r.Reason == decide.ReasonOverCeiling) {
			return []decide.Action{decide.Send{ID: r.ID, Server: o.otherServer("")}}
		}
		return []decide.Action{a}
	})
}
