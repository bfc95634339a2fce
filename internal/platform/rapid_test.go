package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// hit is one attempt as it reached the server of the test.
type hit struct {
	method, key string
	at          time.Time
	left        string
}

// moody is a server that keeps what reached it and answers by its mood.
type moody struct {
	mu   sync.Mutex
	hits map[string][]hit
	mood func(txn string, n int) string
}

func (m *moody) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	txn := r.Header.Get("X-Txn")
	m.mu.Lock()
	m.hits[txn] = append(m.hits[txn], hit{r.Method, r.Header.Get("Idempotency-Key"), time.Now(), r.Header.Get("X-Remaining-Ms")})
	mood := m.mood(txn, len(m.hits[txn]))
	m.mu.Unlock()
	switch mood {
	case "reset":
		nc, _, err := rw.(http.Hijacker).Hijack()
		if err == nil {
			nc.(*net.TCPConn).SetLinger(0)
			nc.Close()
		}
	case "away":
		rw.Header().Set("X-Turned-Away", "1")
		rw.WriteHeader(503)
	case "error":
		rw.WriteHeader(500)
	case "slow":
		select {
		case <-r.Context().Done():
		case <-time.After(150 * time.Millisecond):
			io.WriteString(rw, "late "+txn)
		}
	default:
		io.WriteString(rw, "for "+txn)
	}
}

// Under any valid settings: the method and key are those of the class's effect whatever its name is, nothing that may have
// run goes out again but as its effect allows, no more attempts than allowed, each request has one answer in time, and an
// answer is the one that was made for it. Windows are held where attempts are written; see upstream/http and gateway.
func TestServesUnderSettingsOfOthers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type class struct {
			Name, Effect, Group       string
			AimNs, GiveUpNs, WindowNs int64
			Importance                float64
			LateWorth                 float64
			deadline, window          time.Duration
		}
		names := rapid.Permutation([]string{"order-lookup", "folio-assign", "get", "Ä-1", "x.y_z"}).Draw(rt, "names")
		var classes []class
		for i := range rapid.IntRange(1, 3).Draw(rt, "classes") {
			deadline := time.Duration(rapid.IntRange(200, 1500).Draw(rt, "deadline")) * time.Millisecond
			window := time.Duration(rapid.IntRange(20, 600).Draw(rt, "window")) * time.Millisecond
			name := names[i]
			if !isVisible(name) {
				name = "plain"
			}
			classes = append(classes, class{Name: name, Effect: rapid.SampledFrom([]string{"safe", "keyed", "unsafe"}).Draw(rt, "effect"),
				Group: rapid.SampledFrom([]string{"all", "zone", "cell"}).Draw(rt, "group"), AimNs: int64(deadline) * 3 / 4, GiveUpNs: int64(deadline),
				WindowNs: int64(window), Importance: 1, LateWorth: float64(rapid.IntRange(0, 1).Draw(rt, "late worth")), deadline: deadline, window: window})
		}
		most := rapid.IntRange(1, 5).Draw(rt, "attempts")
		parallel := rapid.Bool().Draw(rt, "parallel")
		settings := map[string]any{"Classes": classes, "TiersOfService": []any{map[string]any{"Name": "p", "Refill": 1000, "MostAtOnce": 1000, "Pays": 1}},
			"Extra": map[string]any{"UnitsTop": 8},
			"Limits": map[string]any{"SendCap": most, "ParallelTries": parallel, "MayCancel": rapid.Bool().Draw(rt, "cancel"),
				"RetryAfter": rapid.Bool().Draw(rt, "retry after"), "MaxRetryAfterNs": 500000000, "ConnectTimeoutNs": 250000000, "ConnIdleNs": 2000000000, "OpenCap": 100},
			"Safety":    map[string]any{"DrainGraceNs": 1000000000, "ColdFrom": 0.2, "ColdNs": 1000000000, "FallMultiple": 4, "FallNs": 1000000000},
			"Instances": 1, "Rank": 0, "Zone": "a"}
		mood := map[int]string{}
		for n := range 6 {
			mood[n] = rapid.SampledFrom([]string{"fine", "fine", "reset", "away", "error", "slow"}).Draw(rt, "mood")
		}
		m := &moody{hits: map[string][]hit{}, mood: func(_ string, n int) string { return mood[n%6] }}
		servers, list, stop := m.serve(t)
		defer stop()
		raw, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": list, "seed": "1",
			"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 128}, "known": map[string]any{"rev": 1, "all": true, "targets": servers}, "settings": settings})
		if err != nil {
			rt.Fatal(err)
		}
		c, err := parse(raw)
		if err != nil {
			rt.Fatalf("valid settings are refused: %v\n%s", err, raw)
		}
		g, err := Start(c, slog.New(slog.DiscardHandler))
		if err != nil {
			rt.Fatal(err)
		}
		defer g.Stop()
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		for i, k := range classes {
			txn := fmt.Sprint("t", i)
			method, body := "POST", "abc"
			if k.Effect == "safe" {
				method, body = "GET", ""
			}
			q, _ := http.NewRequest(method, "http://"+g.ln.Addr().String()+"/api", strings.NewReader(body))
			for name, v := range map[string]string{"X-Txn": txn, "X-Lane": k.Name, "X-Plan": "p", "X-Customer": "00000000b4d65521",
				"X-Remaining-Ms": fmt.Sprint(k.deadline.Milliseconds()), "X-Quota": "units=1,spread=1,first=0"} {
				q.Header.Set(name, v)
			}
			if k.Effect == "keyed" {
				q.Header.Set("Idempotency-Key", "k"+txn)
			}
			began := time.Now()
			res, err := client.Do(q)
			if err != nil {
				rt.Fatalf("%s: no answer: %v", txn, err)
			}
			text, _ := io.ReadAll(res.Body)
			res.Body.Close()
			if took := time.Since(began); took > k.deadline+5*time.Second { // far over: a loaded machine is no fault
				rt.Errorf("%s: answered after %v, its time is %v", txn, took, k.deadline)
			}
			if res.StatusCode == 200 && string(text) != "for "+txn && string(text) != "late "+txn {
				rt.Errorf("%s: served %q", txn, text)
			}
			m.mu.Lock()
			hits := m.hits[txn]
			m.mu.Unlock()
			if len(hits) > most {
				rt.Errorf("%s: %d attempts, want %d at most", txn, len(hits), most)
			}
			first := -1 // the first attempt that may have run
			for n, h := range hits {
				if h.method != method || (h.key != "") != (k.Effect == "keyed") {
					rt.Errorf("%s of effect %s: %s, key %q", txn, k.Effect, h.method, h.key)
				}
				if first >= 0 && k.Effect == "unsafe" {
					rt.Errorf("%s, which must not run twice, went out again behind one that may have run", txn)
				}
				if first < 0 && mood[(n+1)%6] != "away" {
					first = n
				}
			}
			if res.StatusCode == 429 && first >= 0 && (k.Effect == "unsafe" || k.Effect == "keyed" && k.Group != "all") {
				rt.Errorf("%s of effect %s, group %s: a refusal promises that it did not run", txn, k.Effect, k.Group)
			}
		}
	})
}

func isVisible(s string) bool {
	return !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c > '~' })
}

// serve starts two servers with one mood in one cell and a list of them.
func (m *moody) serve(t *testing.T) (servers []any, list string, stop func()) {
	var all []*http.Server
	start := func(h http.Handler) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: h}
		go s.Serve(ln)
		all = append(all, s)
		return ln.Addr().String()
	}
	for i := range 2 {
		servers = append(servers, map[string]any{"uid": fmt.Sprint("s", i), "endpoint": start(m), "az": "a", "model": "m", "pod_group": 1, "state": "ready", "capacity_hint": 1, "boot_ms": 0})
	}
	list = start(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "" {
			<-r.Context().Done()
			return
		}
		json.NewEncoder(rw).Encode(map[string]any{"rev": 2, "all": true, "targets": servers})
	}))
	return servers, list, func() {
		for _, s := range all {
			s.Close()
		}
	}
}

// Settings that can't be worked with stop the start with file, field and value.
func TestSettingsOfOthersThatCantBeUsed(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"GiveUpNs":4000000000,"Importance":1,"WindowNs":0`, `"GiveUpNs":0,"Importance":1,"WindowNs":0`, `Classes[0].GiveUpNs is 0`},
		{`"WindowNs":0`, `"WindowNs":-5`, `Classes[0].WindowNs is -5`},
		{`"Name":"pay"`, `"Name":"get"`, `Classes[1].Name is "get"`},
		{`"Name":"small"`, `"Name":"team"`, `TiersOfService[1].Name is "team"`},
		{`"ConnIdleNs":30000000000`, `"ConnIdleNs":-1`, `Limits.ConnIdleNs is -1`},
		{`"ConnectTimeoutNs":250000000`, `"ConnectTimeoutNs":-1`, `Limits.ConnectTimeoutNs is -1`},
	} {
		file := filepath.Join(t.TempDir(), "config.json")
		text := strings.Replace(settingsText, c.from, c.to, 1)
		if text == settingsText {
			t.Fatalf("%s is not in the settings", c.from)
		}
		os.WriteFile(file, []byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":`+text+`}`), 0o600)
		if _, err := Load(file); err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), file) {
			t.Errorf("%s: error %v, want one that names the file and %s", c.to, err, c.want)
		}
	}
}
