// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/document"
	"github.com/leverdyke/leverdyke/internal/policy"
	"github.com/leverdyke/leverdyke/internal/state"
)

const (
	maxBody     = 4 << 20
	peerTimeout = 2 * time.Second
	waitTimeout = 10 * time.Second
)

// Cell is what the interface needs of a node. Its methods are safe for
// concurrent use; their errors carry a verdict.
type Cell interface {
	Submit(ctx context.Context, r *SubmitRequest) (*SubmitReply, error)
	Cancel(ctx context.Context, ids []string) (int, error)
	Publish(ctx context.Context, doc string, r *PublishRequest) (*Doc, error)
	Docs() []Doc
	Doc(name string) *Doc
	Jobs() []Job
	// Job returns a job and the operators' address of its home's owner.
	Job(id string) (*Job, string)
	Status() Status
	Workers() []Worker
	// Retire records that a silent node's process has ended.
	Retire(ctx context.Context, node string) error
	// Peers lists the operators' addresses of all members, this one's included.
	Peers() []string
	// Self is this node's own operators' address.
	Self() string
}

// Server offers a cell to operators.
type Server struct {
	cell Cell
	mux  *http.ServeMux
}

// NewServer returns the handler for the operators' port.
func NewServer(cell Cell, metrics http.Handler) *Server {
	s := &Server{cell: cell, mux: http.NewServeMux()}
	s.mux.Handle("GET /metrics", metrics)
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("POST /v1/jobs", s.submit)
	s.mux.HandleFunc("GET /v1/jobs", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.cell.Jobs()) })
	s.mux.HandleFunc("GET /v1/jobs/{id}", s.job)
	s.mux.HandleFunc("POST /v1/cancel", s.cancel)
	s.mux.HandleFunc("PUT /v1/docs/{kind}/{name}", s.publish)
	s.mux.HandleFunc("GET /v1/docs", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.cell.Docs()) })
	s.mux.HandleFunc("GET /v1/docs/{kind}/{name}", s.doc)
	s.mux.HandleFunc("GET /v1/nodes", s.nodes)
	s.mux.HandleFunc("POST /v1/retire", s.retire)
	s.mux.HandleFunc("GET /v1/workers", s.workers)
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.cell.Status().IsReady {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	in := &SubmitRequest{}
	if !read(w, r, in) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), waitTimeout)
	defer cancel()
	out, err := s.cell.Submit(ctx, in)
	answer(w, out, err)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	in := &CancelRequest{}
	if !read(w, r, in) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), waitTimeout)
	defer cancel()
	n, err := s.cell.Cancel(ctx, in.IDs)
	answer(w, CancelReply{n}, err)
}

func (s *Server) retire(w http.ResponseWriter, r *http.Request) {
	in := &RetireRequest{}
	if !read(w, r, in) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), waitTimeout)
	defer cancel()
	answer(w, in, s.cell.Retire(ctx, in.Node))
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	in := &PublishRequest{}
	if !read(w, r, in) {
		return
	}
	name := r.PathValue("kind") + "/" + r.PathValue("name")
	if in.File == "" {
		in.File = name
	}
	if err := policy.Check(name, in.File, []byte(in.Body)); err != nil {
		answer(w, nil, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), waitTimeout)
	defer cancel()
	out, err := s.cell.Publish(ctx, name, in)
	answer(w, out, err)
}

func (s *Server) doc(w http.ResponseWriter, r *http.Request) {
	d := s.cell.Doc(r.PathValue("kind") + "/" + r.PathValue("name"))
	if d == nil {
		fail(w, http.StatusNotFound, &Problem{Title: "no such document", Verdict: leverdyke.VerdictNotRun})
		return
	}
	reply(w, d)
}

// job returns a job; what its home knows is asked of the home's owner.
func (s *Server) job(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	j, owner := s.cell.Job(id)
	if j == nil {
		fail(w, http.StatusNotFound, &Problem{Title: "no such job", Detail: id, Verdict: leverdyke.VerdictNotRun})
		return
	}
	if j.Live == nil && !j.IsEnded && owner != "" && owner != s.cell.Self() && !isLocal(r) {
		remote := &Job{}
		if getLocal(r.Context(), owner, "/v1/jobs/"+id, remote) == nil {
			j.Live = remote.Live
		}
	}
	reply(w, j)
}

func (s *Server) nodes(w http.ResponseWriter, r *http.Request) {
	if isLocal(r) {
		reply(w, []Status{s.cell.Status()})
		return
	}
	reply(w, gather(r.Context(), s, "/v1/nodes", []Status{s.cell.Status()}, func(peer string, err error) []Status {
		return []Status{{Operators: peer, Problem: err.Error()}}
	}))
}

func (s *Server) workers(w http.ResponseWriter, r *http.Request) {
	if isLocal(r) {
		reply(w, s.cell.Workers())
		return
	}
	reply(w, gather(r.Context(), s, "/v1/workers", s.cell.Workers(), func(string, error) []Worker { return nil }))
}

func isLocal(r *http.Request) bool { return r.URL.Query().Get("local") != "" }

// gather asks all members for their part of a list, all at once.
func gather[T any](ctx context.Context, s *Server, path string, own []T, failed func(peer string, err error) []T) []T {
	peers := s.cell.Peers()
	parts := make([][]T, len(peers))
	wg := sync.WaitGroup{}
	for i, peer := range peers {
		if peer == s.cell.Self() {
			parts[i] = own
			continue
		}
		wg.Go(func() {
			if err := getLocal(ctx, peer, path, &parts[i]); err != nil {
				parts[i] = failed(peer, err)
			}
		})
	}
	wg.Wait()
	all := []T{}
	for _, p := range parts {
		all = append(all, p...)
	}
	if len(peers) == 0 {
		return own
	}
	return all
}

func getLocal(ctx context.Context, peer, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+path+"?local=1", nil)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("operator: status %d", res.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(res.Body, maxBody)).Decode(out)
}

func read(w http.ResponseWriter, r *http.Request, in any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(in); err != nil {
		fail(w, http.StatusBadRequest, &Problem{Title: "unreadable request", Detail: err.Error(), Verdict: leverdyke.VerdictNotRun, IsInvalid: true})
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func fail(w http.ResponseWriter, status int, p *Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(leverdyke.VerdictHeader, string(p.Verdict))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

// answer writes what a change came to.
func answer(w http.ResponseWriter, out any, err error) {
	if err == nil {
		reply(w, out)
		return
	}
	field := &document.FieldError{}
	verdict := &leverdyke.Error{}
	switch {
	case errors.As(err, &field):
		fail(w, http.StatusUnprocessableEntity, &Problem{Title: "the file is at fault", Detail: err.Error(), Verdict: leverdyke.VerdictNotRun, IsInvalid: true})
	case errors.Is(err, state.ErrConflict):
		fail(w, http.StatusConflict, &Problem{Title: "conflict", Detail: err.Error(), Verdict: leverdyke.VerdictNotRun, IsConflict: true})
	case errors.As(err, &verdict):
		status := http.StatusServiceUnavailable
		if verdict.Verdict != leverdyke.VerdictNotRun {
			status = http.StatusGatewayTimeout
		}
		if verdict.RetryAfterSeconds > 0 {
			w.Header().Set("Retry-After", fmt.Sprint(verdict.RetryAfterSeconds))
		}
		fail(w, status, &Problem{Title: verdict.Reason, Detail: err.Error(), Verdict: verdict.Verdict})
	default:
		fail(w, http.StatusInternalServerError, &Problem{Title: "failed", Detail: err.Error(), Verdict: leverdyke.VerdictMayHaveRun})
	}
}
