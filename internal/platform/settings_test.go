package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// receivedAttempt is an attempt that a server has received.
type receivedAttempt struct{ method, key string }

// scriptedServer is a server that records attempts and responds to them as behavior says. behavior receives
// the number of the attempt among those with the same X-Txn, starting at 1, and returns ok, slow, reset, away
// (rejected before execution) or error.
type scriptedServer struct {
	behavior func(attempt int) string
	mu       sync.Mutex
	attempts map[string][]receivedAttempt // attempts by X-Txn
}

// record records an attempt and returns its number.
func (s *scriptedServer) record(r *http.Request) (attempt int) {
	txn := r.Header.Get("X-Txn")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts == nil {
		s.attempts = map[string][]receivedAttempt{}
	}
	s.attempts[txn] = append(s.attempts[txn], receivedAttempt{r.Method, r.Header.Get("Idempotency-Key")})
	return len(s.attempts[txn])
}

// received returns the attempts with the given X-Txn.
func (s *scriptedServer) received(txn string) []receivedAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[txn]
}

func (s *scriptedServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	txn := r.Header.Get("X-Txn")
	switch s.behavior(s.record(r)) {
	case "reset":
		nc, _, err := rw.(http.Hijacker).Hijack()
		if err == nil {
			nc.(*net.TCPConn).SetLinger(0)
			nc.Close()
		}
	case "away":
		rw.Header().Set("X-Turned-Away", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case "error":
		rw.WriteHeader(http.StatusInternalServerError)
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

// start runs the server at two addresses and returns the list entries of both.
func (s *scriptedServer) start(t testingT) (targets []any) {
	t.Helper()
	for i := range 2 {
		targets = append(targets, target(fmt.Sprint("s", i), serveHTTP(t, s), "ready", 0))
	}
	return targets
}

// startFixedDiscovery runs a discovery whose list never changes and returns its address.
func startFixedDiscovery(t testingT, targets []any) string {
	t.Helper()
	return serveHTTP(t, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "" {
			<-r.Context().Done()
			return
		}
		json.NewEncoder(rw).Encode(map[string]any{"rev": 2, "all": true, "targets": targets})
	}))
}

// drawnClass is a class of randomly drawn settings. Field names are keys of the settings.
type drawnClass struct {
	Name, Effect, Group       string
	AimNs, GiveUpNs, WindowNs int64
	Importance                float64
	LateWorth                 float64
}

func (c *drawnClass) deadline() time.Duration { return time.Duration(c.GiveUpNs) }

// drawClasses draws one to three classes. The deadlines leave time for a few attempts.
func drawClasses(t *rapid.T) (classes []drawnClass) {
	names := rapid.Permutation([]string{"order-lookup", "folio-assign", "get", "Ä-1", "x.y_z"}).
		Draw(t, "names")
	for i := range rapid.IntRange(1, 3).Draw(t, "classes") {
		deadline := time.Duration(rapid.IntRange(200, 1500).Draw(t, "deadline")) * time.Millisecond
		window := time.Duration(rapid.IntRange(20, 600).Draw(t, "window")) * time.Millisecond
		name := names[i]
		if !isVisible(name) {
			name = "plain"
		}
		classes = append(classes, drawnClass{
			Name:       name,
			Effect:     rapid.SampledFrom([]string{"safe", "keyed", "unsafe"}).Draw(t, "effect"),
			Group:      rapid.SampledFrom([]string{"all", "zone", "cell"}).Draw(t, "group"),
			AimNs:      int64(deadline) * 3 / 4,
			GiveUpNs:   int64(deadline),
			WindowNs:   int64(window),
			Importance: 1,
			LateWorth:  float64(rapid.IntRange(0, 1).Draw(t, "late worth")),
		})
	}
	return classes
}

// isVisible reports whether s consists of visible ASCII characters.
func isVisible(s string) bool {
	return !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c > '~' })
}

// drawSettings draws a settings object with the given classes. It also returns the number of attempts that
// the settings allow.
func drawSettings(t *rapid.T, classes []drawnClass) (settings map[string]any, maxAttempts int) {
	maxAttempts = rapid.IntRange(1, 5).Draw(t, "attempts")
	hedging := rapid.Bool().Draw(t, "hedging")
	return map[string]any{
		"Classes":        classes,
		"TiersOfService": []any{map[string]any{"Name": "p", "Refill": 1000, "MostAtOnce": 1000, "Pays": 1}},
		"Extra":          map[string]any{"UnitsTop": 8},
		"Limits": map[string]any{
			"SendCap":          maxAttempts,
			"ParallelTries":    hedging,
			"MayCancel":        rapid.Bool().Draw(t, "cancel"),
			"RetryAfter":       rapid.Bool().Draw(t, "retry after"),
			"MaxRetryAfterNs":  500000000,
			"ConnectTimeoutNs": 250000000,
			"ConnIdleNs":       2000000000,
			"OpenCap":          100,
		},
		"Safety": map[string]any{
			"DrainGraceNs": 1000000000,
			"ColdFrom":     0.2,
			"ColdNs":       1000000000,
			"FallMultiple": 4,
			"FallNs":       1000000000,
		},
		"Instances": 1,
		"Rank":      0,
		"Zone":      "a",
	}, maxAttempts
}

// Guards against behavior that depends on particular settings. With any valid settings:
//   - the method and the idempotency key of attempts match the effect of the class, whatever its name is
//   - a request that may have run is sent again only if the effect allows it
//   - there are no more attempts than the settings allow
//   - each request gets one response in time, and the response belongs to it
//
// Deduplication windows are tested where attempts are written, in the packages upstream/http and gateway.
func TestServesUnderRandomSettings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		classes := drawClasses(rt)
		settings, maxAttempts := drawSettings(rt, classes)
		behaviors := map[int]string{}
		for n := range 6 {
			behaviors[n] = rapid.SampledFrom([]string{"ok", "ok", "reset", "away", "error", "slow"}).
				Draw(rt, "behavior")
		}
		server := &scriptedServer{behavior: func(attempt int) string { return behaviors[attempt%6] }}
		g := startWithSettings(rt, server, settings)
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		for i, class := range classes {
			txn := fmt.Sprint("t", i)
			status := sendAndCheck(rt, client, g.ln.Addr().String(), txn, &class)
			attempts := server.received(txn)
			if len(attempts) > maxAttempts {
				rt.Errorf("%s: %d attempts, want at most %d", txn, len(attempts), maxAttempts)
			}
			mayHaveRun := checkAttempts(rt, txn, &class, attempts, behaviors)
			mustNotRepeat := class.Effect == "unsafe" || class.Effect == "keyed" && class.Group != "all"
			if status == http.StatusTooManyRequests && mayHaveRun && mustNotRepeat {
				rt.Errorf("%s with effect %s, group %s: got status 429, which promises that it did not run",
					txn, class.Effect, class.Group)
			}
		}
	})
}

// startWithSettings runs a gateway with the given settings and server.
func startWithSettings(t testingT, server *scriptedServer, settings map[string]any) *Gateway {
	t.Helper()
	targets := server.start(t)
	config, err := json.Marshal(map[string]any{
		"name":      "n0",
		"listen":    "127.0.0.1:0",
		"discovery": startFixedDiscovery(t, targets),
		"seed":      "1",
		"limits":    map[string]any{"cores": 1, "memory_mb": 64, "sockets": 128},
		"known":     map[string]any{"rev": 1, "all": true, "targets": targets},
		"settings":  settings,
	})
	if err != nil {
		t.Fatal(err)
	}
	return startInProcess(t, config)
}

// method returns the method that requests of the class must have.
func (c *drawnClass) method() string {
	if c.Effect == "safe" {
		return http.MethodGet
	}
	return http.MethodPost
}

// sendAndCheck sends a request of a class and returns the status of the response. It checks that the response
// arrives in time and belongs to the request.
func sendAndCheck(t *rapid.T, client *http.Client, addr, txn string, class *drawnClass) (status int) {
	t.Helper()
	body := ""
	if class.method() == http.MethodPost {
		body = "abc"
	}
	request, _ := http.NewRequest(class.method(), "http://"+addr+"/api", strings.NewReader(body))
	for name, value := range map[string]string{
		"X-Txn":          txn,
		"X-Lane":         class.Name,
		"X-Plan":         "p",
		"X-Customer":     "00000000b4d65521",
		"X-Remaining-Ms": fmt.Sprint(class.deadline().Milliseconds()),
		"X-Quota":        "units=1,spread=1,first=0",
	} {
		request.Header.Set(name, value)
	}
	if class.Effect == "keyed" {
		request.Header.Set("Idempotency-Key", "k"+txn)
	}
	sentAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		t.Fatalf("%s: no response: %v", txn, err)
	}
	text, _ := io.ReadAll(response.Body)
	response.Body.Close()
	// The margin of 5 s allows for a loaded machine.
	if took := time.Since(sentAt); took > class.deadline()+5*time.Second {
		t.Errorf("%s: response after %v, want it within the deadline of %v", txn, took, class.deadline())
	}
	if response.StatusCode == 200 && string(text) != "for "+txn && string(text) != "late "+txn {
		t.Errorf("%s: got the body %q of another request", txn, text)
	}
	return response.StatusCode
}

// checkAttempts checks the attempts of a request against its class and reports whether one of them may have
// run.
func checkAttempts(t *rapid.T, txn string, class *drawnClass, attempts []receivedAttempt,
	behaviors map[int]string) (mayHaveRun bool) {
	t.Helper()
	for n, attempt := range attempts {
		if attempt.method != class.method() || (attempt.key != "") != (class.Effect == "keyed") {
			t.Errorf("%s with effect %s: attempt has method %s and key %q", txn, class.Effect, attempt.method,
				attempt.key)
		}
		if mayHaveRun && class.Effect == "unsafe" {
			t.Errorf("%s must not run twice, but was sent again after an attempt that may have run", txn)
		}
		if behaviors[(n+1)%6] != "away" {
			mayHaveRun = true
		}
	}
	return mayHaveRun
}
