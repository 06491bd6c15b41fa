// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package caller is the adapter for callers: it takes their HTTP requests and
// forwards each to a worker, with a verdict on every path.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/front"
	"github.com/leverdyke/leverdyke/internal/metrics"
)

// The headers of callers.
const (
	// ClassHeader carries the class of a request; without it, it is normal.
	ClassHeader = "Leverdyke-Class"
	// TimeoutHeader carries how long the caller waits, such as 1500ms.
	TimeoutHeader = "Leverdyke-Timeout"
	// KeyHeader carries the idempotency key of a request that may not be
	// repeated: a UUID of version 7.
	KeyHeader = "Idempotency-Key"
)

const (
	pathPrefix = "/s/"
	// replayBytes is how much of a body is kept to send it a second time.
	replayBytes    = 64 << 10
	maxHeaderBytes = 32 << 10
	maxTries       = 3
	defaultTimeout = 30 * time.Second
)

// Router gives slots.
type Router interface {
	Info(service string) (front.Info, bool)
	Acquire(ctx context.Context, service string, class leverdyke.Class) (*front.Slot, *leverdyke.Error)
}

// NewHandlerOptions says what a handler needs. Router, Keys, Metrics and
// IsReady must be set.
type NewHandlerOptions struct {
	Router  Router
	Keys    Keys
	Metrics *metrics.Set
	// IsReady reports whether the balancer should send requests here.
	IsReady func() bool
	// MaxRequests bounds the requests in progress; 0 means 1024.
	MaxRequests int
	// MaxTimeout bounds a request's time; 0 means 60 s.
	MaxTimeout time.Duration
	Clock      clock.Service
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	options NewHandlerOptions
	mux     *http.ServeMux
	// forward reuses connections; single never does, so that the transport has
	// no reason to send a request a second time on its own (decision 0004).
	forward, single http.RoundTripper
	inProgress      chan struct{}
}

// NewHandler returns a handler for the callers' port.
func NewHandler(options NewHandlerOptions) *Handler {
	if options.MaxRequests == 0 {
		options.MaxRequests = 1024
	}
	if options.MaxTimeout == 0 {
		options.MaxTimeout = time.Minute
	}
	if options.Clock == nil {
		options.Clock = clock.Real{}
	}
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	h := &Handler{
		options:    options,
		forward:    &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, DisableCompression: true, WriteBufferSize: 2048, ReadBufferSize: 2048},
		single:     &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, WriteBufferSize: 2048, ReadBufferSize: 2048},
		inProgress: make(chan struct{}, options.MaxRequests),
	}
	h.mux = http.NewServeMux()
	h.mux.HandleFunc(pathPrefix, h.serve)
	h.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	h.mux.HandleFunc("GET /readyz", h.serveReady)
	return h
}

// NewServer returns a server with the limits for callers' requests.
func NewServer(h *Handler) *http.Server {
	return &http.Server{
		Handler: h.mux, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: maxHeaderBytes,
	}
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// InProgress returns how many requests are in progress.
func (h *Handler) InProgress() int { return len(h.inProgress) }

func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.options.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// exchange is one caller's request on its way.
type exchange struct {
	service string
	path    string
	class   leverdyke.Class
	// isOnce means that the request may not be repeated.
	isOnce bool
	// body has the first bytes; rest is what follows and cannot be sent twice;
	// nil means that body is all.
	body  []byte
	rest  io.Reader
	began time.Time
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	select {
	case h.inProgress <- struct{}{}:
		defer func() { <-h.inProgress }()
	default:
		h.refuse(w, leverdyke.NotRun("the node has too many requests in progress", 1))
		return
	}
	x, problem := h.parse(r)
	if problem != nil {
		h.writeProblem(w, http.StatusBadRequest, problem)
		return
	}
	timeout, problem := h.timeout(r)
	if problem != nil {
		h.writeProblem(w, http.StatusBadRequest, problem)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	info, ok := h.options.Router.Info(x.service)
	if !ok {
		h.writeProblem(w, http.StatusNotFound, leverdyke.NotRun("there is no service named "+x.service+" in this region", 0))
		return
	}
	x.isOnce = info.IsOnce && !isSafe(r.Method)
	if err := x.readBody(r); err != nil {
		h.writeProblem(w, http.StatusBadRequest, leverdyke.NotRun("the body broke off: "+err.Error(), 0))
		return
	}
	if x.rest != nil {
		// The worker may answer while the caller still sends: without full
		// duplex, the server would stop reading the body with the first byte of
		// the answer. The connection ends with the answer, since nobody knows
		// how much of the body the worker has left unread.
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Connection", "close")
	}
	if x.isOnce {
		h.serveOnce(ctx, w, r, x)
		return
	}
	h.forwardTries(ctx, w, r, x)
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func (h *Handler) parse(r *http.Request) (*exchange, *leverdyke.Error) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), pathPrefix), "/")
	x := &exchange{service: service, path: "/v1/serve/" + rest, class: leverdyke.ClassNormal, began: h.options.Clock.Now()}
	if r.URL.RawQuery != "" {
		x.path += "?" + r.URL.RawQuery
	}
	switch c := leverdyke.Class(r.Header.Get(ClassHeader)); c {
	case "":
	case leverdyke.ClassUrgent, leverdyke.ClassNormal, leverdyke.ClassBatch:
		x.class = c
	default:
		return nil, leverdyke.NotRun(ClassHeader+": allowed are urgent, normal, batch", 0)
	}
	return x, nil
}

func (h *Handler) timeout(r *http.Request) (time.Duration, *leverdyke.Error) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return min(defaultTimeout, h.options.MaxTimeout), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, leverdyke.NotRun(TimeoutHeader+": allowed is a duration above 0, such as 1500ms", 0)
	}
	return min(d, h.options.MaxTimeout), nil
}

// readBody keeps the body's first bytes, so that a short one can be sent again.
func (x *exchange) readBody(r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, replayBytes+1))
	if err != nil {
		return err
	}
	x.body = head
	if len(head) > replayBytes {
		x.rest = r.Body
	}
	return nil
}

// forwardTries sends the request, and again while that is allowed: always
// after not-run, and after may-have-run if it may be repeated.
func (h *Handler) forwardTries(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) {
	var last *leverdyke.Error
	for try := range maxTries {
		last = h.forwardOnce(ctx, w, r, x)
		if last == nil {
			return
		}
		isLastTry := try == maxTries-1 || x.rest != nil || ctx.Err() != nil || last.RetryAfterSeconds > 0
		if isLastTry || (last.Verdict != leverdyke.VerdictNotRun && x.isOnce) {
			break
		}
	}
	h.refuse(w, last)
}

// forwardOnce sends the request to one worker and its answer to the caller. A
// nil error means that the answer has been written.
func (h *Handler) forwardOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) *leverdyke.Error {
	slot, problem := h.options.Router.Acquire(ctx, x.service, x.class)
	if problem != nil {
		return problem
	}
	h.options.Metrics.Waited("request", x.class, h.options.Clock.Now().Sub(x.began))
	events.Log(events.RequestRouted, "service", x.service, "worker", slot.Worker, "why", "least loaded, near first", "runnerUp", slot.RunnerUp, "class", x.class)
	res, problem := h.send(ctx, r, x, slot)
	if problem != nil {
		slot.Release(true)
		return problem
	}
	defer slot.Release(false)
	defer func() { _ = res.Body.Close() }()
	h.options.Metrics.Served()
	h.copyAnswer(w, res, x)
	return nil
}

// send makes one round trip. The body has no way to be rewound, so that the
// transport never sends it twice.
func (h *Handler) send(ctx context.Context, r *http.Request, x *exchange, slot *front.Slot) (*http.Response, *leverdyke.Error) {
	var body io.Reader = bytes.NewReader(x.body)
	if x.rest != nil {
		body = io.MultiReader(body, x.rest)
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+slot.Addr.String()+x.path, io.NopCloser(body))
	if err != nil {
		return nil, &leverdyke.Error{Verdict: leverdyke.VerdictNotRun, Reason: "the request cannot be forwarded", Err: err}
	}
	out.GetBody = nil
	switch {
	case x.rest != nil:
		out.ContentLength = r.ContentLength
	case len(x.body) == 0:
		out.Body = nil
	default:
		out.ContentLength = int64(len(x.body))
	}
	copyHeader(out.Header, r.Header)
	setGrant(out.Header, slot.Grant)
	transport := h.forward
	if x.isOnce {
		transport = h.single
	}
	res, err := transport.RoundTrip(out)
	if err != nil {
		return nil, verdictOf(err)
	}
	if leverdyke.Verdict(res.Header.Get(leverdyke.VerdictHeader)) == leverdyke.VerdictNotRun {
		_ = res.Body.Close()
		return nil, leverdyke.NotRun("the worker refused the request", 0)
	}
	return res, nil
}

// verdictOf says whether a request whose round trip failed may have run: not
// if no connection came about.
func verdictOf(err error) *leverdyke.Error {
	op := &net.OpError{}
	if errors.As(err, &op) && op.Op == "dial" {
		return &leverdyke.Error{Verdict: leverdyke.VerdictNotRun, Reason: "the worker cannot be reached", Err: err}
	}
	return leverdyke.MayHaveRun("the worker's answer did not come", err)
}

// copyAnswer sends the worker's answer on. One that breaks off is broken off
// towards the caller too, so that it never looks whole.
func (h *Handler) copyAnswer(w http.ResponseWriter, res *http.Response, x *exchange) {
	copyHeader(w.Header(), res.Header)
	w.Header().Set(leverdyke.VerdictHeader, string(leverdyke.VerdictRan))
	if res.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	w.WriteHeader(res.StatusCode)
	if err := stream(w, res.Body); err != nil {
		events.Log(events.RequestInterrupted, "service", x.service, "err", err.Error())
		panic(http.ErrAbortHandler)
	}
}

const streamBytes = 16 << 10

// stream copies within bounded memory and passes on each part as it comes.
func stream(w http.ResponseWriter, body io.Reader) error {
	buf := make([]byte, streamBytes)
	flusher := http.NewResponseController(w)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
			if n < len(buf) {
				_ = flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// refuse answers with the verdict of an error.
func (h *Handler) refuse(w http.ResponseWriter, e *leverdyke.Error) {
	status := http.StatusServiceUnavailable
	if e.Verdict == leverdyke.VerdictMayHaveRun {
		status = http.StatusBadGateway
	}
	h.writeProblem(w, status, e)
}

// problem is the body of a refusal, after RFC 9457.
type problem struct {
	Title   string            `json:"title"`
	Status  int               `json:"status"`
	Detail  string            `json:"detail"`
	Verdict leverdyke.Verdict `json:"verdict"`
}

func (h *Handler) writeProblem(w http.ResponseWriter, status int, e *leverdyke.Error) {
	h.options.Metrics.Refused(e.Verdict)
	events.Log(events.RequestRefused, "verdict", e.Verdict, "status", status, "err", e.Error())
	if e.RetryAfterSeconds > 0 || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(max(e.RetryAfterSeconds, 1)))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(leverdyke.VerdictHeader, string(e.Verdict))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{http.StatusText(status), status, e.Reason, e.Verdict})
}
