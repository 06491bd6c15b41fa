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
	"github.com/leverdyke/leverdyke/internal/idempotency"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
)

// maxKeyClockSkew is how far a caller's clock may be ahead of this node's clock.
const maxKeyClockSkew = time.Minute

// Keys decides which node may run the request of an idempotency key, and finds the first answer to
// it.
type Keys interface {
	ClaimKey(ctx context.Context, key idempotency.Key) (idempotency.ClaimOutcome, state.NodeID)
	FetchAnswer(ctx context.Context, from state.NodeID, key idempotency.Key) (node.SavedAnswer, bool)
	Answers() *idempotency.Table
}

// parseKey parses an idempotency key. A key of version 7 contains its creation time, so that a key
// that is older than the keys that are remembered can be recognized.
func parseKey(text string, now time.Time) (idempotency.Key, *leverdyke.Error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return idempotency.Key{}, leverdyke.NotRun(KeyHeader+": this service's requests may not be repeated; a UUID of version 7 is needed", 0)
	}
	seconds, nanos := id.Time().UnixTime()
	createdAt := time.Unix(seconds, nanos)
	if createdAt.Sub(now) > maxKeyClockSkew {
		return idempotency.Key{}, leverdyke.NotRun(KeyHeader+": the key's time is in the future", 0)
	}
	if now.Sub(createdAt) > state.KeyWindowMillis*time.Millisecond {
		return idempotency.Key{}, leverdyke.MayHaveRun("the key is older than what is remembered: nobody can say whether it ran", nil)
	}
	return idempotency.Key(id), nil
}

// serveNonRepeatable runs a request at most once, and returns its answer to each retry with the
// same key.
func (h *Handler) serveNonRepeatable(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) {
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
	h.claimAndSend(ctx, w, r, x, key, e)
}

func digestOf(r *http.Request, x *exchange) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Method, "\n", x.service, x.path, "\n"} {
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(x.bodyHead)
	return d.Sum64()
}

// replayLocal waits for the answer to the first request with this key on this node, and replays it.
func (h *Handler) replayLocal(ctx context.Context, w http.ResponseWriter, e *idempotency.Entry, digest uint64) {
	a, ok := e.Wait(ctx)
	if !ok {
		h.refuse(w, leverdyke.MayHaveRun("the first request with this key is still in progress", nil))
		return
	}
	h.replay(w, a, digest)
}

// replay writes the first answer. If the first verdict is not-run, it also holds for the retry,
// because no request with this key will run.
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

// claimAndSend acquires a slot, then claims the key, and only then sends the request. A request
// that gets no slot does not use up its key, so the caller can retry with the same key.
func (h *Handler) claimAndSend(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange, key idempotency.Key, e *idempotency.Entry) {
	table := h.options.Keys.Answers()
	slot, problem := h.options.Router.Acquire(ctx, x.service, x.class)
	if problem != nil {
		table.Abandon(e, node.SavedAnswer{Verdict: leverdyke.VerdictNotRun})
		h.refuse(w, problem)
		return
	}
	fate, keyOwner := h.options.Keys.ClaimKey(ctx, key)
	switch fate {
	case idempotency.ClaimWon:
	case idempotency.ClaimLost:
		slot.Release(false)
		h.replayRemote(ctx, w, keyOwner, key, e)
		return
	case idempotency.ClaimUnknown:
		slot.Release(false)
		// It is uncertain whether the log has recorded the key for this process. The request is not
		// sent.
		table.Complete(e, node.SavedAnswer{Verdict: leverdyke.VerdictNotRun, Digest: e.Digest})
		h.refuse(w, leverdyke.NotRun("the log did not take the key in time: use a new key to try again", 1))
		return
	default:
		slot.Release(false)
		table.Abandon(e, node.SavedAnswer{Verdict: leverdyke.VerdictNotRun})
		h.refuse(w, leverdyke.NotRun("the log is out, or too many keys are remembered: requests that may not be repeated have to wait", 5))
		return
	}
	h.options.Metrics.Waited("once", x.class, h.options.Clock.Now().Sub(x.receivedAt))
	h.serveClaimed(ctx, w, r, x, slot, e)
}

// replayRemote fetches the answer from the node that claimed the key first, and replays it.
func (h *Handler) replayRemote(ctx context.Context, w http.ResponseWriter, keyOwner state.NodeID, key idempotency.Key, e *idempotency.Entry) {
	events.Log(events.RequestRunElsewhere, "node", keyOwner)
	a, ok := h.options.Keys.FetchAnswer(ctx, keyOwner, key)
	if !ok {
		a = node.SavedAnswer{Verdict: leverdyke.VerdictMayHaveRun}
	}
	h.options.Keys.Answers().Abandon(e, a)
	h.replay(w, a, e.Digest)
}

func headerLinesOf(header http.Header) []node.HeaderLine {
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

// answerRecorder passes on what is written and records it, up to once.MaxAnswerBytes. It ignores
// write errors to a caller that has disconnected, so that the answer is still recorded for a retry.
type answerRecorder struct {
	http.ResponseWriter
	body                 bytes.Buffer
	isTooLong            bool
	isCallerDisconnected bool
}

// Write passes p on and records it.
func (k *answerRecorder) Write(p []byte) (int, error) {
	if k.body.Len()+len(p) > idempotency.MaxAnswerBytes {
		k.isTooLong = true
		k.body.Reset()
	}
	if !k.isTooLong {
		k.body.Write(p)
	}
	if !k.isCallerDisconnected {
		if _, err := k.ResponseWriter.Write(p); err != nil {
			k.isCallerDisconnected = true
		}
	}
	return len(p), nil
}

// Unwrap gives the response controller access to the writer, so that it can flush.
func (k *answerRecorder) Unwrap() http.ResponseWriter { return k.ResponseWriter }
