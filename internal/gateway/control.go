package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"winghatch/internal/credentials"
	"winghatch/internal/quotaplan"
)

const (
	// submitTimeout is how long Submit waits for a change to become durable.
	submitTimeout = 5 * time.Second

	maxChangeBytes           = 64 << 10 // size of the body of POST /changes
	controlReadHeaderTimeout = 5 * time.Second
	// controlWriteTimeout exceeds submitTimeout: the response to POST /changes is written only after Submit
	// has returned.
	controlWriteTimeout = 10 * time.Second
)

var (
	errNotDurable = errors.New("not durable yet, as its log can't be written; it may still be taken: " +
		"ask the history for its number")
	errStopped = errors.New("the gateway has stopped")
)

// newControlServer returns the HTTP server of the control API.
func (g *Gateway) newControlServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", g.getState)
	mux.HandleFunc("POST /changes", g.postChange)
	mux.HandleFunc("GET /changes", g.getHistory)
	if m := g.loop.metrics; m != nil {
		mux.Handle("GET /metrics", promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	}
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: controlReadHeaderTimeout,
		WriteTimeout:      controlWriteTimeout,
	}
}

// Submit submits a plan change, waits until it is durable on this gateway, and returns it as it was accepted.
// If the change is rejected, the error is a *quotaplan.Error. After any other error the change may still be
// accepted later.
func (g *Gateway) Submit(c quotaplan.Change) (quotaplan.Change, error) {
	replies := make(chan quotaplan.Reply, 1)
	submit := func() { g.loop.plans.submit(c, func(r quotaplan.Reply) { replies <- r }) }
	if !g.loop.Do(submit) {
		return c, errStopped
	}
	select {
	case r := <-replies:
		if r.Err != nil {
			return c, r.Err
		}
		return r.Change, nil
	case <-time.After(submitTimeout):
		return c, fmt.Errorf("change %d: log: %w", c.Number, errNotDurable)
	}
}

func (g *Gateway) getState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	raw, err := json.Marshal(g.State())
	if err != nil {
		g.log.Error("Failed to encode the state", "err", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Write(raw)
}

func (g *Gateway) postChange(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !credentials.Equal([]byte(r.Header.Get(macHeader)), []byte(requestMAC(g.fleet.Secret, body))) {
		http.Error(w, macHeader+": not made with this fleet's secret", http.StatusUnauthorized)
		return
	}
	var in changeJSON
	if err := json.Unmarshal(body, &in); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	c, err := in.change()
	if err == nil {
		c, err = g.Submit(c)
	}
	if err != nil {
		http.Error(w, err.Error(), changeErrorStatus(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(newChangeJSON(&c))
}

func changeErrorStatus(err error) int {
	var rejected *quotaplan.Error
	switch {
	case errors.As(err, &rejected):
		return http.StatusConflict
	case errors.Is(err, errNotDurable):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

func (g *Gateway) getHistory(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(g.planHistory(r.URL.Query().Get("member")))
}

// planHistory returns the plan changes that concern a member and the member's plan in force. An empty name
// selects all changes and all members.
func (g *Gateway) planHistory(member string) History {
	h := History{Plans: map[string]PlanTerms{}}
	g.loop.Do(func() {
		replica := g.loop.plans.replica
		changes, digest := replica.Digest()
		h.Changes, h.Digest = changes, strconv.FormatUint(digest, 16)
		for _, e := range replica.History(member) {
			h.Entries = append(h.Entries, HistoryEntry{
				changeJSON: newChangeJSON(&e.Change),
				Status:     string(e.Status),
				Reason:     e.Reason,
				Gateway:    e.Origin,
				AcceptedAt: formatTime(e.Stamp),
			})
		}
		for _, m := range g.fleet.Members {
			if member == "" || m.Name == member {
				h.Plans[m.Name] = PlanTerms{replica.EffectivePlan(m.Name)}
			}
		}
	})
	return h
}
