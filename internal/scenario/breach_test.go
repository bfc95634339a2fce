package scenario

import (
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/frontend"
	"winghatch/internal/gateway"
)

// breach is a way in which a gateway is made to break a rule.
type gatewayDefect struct {
	settings func(*config.Fleet)   // changes what the gateway reads; may be nil
	tamper   func() gateway.Tamper // changes what its loop does; may be nil
}

// breaches are named by the cases of TestPlantedBreaches. The gateway "" is not broken.
var gatewayDefects = map[string]gatewayDefect{
	"": {},

	// Rule 1: every request has exactly one answer, in time.
	"no answer":    {tamper: noAnswer},
	"two answers":  {tamper: twoAnswers},
	"late answers": {tamper: lateAnswers},
	"long waits":   {tamper: longRetryAfter},

	// Rule 2: no request takes effect twice.
	"unsafe again":     {tamper: retryUnsafe},
	"two at once":      {tamper: sendTwice},
	"refuses what ran": {tamper: rejectFailed},

	// Rule 3: a draining server receives nothing new.
	"deaf to drains":      {tamper: ignoreUpdates},
	"sends to who drains": {tamper: sendToDraining},

	// Rule 4: a server in slow start is not overloaded.
	"all to the cold":  {tamper: func() gateway.Tamper { return sendToSlowStart(never) }},
	"most to the cold": {tamper: func() gateway.Tamper { return sendToSlowStart(everyNth(3)) }},

	// Rule 5: the ceilings of the plans are kept.
	"no ceiling":    {settings: removeCeilings},
	"over the mark": {tamper: sendOverQuota},
}

// observer holds what a gateway's core was told.
type observer struct {
	servers  []string // IDs, in the order in which they were first listed
	requests map[string]decide.Request
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

// otherServer returns the first server that is not this one; this one if there is no other.
func (o *observer) otherServer(id string) string {
	for _, s := range o.servers {
		if s != id {
			return s
		}
	}
	return id
}

// replaceActions passes each action of the core, with the event that caused it, to replace.
func replaceActions(replace func(o *observer, ev decide.Event, a decide.Action) []decide.Action) gateway.Tamper {
	o := &observer{requests: map[string]decide.Request{}}
	return gateway.Tamper{Actions: func(ev decide.Event, actions []decide.Action) (out []decide.Action) {
		o.observe(ev)
		for _, a := range actions {
			out = append(out, replace(o, ev, a)...)
		}
		return out
	}}
}

// onListedServer calls f for each server of each endpoint update.
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

// everyNth returns a function that is true at each nth call.
func everyNth(n int) func() bool {
	calls := 0
	return func() bool {
		calls++
		return calls%n == 0
	}
}

func never() bool { return false }

func noAnswer() gateway.Tamper {
	drop := everyNth(20)
	return gateway.Tamper{Response: func(f frontend.Response, done func(frontend.Response)) {
		if !drop() {
			done(f)
		}
	}}
}

func twoAnswers() gateway.Tamper {
	again := everyNth(20)
	return gateway.Tamper{Response: func(f frontend.Response, done func(frontend.Response)) {
		done(f)
		if again() {
			done(f)
		}
	}}
}

func lateAnswers() gateway.Tamper {
	late := everyNth(20)
	return gateway.Tamper{Response: func(f frontend.Response, done func(frontend.Response)) {
		if late() {
			time.AfterFunc(6*time.Second, func() { done(f) })
			return
		}
		done(f)
	}}
}

func longRetryAfter() gateway.Tamper {
	return gateway.Tamper{Response: func(f frontend.Response, done func(frontend.Response)) {
		f.RetryAfter = time.Minute
		done(f)
	}}
}

// retryUnsafe sends a request that is not idempotent to another server after an attempt that may have run.
func retryUnsafe() gateway.Tamper {
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
func sendTwice() gateway.Tamper {
	return replaceActions(func(o *observer, _ decide.Event, a decide.Action) []decide.Action {
		if s, ok := a.(decide.Send); ok && o.requests[s.ID].Class == "order-lookup" {
			return []decide.Action{a, decide.Send{ID: s.ID, Server: o.otherServer(s.Server), Timeout: s.Timeout}}
		}
		return []decide.Action{a}
	})
}

// rejectFailed answers a request that may have run as if it had not.
func rejectFailed() gateway.Tamper {
	return replaceActions(func(_ *observer, _ decide.Event, a decide.Action) []decide.Action {
		if f, ok := a.(decide.Fail); ok {
			return []decide.Action{decide.Reject{ID: f.ID}}
		}
		return []decide.Action{a}
	})
}

// ignoreUpdates keeps all changes of the endpoint list from the core.
func ignoreUpdates() gateway.Tamper {
	return gateway.Tamper{Event: func(ev decide.Event) decide.Event {
		if e, ok := ev.(decide.EndpointUpdate); ok && e.Kind == decide.DeltaUpdate {
			return nil
		}
		return ev
	}}
}

// sendToDraining sends some requests to the server that drains.
func sendToDraining() gateway.Tamper {
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

// sendToSlowStart sends all requests, but those that are spared, to the server that started last.
func sendToSlowStart(spare func() bool) gateway.Tamper {
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

// removeCeilings gives every plan a rate that no member reaches, and no ceiling.
func removeCeilings(f *config.Fleet) {
	for i := range f.Decide.Plans {
		p := &f.Decide.Plans[i]
		p.Rate = 1e6
		p.Burst = 1e6
		p.CeilingRate = 0
		p.CeilingBurst = 0
	}
}

// sendOverQuota sends requests that the core rejected for a quota or a ceiling.
func sendOverQuota() gateway.Tamper {
	return replaceActions(func(o *observer, _ decide.Event, a decide.Action) []decide.Action {
		r, ok := a.(decide.Reject)
		if ok && (r.Reason == decide.ReasonOverQuota || r.Reason == decide.ReasonOverCeiling) {
			return []decide.Action{decide.Send{ID: r.ID, Server: o.otherServer("")}}
		}
		return []decide.Action{a}
	})
}
