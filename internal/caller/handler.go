// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package caller serves the HTTP requests of callers: it forwards each to a worker, and each
// response carries a verdict that says whether the request ran.
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
	"github.com/leverdyke/leverdyke/internal/metrics"
	"github.com/leverdyke/leverdyke/internal/router"
)

// The request headers that callers set.
const (
	// ClassHeader carries the class of a request. The default is normal.
	ClassHeader = "Leverdyke-Class"
	// TimeoutHeader carries how long the caller waits for the answer, such as 1500ms.
	TimeoutHeader = "Leverdyke-Timeout"
	// KeyHeader carries the idempotency key of a non-repeatable request: a UUID of version 7.
	KeyHeader = "Idempotency-Key"
)

const (
	pathPrefix = "/s/"
	// maxReplayBytes is how much of a request body is buffered, so that the request can be sent
	// again.
	maxReplayBytes = 64 << 10
	maxHeaderBytes = 32 << 10
	maxAttempts    = 3
	defaultTimeout = 30 * time.Second
)

// Router assigns requests to workers' slots.
type Router interface {
	Info(service string) (router.Info, bool)
	Acquire(ctx context.Context, service string, class leverdyke.Class) (*router.Slot, *leverdyke.Error)
}

// NewHandlerOptions configures a handler. Router, Keys, Metrics and IsReady must be set.
type NewHandlerOptions struct {
	Router  Router
	Keys    Keys
	Metrics *metrics.Set
	// IsReady reports whether the load balancer should send requests to this node.
	IsReady func() bool
	// MaxRequests bounds the number of requests in progress; 0 means 1024.
	MaxRequests int
	// MaxTimeout bounds the duration of a request; 0 means 60 s.
	MaxTimeout time.Duration
	Clock      clock.Service
}

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	options NewHandlerOptions
	mux     *http.ServeMux
	// pooledTransport reuses connections. singleUseTransport never does: when a reused connection
	// closes, the standard library may send a request again by itself (decision 0004).
	pooledTransport, singleUseTransport http.RoundTripper
	inProgress                          chan struct{}
}

// NewHandler returns a handler for the port that callers use.
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
		options:            options,
		pooledTransport:    &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, DisableCompression: true, WriteBufferSize: 2048, ReadBufferSize: 2048},
		singleUseTransport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, WriteBufferSize: 2048, ReadBufferSize: 2048},
		inProgress:         make(chan struct{}, options.MaxRequests),
	}
	h.mux = http.NewServeMux()
	h.mux.HandleFunc(pathPrefix, h.serve)
	h.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	h.mux.HandleFunc("GET /readyz", h.serveReady)
	return h
}

// NewServer returns an HTTP server with the time and size limits for callers' requests.
func NewServer(h *Handler) *http.Server {
	return &http.Server{
		Handler: h.mux, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: maxHeaderBytes,
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// InProgress returns the number of requests in progress.
func (h *Handler) InProgress() int { return len(h.inProgress) }

func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.options.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// exchange is one caller's request while it is processed.
type exchange struct {
	service string
	path    string
	class   leverdyke.Class
	// isNonRepeatable means that the request must not run more than once.
	isNonRepeatable bool
	// bodyHead holds the first bytes of the body. bodyRest is the remainder, which can be sent only
	// once; it is nil when bodyHead is the whole body.
	bodyHead   []byte
	bodyRest   io.Reader
	receivedAt time.Time
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
	x.isNonRepeatable = info.IsOnce && !isSafe(r.Method)
	if err := x.readBody(r); err != nil {
		h.writeProblem(w, http.StatusBadRequest, leverdyke.NotRun("the body broke off: "+err.Error(), 0))
		return
	}
	if x.bodyRest != nil {
		// The worker may answer while the caller is still sending. Without full duplex, the server
		// would stop reading the body at the first byte of the answer. The connection is closed
		// after the answer, since it is unknown how much of the body the worker has left unread.
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Connection", "close")
	}
	if x.isNonRepeatable {
		h.serveNonRepeatable(ctx, w, r, x)
		return
	}
	h.forwardWithRetries(ctx, w, r, x)
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func (h *Handler) parse(r *http.Request) (*exchange, *leverdyke.Error) {
	service, workerPath, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), pathPrefix), "/")
	x := &exchange{service: service, path: "/v1/serve/" + workerPath, class: leverdyke.ClassNormal, receivedAt: h.options.Clock.Now()}
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

// readBody buffers the first bytes of the body, so that a request with a short body can be sent
// again.
func (x *exchange) readBody(r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, maxReplayBytes+1))
	if err != nil {
		return err
	}
	x.bodyHead = head
	if len(head) > maxReplayBytes {
		x.bodyRest = r.Body
	}
	return nil
}

// forwardWithRetries forwards the request, and retries while that is allowed: after the verdict
// not-run in any case, and after may-have-run if the request is repeatable.
func (h *Handler) forwardWithRetries(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) {
	var lastError, mayHaveRun *leverdyke.Error
	for attempt := range maxAttempts {
		lastError = h.forwardAttempt(ctx, w, r, x)
		if lastError == nil {
			return
		}
		if mayHaveRun == nil && lastError.Verdict != leverdyke.VerdictNotRun {
			mayHaveRun = lastError
		}
		isLastAttempt := attempt == maxAttempts-1 || x.bodyRest != nil || ctx.Err() != nil || lastError.RetryAfterSeconds > 0
		if isLastAttempt || (lastError.Verdict != leverdyke.VerdictNotRun && x.isNonRepeatable) {
			break
		}
	}
	if mayHaveRun != nil && lastError.Verdict == leverdyke.VerdictNotRun {
		// An earlier attempt may have run.
		lastError = mayHaveRun
	}
	h.refuse(w, lastError)
}

// forwardAttempt forwards the request to one worker and the answer to the caller. A nil error means
// that the answer has been written.
func (h *Handler) forwardAttempt(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) *leverdyke.Error {
	slot, problem := h.options.Router.Acquire(ctx, x.service, x.class)
	if problem != nil {
		return problem
	}
	h.options.Metrics.Waited("request", x.class, h.options.Clock.Now().Sub(x.receivedAt))
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

// send makes one round trip. The request has no GetBody, so the transport cannot rewind the body
// and send it again by itself.
func (h *Handler) send(ctx context.Context, r *http.Request, x *exchange, slot *router.Slot) (*http.Response, *leverdyke.Error) {
	var body io.Reader = bytes.NewReader(x.bodyHead)
	if x.bodyRest != nil {
		body = io.MultiReader(body, x.bodyRest)
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+slot.Addr.String()+x.path, io.NopCloser(body))
	if err != nil {
		return nil, &leverdyke.Error{Verdict: leverdyke.VerdictNotRun, Reason: "the request cannot be forwarded", Err: err}
	}
	out.GetBody = nil
	switch {
	case x.bodyRest != nil:
		out.ContentLength = r.ContentLength
	case len(x.bodyHead) == 0:
		out.Body = nil
	default:
		out.ContentLength = int64(len(x.bodyHead))
	}
	copyHeader(out.Header, r.Header)
	setGrant(out.Header, slot.Grant)
	transport := h.pooledTransport
	if x.isNonRepeatable {
		transport = h.singleUseTransport
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

// verdictOf returns the error for a round trip that failed, with a verdict on whether the request
// may have run. It has not run if no connection was established.
func verdictOf(err error) *leverdyke.Error {
	opError := &net.OpError{}
	if errors.As(err, &opError) && opError.Op == "dial" {
		return &leverdyke.Error{Verdict: leverdyke.VerdictNotRun, Reason: "the worker cannot be reached", Err: err}
	}
	return leverdyke.MayHaveRun("the worker's answer did not come", err)
}

// copyAnswer copies the worker's answer to the caller. If the worker's answer is truncated, the
// caller's connection is aborted, so that the caller never takes the answer for complete.
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

const streamBufferBytes = 16 << 10

// stream copies body to w through a buffer of fixed size. It flushes after each read that does not
// fill the buffer, so that each part reaches the caller as soon as it arrives.
func stream(w http.ResponseWriter, body io.Reader) error {
	buf := make([]byte, streamBufferBytes)
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

// refuse answers with a problem body for an error, with the status that matches its verdict.
func (h *Handler) refuse(w http.ResponseWriter, e *leverdyke.Error) {
	status := http.StatusServiceUnavailable
	if e.Verdict == leverdyke.VerdictMayHaveRun {
		status = http.StatusBadGateway
	}
	h.writeProblem(w, status, e)
}

// problem is the body of an error response, following RFC 9457.
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
