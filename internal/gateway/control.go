package gateway

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/config/decode"
	"winghatch/internal/config/kdl"
	"winghatch/internal/credentials"
	"winghatch/internal/quotaplan"
	"winghatch/internal/reservation"
)

// macHeader carries the keyed hash of what an operator asks. A request that is sent twice does no harm: its number was
// seen before.
const macHeader = "Winghatch-Mac"

func requestMAC(s credentials.Secret, body []byte) string {
	d := s.OperatorRequestHasher().Sum(append([]byte("POST /changes\n"), body...))
	return hex.EncodeToString(d[:])
}

// wireChange is a change as operators hand it in and are told it.
type changeJSON struct {
	Number uint64     `json:"number"`
	Kind   string     `json:"kind"`
	Member string     `json:"member,omitempty"`
	Plan   string     `json:"plan,omitempty"`
	Terms  *PlanTerms `json:"terms,omitempty"`
	From   string     `json:"from,omitempty"` // RFC 3339
	To     string     `json:"to,omitempty"`
	Units  float64    `json:"units,omitempty"`
	Rate   float64    `json:"rate,omitempty"`
	Target uint64     `json:"target,omitempty"`
}

// ToldChange is a change and what became of it.
type HistoryEntry struct {
	changeJSON
	Status     string `json:"status"`
	Reason     string `json:"why,omitempty"`
	Gateway    int    `json:"gateway"`
	AcceptedAt string `json:"taken"`
}

func formatTime(ns int64) string {
	if ns == 0 {
		return ""
	}
	return time.Unix(0, ns).UTC().Format(time.RFC3339Nano)
}

func newChangeJSON(c *quotaplan.Change) changeJSON {
	w := changeJSON{Number: c.Number, Kind: c.Kind.String(), Member: c.Member, Plan: c.Plan, From: formatTime(c.From), To: formatTime(c.To),
		Units: c.Units, Rate: c.Rate, Target: c.Target}
	if c.Kind == quotaplan.Terms {
		w.Terms = &PlanTerms{c.Terms}
	}
	return w
}

func (w *changeJSON) change() (c quotaplan.Change, err error) {
	k, ok := quotaplan.ParseKind(w.Kind)
	if !ok {
		return c, fmt.Errorf("change %d: kind: %q, want move, terms, reserve, cancel or shorten", w.Number, w.Kind)
	}
	c = quotaplan.Change{Number: w.Number, Kind: k, Member: w.Member, Plan: w.Plan, Units: w.Units, Rate: w.Rate, Target: w.Target}
	if w.Terms != nil {
		c.Terms = w.Terms.Plan
	}
	for _, t := range []struct {
		field, text string
		to          *int64
	}{{"from", w.From, &c.From}, {"to", w.To, &c.To}} {
		if t.text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, t.text)
		if err != nil {
			return c, fmt.Errorf("change %d: %s: %q, want a time such as 2026-12-07T08:00:00Z", w.Number, t.field, t.text)
		}
		*t.to = at.UnixNano()
	}
	return c, nil
}

// submitWithin is how long an operator waits for a change to be durable.
const submitTimeout = 5 * time.Second

var errNotDurable = errors.New("not durable yet, as its log can't be written; it may still be taken: ask the history for its number")

// Submit hands in a change and waits until it is durable here. The error of one that is not taken is a *plans.Error.
func (g *Gateway) Submit(c quotaplan.Change) (quotaplan.Change, error) {
	done := make(chan quotaplan.Reply, 1)
	if !g.loop.Do(func() { g.loop.plans.submit(c, func(r quotaplan.Reply) { done <- r }) }) {
		return c, errors.New("the gateway has stopped")
	}
	select {
	case r := <-done:
		if r.Err != nil {
			return c, r.Err
		}
		return r.Change, nil
	case <-time.After(submitTimeout):
		return c, fmt.Errorf("change %d: log: %w", c.Number, errNotDurable)
	}
}

func (g *Gateway) postChange(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<10))
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
	var e *quotaplan.Error
	switch {
	case errors.As(err, &e):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, errNotDurable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(newChangeJSON(&c))
	}
}

// History is what a gateway tells of its book.
type History struct {
	Changes int                  `json:"changes"`
	Digest  string               `json:"sum"` // gateways that tell the same hold the same
	Plans   map[string]PlanTerms `json:"stands"`
	Entries []HistoryEntry       `json:"entries"`
}

func (g *Gateway) planHistory(member string) (h History) {
	h.Plans = map[string]PlanTerms{}
	g.loop.Do(func() {
		b := g.loop.plans.replica
		n, sum := b.Digest()
		h.Changes, h.Digest = n, strconv.FormatUint(sum, 16)
		for _, e := range b.History(member) {
			h.Entries = append(h.Entries, HistoryEntry{newChangeJSON(&e.Change), string(e.Status), e.Reason, e.Origin, formatTime(e.Stamp)})
		}
		for _, m := range g.fleet.Members {
			if member == "" || m.Name == member {
				h.Plans[m.Name] = PlanTerms{b.EffectivePlan(m.Name)}
			}
		}
	})
	return h
}

func (g *Gateway) getHistory(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(g.planHistory(r.URL.Query().Get("member")))
}

// Ask hands a change to a gateway at its state address and returns the change as it was taken.
func SubmitChange(addr string, secret credentials.Secret, c quotaplan.Change) (quotaplan.Change, error) {
	body, err := json.Marshal(newChangeJSON(&c))
	if err != nil {
		return c, err
	}
	var out changeJSON
	err = doRequest(http.MethodPost, "http://"+addr+"/changes", body, requestMAC(secret, body), &out)
	if err != nil {
		return c, err
	}
	return out.change()
}

// AskHistory asks a gateway its book, of one member or, with an empty name, of all.
func FetchHistory(addr, member string) (h History, err error) {
	return h, doRequest(http.MethodGet, "http://"+addr+"/changes?"+url.Values{"member": {member}}.Encode(), nil, "", &h)
}

func doRequest(method, url string, body []byte, mac string, out any) error {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return err
	}
	if body != nil {
		if req, err = http.NewRequest(method, url, bytes.NewReader(body)); err != nil {
			return err
		}
		req.Header.Set(macHeader, mac)
	}
	client := http.Client{Timeout: submitTimeout + 5*time.Second}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.New(strings.TrimSpace(string(raw)))
	}
	return json.Unmarshal(raw, out)
}

// ---- The file of changes.

// ReadChanges reads a file of changes: nodes "change" with the fields of one each. Times are RFC 3339.
func ReadChanges(file string, src []byte) ([]quotaplan.Change, []kdl.Pos, error) {
	nodes, err := decode.Parse(file, src)
	if err != nil {
		return nil, nil, err
	}
	d := &decode.Decoder{File: file}
	var out []quotaplan.Change
	var at []kdl.Pos
	seen := map[int]bool{}
	for _, n := range nodes {
		if n.Name != "change" {
			d.Fail(n.Pos, n.Name, "%q is not known, want nodes named \"change\"", n.Name)
			continue
		}
		d.Plain("change", n)
		var c quotaplan.Change
		number, target := 0, 0
		kinds := map[string]quotaplan.Kind{}
		for k := quotaplan.Move; k <= quotaplan.Shorten; k++ {
			kinds[k.String()] = k
		}
		const most = 1 << 53 // whole numbers up to there are exact
		d.Block("change", n, decode.Fields{
			"number": decode.Int(&number, 1, most), "kind": decode.Choice(&c.Kind, kinds), "target": decode.Int(&target, 1, most),
			"member": decode.String(&c.Member), "plan": decode.String(&c.Plan),
			"from": timeSetting(&c.From), "to": timeSetting(&c.To), "units": decode.Number(&c.Units, 0, 1e12), "use-rate": decode.Rate(&c.Rate),
			"rate": decode.Rate(&c.Terms.Rate), "burst": decode.Number(&c.Terms.Burst, 0, 1e9),
			"ceiling-rate": decode.Rate(&c.Terms.CeilingRate), "ceiling-burst": decode.Number(&c.Terms.CeilingBurst, 0, 1e9),
			"ceiling-slack": decode.Number(&c.Terms.CeilingSlack, 0, 1e9), "max-open": decode.Int(&c.Terms.MaxInFlight, 0, 1<<31-1),
			"price": decode.Number(&c.Terms.PriorityWeight, 0, 1e9),
		}, nil, "number", "kind")
		if seen[number] && number > 0 {
			d.Fail(n.Pos, "change.number", "%d, given before in this file", number)
		}
		seen[number] = true
		c.Number, c.Target, c.Terms.Name = uint64(number), uint64(target), c.Plan
		if c.Kind != quotaplan.Terms {
			c.Terms = decide.Plan{}
		}
		out = append(out, c)
		at = append(at, n.Pos)
	}
	return out, at, d.Err()
}

func timeSetting(to *int64) func(decode.Setting) {
	return func(s decode.Setting) {
		at, err := time.Parse(time.RFC3339Nano, s.Value.Text)
		if err != nil {
			s.Reject("a time such as \"2026-12-07T08:00:00Z\"")
			return
		}
		*to = at.UnixNano()
	}
}

const changesPollInterval = 500 * time.Millisecond

// watch hands in the changes of a file whenever it is another one than before. A file that can't be read whole changes
// nothing; of one that can, each change stands for itself, and those that the book has already are passed over.
func (g *Gateway) watchChanges(ctx context.Context, file string) {
	var last string
	for {
		if src, err := os.ReadFile(file); err == nil && string(src) != last {
			last = string(src)
			g.applyChanges(file, src)
		} else if err != nil && !errors.Is(err, os.ErrNotExist) && last != err.Error() {
			last = err.Error()
			g.log.Error("the file of changes can't be read", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(changesPollInterval):
		}
	}
}

func (g *Gateway) applyChanges(file string, src []byte) {
	cs, at, err := ReadChanges(file, src)
	if err != nil {
		g.log.Error("the file of changes is wrong, nothing of it is taken", "err", err)
		return
	}
	for i, c := range cs {
		known := false
		g.loop.Do(func() { known = g.loop.plans.replica.Contains(c) })
		if known {
			continue
		}
		if _, err := g.Submit(c); err != nil {
			g.log.Error("a change is not taken", "at", fmt.Sprintf("%s:%d:%d", file, at[i].Line, at[i].Column), "err", err)
		}
	}
}

// bookOptions are a gateway's, by the fleet's settings.
func newPlanOptions(f *config.Fleet, rank int, life uint64, seed int64) PlanOptions {
	o := PlanOptions{Plans: quotaplan.Settings{Rank: rank, Gateways: len(f.Gateways), Plans: f.Decide.Plans, Capacity: f.CapacityPerSecond,
		MaxRequestUnits: max(1, f.Decide.MaxUnits), Incarnation: life, Seed: seed},
		Reservations: reservation.Settings{Rank: rank, Gateways: len(f.Gateways), MaxRequestUnits: max(1, f.Decide.MaxUnits), Epoch: life, Seed: seed}}
	for _, m := range f.Members {
		o.Plans.Members = append(o.Plans.Members, quotaplan.Member{Name: m.Name, Plan: m.Plan, First: m.First, Spread: m.Spread})
	}
	return o
}
