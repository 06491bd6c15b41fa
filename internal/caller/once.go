// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package caller

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/front"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/once"
	"github.com/leverdyke/leverdyke/internal/state"
)

// maxKeyAhead is by how much a caller's clock may be ahead of this node's.
const maxKeyAhead = time.Minute

// Keys settles who may run a key, and finds the first answer.
type Keys interface {
	ClaimKey(ctx context.Context, key once.Key) (once.Fate, state.NodeID)
	FetchAnswer(ctx context.Context, from state.NodeID, key once.Key) (node.SavedAnswer, bool)
	Answers() *once.Table
}

// parseKey reads an idempotency key. A key says when it was made, so that one
// that is older than what is remembered is known to be so.
func parseKey(text string, now time.Time) (once.Key, *leverdyke.Error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return once.Key{}, leverdyke.NotRun(KeyHeader+": this service's requests may not be repeated; a UUID of version 7 is needed", 0)
	}
	seconds, nanos := id.Time().UnixTime()
	made := time.Unix(seconds, nanos)
	if made.Sub(now) > maxKeyAhead {
		return once.Key{}, leverdyke.NotRun(KeyHeader+": the key's time is in the future", 0)
	}
	if now.Sub(made) > state.OnceWindowMillis*time.Millisecond {
		return once.Key{}, leverdyke.MayHaveRun("the key is older than what is remembered: nobody can say whether it ran", nil)
	}
	return once.Key(id), nil
}

// serveOnce runs a request that may not be repeated at most once, and gives
// its answer to every retry with the same key.
func (h *Handler) serveOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) {
	key, problem := parseKey(r.Header.Get(KeyHeader), h.options.Clock.Now())
	if problem != nil {
		status := http.StatusBadRequest
		if problem.Verdict != leverdyke.VerdictNotRun {
			status = http.StatusConflict
		}
		h.writeProblem(w, status, problem)
		return
	}
	digest := digestOf(r, x)
	e, isNew := h.options.Keys.Answers().Begin(key, digest)
	if !isNew {
		h.replayLocal(ctx, w, e, digest)
		return
	}
	h.runOnce(ctx, w, r, x, key, e)
}

func digestOf(r *http.Request, x *exchange) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Method, "\n", x.service, x.path, "\n"} {
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(x.body)
	return d.Sum64()
}

// replayLocal waits for the answer of the request that was first here.
func (h *Handler) replayLocal(ctx context.Context, w http.ResponseWriter, e *once.Entry, digest uint64) {
	a, ok := e.Wait(ctx)
	if !ok {
		h.refuse(w, leverdyke.MayHaveRun("the first request with this key is still in progress", nil))
		return
	}
	h.replay(w, a, digest)
}

// replay writes the first answer. A verdict of not-run is the first one's, and
// as true of the retry, since nothing of the key will run.
func (h *Handler) replay(w http.ResponseWriter, a node.SavedAnswer, digest uint64) {
	switch {
	case a.Verdict == leverdyke.VerdictNotRun:
		h.refuse(w, leverdyke.NotRun("nothing was run under this key: use a new key to try again", 1))
	case a.Verdict != leverdyke.VerdictRan:
		h.refuse(w, leverdyke.MayHaveRun("the first request with this key may have run", nil))
	case a.Digest != digest:
		h.writeProblem(w, http.StatusUnprocessableEntity, leverdyke.NotRun("the key was used for another request", 0))
	case a.Status == 0:
		h.writeProblem(w, http.StatusConflict, &leverdyke.Error{
			Verdict: leverdyke.VerdictRan, Reason: "the first request with this key ran; its answer was too long to keep",
		})
	default:
		for _, l := range a.Header {
			w.Header().Add(l.Name, l.Value)
		}
		w.Header().Set(leverdyke.VerdictHeader, string(leverdyke.VerdictRan))
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body)
	}
}

// runOnce gets the slot first, then the key, and only then sends: a request
// that finds no slot leaves no trace, and its key can be used again.
func (h *Handler) runOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange, key once.Key, e *once.Entry) {
	table := h.options.Keys.Answers()
	slot, problem := h.options.Router.Acquire(ctx, x.service, x.class)
	if problem != nil {
		table.Abandon(e, node.SavedAnswer{Verdict: leverdyke.VerdictNotRun})
		h.refuse(w, problem)
		return
	}
	fate, owner := h.options.Keys.ClaimKey(ctx, key)
	switch fate {
	case once.FateWon:
	case once.FateLost:
		slot.Release(false)
		h.replayFrom(ctx, w, owner, key, e)
		return
	case once.FateOpen:
		slot.Release(false)
		// The key may yet get into the log as this process's; it is not sent.
		table.End(e, node.SavedAnswer{Verdict: leverdyke.VerdictNotRun, Digest: e.Digest})
		h.refuse(w, leverdyke.NotRun("the log did not take the key in time: use a new key to try again", 1))
		return
	default:
		slot.Release(false)
		table.Abandon(e, node.SavedAnswer{Verdict: leverdyke.VerdictNotRun})
		h.refuse(w, leverdyke.NotRun("the log is out, or too many keys are remembered: requests that may not be repeated have to wait", 5))
		return
	}
	h.options.Metrics.Waited("once", x.class, h.options.Clock.Now().Sub(x.began))
	h.sendWon(ctx, w, r, x, slot, e)
}

// sendWon sends a request whose key this node has won. It goes to another
// worker only after a refusal that proves that nothing ran.
func (h *Handler) sendWon(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange, slot *front.Slot, e *once.Entry) {
	// The answer is for the caller's retry too: it is fetched to its end even if
	// the caller goes away.
	stay, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.options.MaxTimeout)
	defer cancel()
	var last *leverdyke.Error
	for try := range maxTries {
		events.Log(events.RequestRouted, "service", x.service, "worker", slot.Worker, "why", "least loaded, near first", "runnerUp", slot.RunnerUp, "once", true)
		res, problem := h.send(stay, r, x, slot)
		if problem == nil {
			defer slot.Release(false)
			defer func() { _ = res.Body.Close() }()
			h.options.Metrics.Served()
			h.copyAndKeep(w, res, x, e)
			return
		}
		slot.Release(true)
		last = problem
		if problem.Verdict != leverdyke.VerdictNotRun || x.rest != nil || try == maxTries-1 {
			break
		}
		if slot, problem = h.options.Router.Acquire(ctx, x.service, x.class); problem != nil {
			last = problem
			break
		}
	}
	h.options.Keys.Answers().End(e, node.SavedAnswer{Verdict: last.Verdict, Digest: e.Digest})
	h.refuse(w, last)
}

// replayFrom gets the answer from the node that was first.
func (h *Handler) replayFrom(ctx context.Context, w http.ResponseWriter, owner state.NodeID, key once.Key, e *once.Entry) {
	events.Log(events.RequestRunElsewhere, "node", owner)
	a, ok := h.options.Keys.FetchAnswer(ctx, owner, key)
	if !ok {
		a = node.SavedAnswer{Verdict: leverdyke.VerdictMayHaveRun}
	}
	h.options.Keys.Answers().Abandon(e, a)
	h.replay(w, a, e.Digest)
}

// copyAndKeep sends the answer on and keeps it for a retry. Whatever becomes
// of the caller's connection, the answer is read to its end.
func (h *Handler) copyAndKeep(w http.ResponseWriter, res *http.Response, x *exchange, e *once.Entry) {
	kept := &keeper{ResponseWriter: w}
	saved := node.SavedAnswer{Verdict: leverdyke.VerdictMayHaveRun, Digest: e.Digest}
	defer func() { h.options.Keys.Answers().End(e, saved) }()
	copyHeader(w.Header(), res.Header)
	w.Header().Set(leverdyke.VerdictHeader, string(leverdyke.VerdictRan))
	w.WriteHeader(res.StatusCode)
	if err := stream(kept, res.Body); err != nil {
		events.Log(events.RequestInterrupted, "service", x.service, "err", err.Error())
		panic(http.ErrAbortHandler)
	}
	saved.Verdict = leverdyke.VerdictRan
	if kept.isTooLong {
		return
	}
	saved.Status = res.StatusCode
	saved.Body = kept.body.Bytes()
	saved.Header = linesOf(w.Header())
}

func linesOf(header http.Header) []node.HeaderLine {
	lines := []node.HeaderLine{}
	for name, values := range header {
		if name == "Date" {
			continue
		}
		for _, v := range values {
			lines = append(lines, node.HeaderLine{Name: name, Value: v})
		}
	}
	slices.SortFunc(lines, func(a, b node.HeaderLine) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return lines
}

// keeper keeps what is written, up to a bound. A caller that is gone does not
// end the reading: the answer is for its retry.
type keeper struct {
	http.ResponseWriter
	body      bytes.Buffer
	isTooLong bool
	isGone    bool
}

// Write passes p on and keeps it.
func (k *keeper) Write(p []byte) (int, error) {
	if k.body.Len()+len(p) > once.MaxAnswerBytes {
		k.isTooLong = true
		k.body.Reset()
	}
	if !k.isTooLong {
		k.body.Write(p)
	}
	if !k.isGone {
		if _, err := k.ResponseWriter.Write(p); err != nil {
			k.isGone = true
		}
	}
	return len(p), nil
}

// Unwrap lets the response controller flush.
func (k *keeper) Unwrap() http.ResponseWriter { return k.ResponseWriter }
