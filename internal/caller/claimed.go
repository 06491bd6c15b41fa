// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package caller

import (
	"context"
	"io"
	"net/http"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/idempotency"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/router"
)

// claimedRequest is a request whose key this node has claimed. Its answer is also needed for a retry, so that it
// goes on when the caller disconnects or its time is over.
type claimedRequest struct {
	handler  *Handler
	request  *http.Request
	exchange *exchange
	slot     *router.Slot
	entry    *idempotency.Entry
	// answers receives the answer while the caller waits for it; callerLeft is closed when it does not any more.
	answers    chan claimedAnswer
	callerLeft chan struct{}
}

// claimedAnswer is what came of a claimed request: a response whose body is not read yet, or the failure of the last
// attempt.
type claimedAnswer struct {
	response *http.Response
	failure  *leverdyke.Error
}

// serveClaimed sends a request whose key this node has claimed and answers its caller, at the end of ctx at the
// latest.
func (h *Handler) serveClaimed(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange, slot *router.Slot, e *idempotency.Entry) {
	c := &claimedRequest{h, r, x, slot, e, make(chan claimedAnswer), make(chan struct{})}
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.options.MaxTimeout)
	go c.run(ctx, detached, cancel)
	select {
	case a := <-c.answers:
		defer cancel()
		if err := c.finish(w, a); err != nil {
			panic(http.ErrAbortHandler)
		}
	case <-ctx.Done():
		close(c.callerLeft)
		h.refuse(w, leverdyke.MayHaveRun("the answer did not come in time; a retry with the same key gets it", ctx.Err()))
	}
}

// run sends the request, and records the answer if the caller does not wait for it any more. ctx is that of the
// caller, detached the one that outlasts it; cancel ends the latter once the answer has been read.
func (c *claimedRequest) run(ctx, detached context.Context, cancel context.CancelFunc) {
	a := c.send(ctx, detached)
	select {
	case c.answers <- a:
	case <-c.callerLeft:
		defer cancel()
		_ = c.finish(&unread{http.Header{}}, a)
	}
}

// send retries on another worker only after an error that proves that the request did not run.
func (c *claimedRequest) send(ctx, detached context.Context) claimedAnswer {
	for attempt := 1; ; attempt++ {
		events.Log(events.RequestRouted, "service", c.exchange.service, "worker", c.slot.Worker, "why", "least loaded, near first", "runnerUp", c.slot.RunnerUp, "once", true)
		res, problem := c.handler.send(detached, c.request, c.exchange, c.slot)
		if problem == nil {
			return claimedAnswer{response: res}
		}
		c.slot.Release(true)
		if problem.Verdict != leverdyke.VerdictNotRun || c.exchange.bodyRest != nil || attempt == maxAttempts {
			return claimedAnswer{failure: problem}
		}
		if c.slot, problem = c.handler.options.Router.Acquire(ctx, c.exchange.service, c.exchange.class); problem != nil {
			return claimedAnswer{failure: problem}
		}
	}
}

// finish writes the answer and records it for retries.
func (c *claimedRequest) finish(w http.ResponseWriter, a claimedAnswer) error {
	if a.failure != nil {
		c.handler.options.Keys.Answers().Complete(c.entry, node.SavedAnswer{Verdict: a.failure.Verdict, Digest: c.entry.Digest})
		c.handler.refuse(w, a.failure)
		return nil
	}
	defer c.slot.Release(false)
	defer func() { _ = a.response.Body.Close() }()
	c.handler.options.Metrics.Served()
	return c.copyAndRecord(w, a.response)
}

// copyAndRecord copies the answer to the caller and records it for retries. The answer is read to
// its end even if the caller disconnects.
func (c *claimedRequest) copyAndRecord(w http.ResponseWriter, res *http.Response) error {
	recorder := &answerRecorder{ResponseWriter: w}
	saved := node.SavedAnswer{Verdict: leverdyke.VerdictMayHaveRun, Digest: c.entry.Digest}
	defer func() { c.handler.options.Keys.Answers().Complete(c.entry, saved) }()
	copyHeader(w.Header(), res.Header)
	w.Header().Set(leverdyke.VerdictHeader, string(leverdyke.VerdictRan))
	w.WriteHeader(res.StatusCode)
	if err := stream(recorder, res.Body); err != nil {
		events.Log(events.RequestInterrupted, "service", c.exchange.service, "err", err.Error())
		return err
	}
	saved.Verdict = leverdyke.VerdictRan
	if recorder.isTooLong {
		return nil
	}
	saved.Status = res.StatusCode
	saved.Body = recorder.body.Bytes()
	saved.Header = headerLinesOf(w.Header())
	return nil
}

// unread is a response that nobody reads.
type unread struct{ header http.Header }

// Header, WriteHeader and Write implement http.ResponseWriter.
func (u *unread) Header() http.Header { return u.header }

// WriteHeader does nothing.
func (*unread) WriteHeader(int) {}

// Write discards p.
func (*unread) Write(p []byte) (int, error) { return io.Discard.Write(p) }
