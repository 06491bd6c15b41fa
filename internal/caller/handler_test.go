// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/caller"
	"github.com/leverdyke/leverdyke/internal/idempotency"
	"github.com/leverdyke/leverdyke/internal/metrics"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/router"
	"github.com/leverdyke/leverdyke/internal/state"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// fakeKeys stands in for the log's table of keys, which the handlers of several nodes share.
type fakeKeys struct {
	mu     *sync.Mutex
	owners map[idempotency.Key]*fakeKeys
	table  *idempotency.Table
	fate   idempotency.ClaimOutcome
	claims int
}

func (k *fakeKeys) ClaimKey(_ context.Context, key idempotency.Key) (idempotency.ClaimOutcome, state.NodeID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.claims++
	if k.fate != "" {
		return k.fate, ""
	}
	if k.owners[key] != nil {
		return idempotency.ClaimLost, "other"
	}
	k.owners[key] = k
	return idempotency.ClaimWon, "self"
}

func (k *fakeKeys) FetchAnswer(ctx context.Context, _ state.NodeID, key idempotency.Key) (node.SavedAnswer, bool) {
	k.mu.Lock()
	owner := k.owners[key]
	k.mu.Unlock()
	if owner == nil || owner.table == nil {
		return node.SavedAnswer{}, false
	}
	e := owner.table.Find(key)
	if e == nil {
		return node.SavedAnswer{}, false
	}
	a, ok := e.Wait(ctx)
	return a, ok && a.Verdict != ""
}

func (k *fakeKeys) Answers() *idempotency.Table { return k.table }

// newFakeKeys returns the keys of n nodes of one cluster.
func newFakeKeys(n int) []*fakeKeys {
	mu, owners := &sync.Mutex{}, map[idempotency.Key]*fakeKeys{}
	list := []*fakeKeys{}
	for range n {
		list = append(list, &fakeKeys{mu: mu, owners: owners, table: idempotency.NewTable(idempotency.NewTableOptions{})})
	}
	return list
}

func grantFor(t *testing.T, service, url string, attempt uint64, slots int) *node.Grant {
	t.Helper()
	addr, err := netip.ParseAddrPort(strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	return &node.Grant{Service: service, Worker: worker.ID(url), Addr: addr, Slots: slots, Key: worker.Key{Task: leverdyke.TaskID{Job: "grant"}, Attempt: attempt}}
}

// newCallerServer returns a server for callers with the handler of newCallerHandler.
func newCallerServer(t *testing.T, isOnce bool, keys *fakeKeys, workers ...string) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(newCallerHandler(t, isOnce, keys, workers...))
	t.Cleanup(s.Close)
	return s
}

// newCallerHandler returns a handler for callers with one service, "s", and a grant of four slots on each of the
// workers.
func newCallerHandler(t *testing.T, isOnce bool, keys *fakeKeys, workers ...string) *caller.Handler {
	t.Helper()
	r := router.NewRouter(router.NewRouterOptions{IdleTimeout: time.Hour})
	r.SetServices(map[string]router.Info{"s": {IsOnce: isOnce}})
	for i, w := range workers {
		r.OnGrant(grantFor(t, "s", w, uint64(i+1), 4))
	}
	m, err := metrics.NewSet()
	if err != nil {
		t.Fatal(err)
	}
	return caller.NewHandler(caller.NewHandlerOptions{Router: r, Keys: keys, Metrics: m, IsReady: func() bool { return true }})
}

func newWorker(t *testing.T, f http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return s.URL
}

func newKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

type result struct {
	status  int
	verdict leverdyke.Verdict
	header  http.Header
	body    string
	err     error
}

func call(t *testing.T, url, method, body string, header ...string) result {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	return result{res.StatusCode, leverdyke.Verdict(res.Header.Get(leverdyke.VerdictHeader)), res.Header, string(got), err}
}

// closedAddr returns an address at which no process listens.
func closedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return "http://" + l.Addr().String()
}

func TestAnswerIsForwardedUnchanged(t *testing.T) {
	w := newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Answer", "1")
		w.WriteHeader(http.StatusTeapot)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
	})
	s := newCallerServer(t, false, newFakeKeys(1)[0], w)
	got := call(t, s.URL+"/s/s/a%2Fb?q=1", http.MethodPost, "hello")
	want := "POST /v1/serve/a%2Fb?q=1 hello"
	if got.body != want || got.status != http.StatusTeapot || got.verdict != leverdyke.VerdictRan || got.header.Get("X-Answer") != "1" {
		t.Errorf("got: %+v, want: %q", got, want)
	}
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	seen := make(chan http.Header, 1)
	w := newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set(leverdyke.VerdictHeader, "made up")
	})
	s := newCallerServer(t, false, newFakeKeys(1)[0], w)
	got := call(t, s.URL+"/s/s/", http.MethodGet, "", "Connection", "X-Hop", "X-Hop", "1", "X-End", "1", "Te", "trailers")
	h := <-seen
	if h.Get("X-Hop") != "" || h.Get("Te") != "" || h.Get("X-End") != "1" {
		t.Errorf("to the worker: got: %v, want: X-End alone", h)
	}
	if got.header.Get("X-Private") != "" || got.verdict != leverdyke.VerdictRan {
		t.Errorf("to the caller: got: %v, want: no X-Private and the verdict ran", got.header)
	}
}

func TestTruncatedAnswerIsVisibleToTheCaller(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"with a length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"in chunks": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	} {
		for _, isOnce := range []bool{false, true} {
			s := newCallerServer(t, isOnce, newFakeKeys(1)[0], newWorker(t, handler))
			got := call(t, s.URL+"/s/s/", http.MethodPost, "x", caller.KeyHeader, newKey(t))
			if got.err == nil {
				t.Errorf("%s, once %v: got: %+v, want: an error while reading", name, isOnce, got)
			}
		}
	}
}

func TestRequestThatDidNotRunIsRetriedOnAnotherWorker(t *testing.T) {
	good := newWorker(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	refusing := newWorker(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(leverdyke.VerdictHeader, string(leverdyke.VerdictNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for name, bad := range map[string]string{"nobody listens": closedAddr(t), "the worker refuses": refusing} {
		for _, isOnce := range []bool{false, true} {
			s := newCallerServer(t, isOnce, newFakeKeys(1)[0], bad, good)
			for range 2 {
				if got := call(t, s.URL+"/s/s/", http.MethodPost, "x", caller.KeyHeader, newKey(t)); got.body != "ok" {
					t.Errorf("%s, once %v: got: %+v, want: ok", name, isOnce, got)
				}
			}
		}
	}
}

func TestNonRepeatableRequestIsSentOnce(t *testing.T) {
	sent := atomic.Int32{}
	crashing := newWorker(t, func(http.ResponseWriter, *http.Request) {
		sent.Add(1)
		panic(http.ErrAbortHandler)
	})
	for _, body := range []string{"deed", ""} {
		sent.Store(0)
		s := newCallerServer(t, true, newFakeKeys(1)[0], crashing, crashing, crashing)
		key := newKey(t)
		for range 3 {
			got := call(t, s.URL+"/s/s/", http.MethodPost, body, caller.KeyHeader, key)
			if got.verdict != leverdyke.VerdictMayHaveRun || got.status != http.StatusBadGateway {
				t.Errorf("got: %+v, want: may-have-run", got)
			}
		}
		if got := sent.Load(); got != 1 {
			t.Errorf("body %q: got: sent %d times, want: 1", body, got)
		}
	}
}

// When a server closes an idle connection, the standard library sends a request with an idempotency
// key again by itself if it can rewind the body. A non-repeatable request could then run twice.
func TestTransportNeverResendsARequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests := atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, &requests)
		}
	}()
	s := newCallerServer(t, true, newFakeKeys(1)[0], "http://"+l.Addr().String())
	if got := call(t, s.URL+"/s/s/", http.MethodGet, ""); got.body != "ok" {
		t.Fatalf("got: %+v, want: ok", got)
	}
	requests.Store(0)
	got := call(t, s.URL+"/s/s/", http.MethodPost, "", caller.KeyHeader, newKey(t))
	if got.verdict == leverdyke.VerdictRan || requests.Load() != 1 {
		t.Errorf("got: %v after %d sends, want: no answer after 1", got.verdict, requests.Load())
	}
}

// serveRaw answers the first GET of a connection and closes the connection at the next request. It
// closes at once on a POST.
func serveRaw(c net.Conn, requests *atomic.Int32) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	requests.Add(1)
	if req.Method != http.MethodGet {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	if _, err := http.ReadRequest(r); err == nil {
		requests.Add(1)
	}
}

func TestRetryGetsTheFirstAnswer(t *testing.T) {
	runs := atomic.Int32{}
	w := newWorker(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Run", "first")
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "run %d", runs.Add(1))
	})
	keys := newFakeKeys(2)
	here, there := newCallerServer(t, true, keys[0], w), newCallerServer(t, true, keys[1], w)
	key := newKey(t)
	first := call(t, here.URL+"/s/s/", http.MethodPost, "deed", caller.KeyHeader, key)
	for name, s := range map[string]*httptest.Server{"the same node": here, "another node": there} {
		got := call(t, s.URL+"/s/s/", http.MethodPost, "deed", caller.KeyHeader, key)
		if got.body != first.body || got.status != http.StatusCreated || got.header.Get("X-Run") != "first" || got.verdict != leverdyke.VerdictRan {
			t.Errorf("%s: got: %+v, want: %+v", name, got, first)
		}
	}
	other := call(t, here.URL+"/s/s/", http.MethodPost, "another deed", caller.KeyHeader, key)
	if other.status != http.StatusUnprocessableEntity || other.verdict != leverdyke.VerdictNotRun {
		t.Errorf("another body: got: %+v, want: 422, not-run", other)
	}
	if got := runs.Load(); got != 1 {
		t.Errorf("got: %d runs, want: 1", got)
	}
}

func TestRetryAfterLossOfTheKeyOwnerMayHaveRun(t *testing.T) {
	keys := newFakeKeys(2)
	w := newWorker(t, func(http.ResponseWriter, *http.Request) {})
	here, there := newCallerServer(t, true, keys[0], w), newCallerServer(t, true, keys[1], w)
	key := newKey(t)
	call(t, here.URL+"/s/s/", http.MethodPost, "deed", caller.KeyHeader, key)
	keys[0].table = nil
	got := call(t, there.URL+"/s/s/", http.MethodPost, "deed", caller.KeyHeader, key)
	if got.verdict != leverdyke.VerdictMayHaveRun {
		t.Errorf("got: %+v, want: may-have-run", got)
	}
}

func TestIdempotencyKeyIsValidated(t *testing.T) {
	w := newWorker(t, func(http.ResponseWriter, *http.Request) {})
	s := newCallerServer(t, true, newFakeKeys(1)[0], w)
	old := uuid.MustParse("01800000-0000-7000-8000-000000000000")
	for name, c := range map[string]struct {
		key     string
		verdict leverdyke.Verdict
		status  int
	}{
		"missing":        {"", leverdyke.VerdictNotRun, http.StatusBadRequest},
		"not version 7":  {uuid.NewString(), leverdyke.VerdictNotRun, http.StatusBadRequest},
		"too old":        {old.String(), leverdyke.VerdictMayHaveRun, http.StatusConflict},
		"from tomorrow":  {"7fffffff-0000-7000-8000-000000000000", leverdyke.VerdictNotRun, http.StatusBadRequest},
		"good, and runs": {newKey(t), leverdyke.VerdictRan, http.StatusOK},
	} {
		got := call(t, s.URL+"/s/s/", http.MethodPost, "x", caller.KeyHeader, c.key)
		if got.verdict != c.verdict || got.status != c.status {
			t.Errorf("%s: got: %v %d, want: %v %d", name, got.verdict, got.status, c.verdict, c.status)
		}
	}
}

func TestLogOutageRefusesNonRepeatableRequestsAsNotRun(t *testing.T) {
	runs := atomic.Int32{}
	w := newWorker(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	for _, fate := range []idempotency.ClaimOutcome{idempotency.ClaimNotRecorded, idempotency.ClaimUnknown} {
		keys := newFakeKeys(1)[0]
		keys.fate = fate
		s := newCallerServer(t, true, keys, w)
		got := call(t, s.URL+"/s/s/", http.MethodPost, "x", caller.KeyHeader, newKey(t))
		if got.verdict != leverdyke.VerdictNotRun || got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: got: %+v, want: not-run, 503 and a time to come back", fate, got)
		}
		if got := call(t, s.URL+"/s/s/", http.MethodGet, ""); got.verdict != leverdyke.VerdictRan {
			t.Errorf("%s: a GET: got: %+v, want: ran", fate, got)
		}
	}
	if got := runs.Load(); got != 2 {
		t.Errorf("got: %d runs, want: 2, the GETs", got)
	}
}

func TestRefusalsStateTheirVerdict(t *testing.T) {
	w := newWorker(t, func(http.ResponseWriter, *http.Request) {})
	s := newCallerServer(t, false, newFakeKeys(1)[0], w)
	for name, c := range map[string]struct {
		path   string
		header []string
		status int
	}{
		"unknown service": {"/s/none/", nil, http.StatusNotFound},
		"bad class":       {"/s/s/", []string{caller.ClassHeader, "soon"}, http.StatusBadRequest},
		"bad timeout":     {"/s/s/", []string{caller.TimeoutHeader, "-1s"}, http.StatusBadRequest},
	} {
		got := call(t, s.URL+c.path, http.MethodPost, "x", c.header...)
		body := struct {
			Verdict leverdyke.Verdict `json:"verdict"`
		}{}
		if err := json.Unmarshal([]byte(got.body), &body); err != nil {
			t.Errorf("%s: got: %v, want: a problem body", name, err)
		}
		if got.status != c.status || got.verdict != leverdyke.VerdictNotRun || body.Verdict != got.verdict {
			t.Errorf("%s: got: %+v, want: %d, not-run", name, got, c.status)
		}
	}
}

func TestLongBodiesStreamBothWays(t *testing.T) {
	w := newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	})
	s := newCallerServer(t, false, newFakeKeys(1)[0], w)
	body := strings.Repeat("0123456789abcdef", 1<<16)
	got := call(t, s.URL+"/s/s/", http.MethodPost, body)
	if !bytes.Equal([]byte(got.body), []byte(body)) {
		t.Errorf("got: %d bytes, want: the %d that were sent", len(got.body), len(body))
	}
}

// The answer must not be lost when its caller disconnects: a retry with the same key gets it.
func TestAnswerIsKeptAfterItsCallerDisconnects(t *testing.T) {
	requestReceived, sendAnswer := make(chan struct{}), make(chan struct{})
	w := newWorker(t, func(w http.ResponseWriter, _ *http.Request) {
		close(requestReceived)
		<-sendAnswer
		_, _ = io.WriteString(w, "registered")
	})
	s := newCallerServer(t, true, newFakeKeys(1)[0], w)
	key := newKey(t)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/s/s/", strings.NewReader("deed"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(caller.KeyHeader, key)
	callerDisconnected := make(chan struct{})
	go func() {
		defer close(callerDisconnected)
		_, _ = http.DefaultTransport.RoundTrip(req)
	}()
	<-requestReceived
	cancel()
	<-callerDisconnected
	close(sendAnswer)
	got := call(t, s.URL+"/s/s/", http.MethodPost, "deed", caller.KeyHeader, key)
	if got.body != "registered" || got.verdict != leverdyke.VerdictRan {
		t.Errorf("got: %+v, want: the first answer", got)
	}
}
