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

// The headers by which a test controls the service on a worker, and learns which worker answered.
const (
	// DelayHeader is how many milliseconds the service waits before it answers.
	DelayHeader = "Standin-Delay-Ms"
	// TruncateHeader makes the service close the connection in the middle of its answer.
	TruncateHeader = "Standin-Cut"
	// WorkerHeader is the response header with the name of the worker that answered.
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
			closeConnection(res)
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

// handleSync renews the leases at once. It is a long poll if the sender has already seen a report and nothing has
// changed since: then it answers at the next change or after the sender's Wait.
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
		if rev == in.SinceRevision && !waitEnded(r.Context(), limit, changed) {
			continue
		}
		// An empty Boot makes the second call renew nothing: only the arrival of the request renews the leases.
		in.Incarnation = ""
		report, err = w.Sync(&in)
		break
	}
	if w.Mode() != ModeUp {
		closeConnection(res)
		return
	}
	if !writeFenced(res, err) {
		writeJSON(res, report)
	}
}

// handleServe answers a caller's request as the service's own code would: after the requested delay it returns
// the method, the path and the body of the request.
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
	// The request body is read to its end below, after the answer has begun.
	_ = http.NewResponseController(res).EnableFullDuplex()
	res.Header().Set(WorkerHeader, w.Name)
	if r.Header.Get(TruncateHeader) != "" {
		res.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(res, "cut short")
		_ = http.NewResponseController(res).Flush()
		closeConnection(res)
		return
	}
	_, _ = fmt.Fprintf(res, "%s %s\n", r.Method, strings.TrimPrefix(r.URL.Path, "/v1/serve"))
	_, _ = io.Copy(res, r.Body)
}
