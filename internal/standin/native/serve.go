// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package native

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// The headers by which a test tells the worker's service how to behave.
const (
	// DelayHeader is how many milliseconds the service works.
	DelayHeader = "Standin-Delay-Ms"
	// CutHeader makes the service break off in the middle of its answer.
	CutHeader = "Standin-Cut"
	// WorkerHeader tells the caller which worker answered.
	WorkerHeader = "Standin-Worker"
)

func (s *Server) workerMux(w *Worker) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/sync", func(res http.ResponseWriter, r *http.Request) { s.handleSync(w, res, r) })
	m.HandleFunc("POST /v1/start", func(res http.ResponseWriter, r *http.Request) {
		in := worker.Start{}
		serveCommand(res, r, &in, func() (any, error) { return w.Start(&in) })
	})
	m.HandleFunc("POST /v1/act", func(res http.ResponseWriter, r *http.Request) {
		in := worker.Act{}
		serveCommand(res, r, &in, func() (any, error) { return struct{}{}, w.Act(&in) })
	})
	m.HandleFunc("/v1/serve/", func(res http.ResponseWriter, r *http.Request) { s.handleServe(w, res, r) })
	return http.HandlerFunc(func(res http.ResponseWriter, r *http.Request) {
		if w.Mode() != ModeUp {
			hangUp(res)
			return
		}
		m.ServeHTTP(res, r)
	})
}

func serveCommand(res http.ResponseWriter, r *http.Request, in any, f func() (any, error)) {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(in); err != nil {
		http.Error(res, err.Error(), http.StatusBadRequest)
		return
	}
	out, err := f()
	if writeFenced(res, err) {
		return
	}
	writeJSON(res, out)
}

// handleSync renews at once and answers when something changes or Wait is over.
func (s *Server) handleSync(w *Worker, res http.ResponseWriter, r *http.Request) {
	in := worker.Sync{}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&in); err != nil {
		http.Error(res, err.Error(), http.StatusBadRequest)
		return
	}
	report, err := w.Sync(&in)
	if writeFenced(res, err) {
		return
	}
	limit := s.options.Clock.After(in.Wait)
	isQuiet := in.SinceRevision != 0 && len(report.Tasks) == 0 && !report.IsFullList
	for isQuiet {
		changed, rev := w.Changed()
		if rev == in.SinceRevision && !isOver(r.Context(), limit, changed) {
			continue
		}
		// Ask again without renewing: the lease goes by when Sync arrived.
		in.Incarnation = ""
		report, err = w.Sync(&in)
		break
	}
	if w.Mode() != ModeUp {
		hangUp(res)
		return
	}
	if !writeFenced(res, err) {
		writeJSON(res, report)
	}
}

// handleServe answers a caller's request as the service's own code would: it
// returns the body that came, after the delay that was asked for.
func (s *Server) handleServe(w *Worker, res http.ResponseWriter, r *http.Request) {
	job, attempt, ok := strings.Cut(r.Header.Get(worker.GrantHeader), "/")
	n, err := strconv.ParseUint(attempt, 10, 64)
	key := worker.Key{Task: leverdyke.TaskID{Job: job}, Attempt: n}
	if !ok || err != nil {
		http.Error(res, "no grant", http.StatusBadRequest)
		return
	}
	finish, refused := w.Begin(key, r.Header.Get("Idempotency-Key"))
	if refused != "" {
		res.Header().Set(leverdyke.VerdictHeader, string(leverdyke.VerdictNotRun))
		http.Error(res, refused, http.StatusServiceUnavailable)
		return
	}
	defer finish()
	if ms, err := strconv.Atoi(r.Header.Get(DelayHeader)); err == nil {
		<-s.options.Clock.After(time.Duration(ms) * time.Millisecond)
	}
	// The body is read to its end below, even if the answer has begun.
	_ = http.NewResponseController(res).EnableFullDuplex()
	res.Header().Set(WorkerHeader, w.Name)
	if r.Header.Get(CutHeader) != "" {
		res.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(res, "cut short")
		_ = http.NewResponseController(res).Flush()
		hangUp(res)
		return
	}
	_, _ = fmt.Fprintf(res, "%s %s\n", r.Method, strings.TrimPrefix(r.URL.Path, "/v1/serve"))
	_, _ = io.Copy(res, r.Body)
}
