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
	// maxBodyBytes bounds the bodies of requests and of other nodes' responses.
	maxBodyBytes = 4 << 20
	// peerTimeout bounds a request to another node.
	peerTimeout = 2 * time.Second
	// changeTimeout bounds a request for a change, which waits until the log has the change.
	changeTimeout = 10 * time.Second
)

// Cluster is what the API needs from the node that it runs on. Its methods are safe for
// concurrent use. Their errors carry a verdict, which says whether the change was made.
type Cluster interface {
	Submit(ctx context.Context, r *SubmitRequest) (*SubmitReply, error)
	Cancel(ctx context.Context, ids []string) (int, error)
	Publish(ctx context.Context, doc string, r *PublishRequest) (*Doc, error)
	Docs() []Doc
	Doc(name string) *Doc
	Jobs() []Job
	// Job returns a job, or nil if there is none, and the operators' address of the owner of
	// its job shard, or "" if the owner is not known.
	Job(id string) (*Job, string)
	Status() Status
	Workers() []Worker
	// Retire records that the process of a node that does not answer has ended.
	Retire(ctx context.Context, node string) error
	// MemberAddresses lists the operators' addresses of all members, this node included.
	MemberAddresses() []string
	// OwnAddress returns the operators' address of this node.
	OwnAddress() string
}

// Server is the HTTP API for operators.
type Server struct {
	cluster Cluster
	mux     *http.ServeMux
}

// NewServer returns the handler for the operators' port.
func NewServer(cluster Cluster, metrics http.Handler) *Server {
	s := &Server{cluster: cluster, mux: http.NewServeMux()}
	s.mux.Handle("GET /metrics", metrics)
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("POST /v1/jobs", s.submit)
	s.mux.HandleFunc("GET /v1/jobs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.cluster.Jobs()) })
	s.mux.HandleFunc("GET /v1/jobs/{id}", s.job)
	s.mux.HandleFunc("POST /v1/cancel", s.cancel)
	s.mux.HandleFunc("PUT /v1/docs/{kind}/{name}", s.publish)
	s.mux.HandleFunc("GET /v1/docs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.cluster.Docs()) })
	s.mux.HandleFunc("GET /v1/docs/{kind}/{name}", s.doc)
	s.mux.HandleFunc("GET /v1/nodes", s.nodes)
	s.mux.HandleFunc("POST /v1/retire", s.retire)
	s.mux.HandleFunc("GET /v1/workers", s.workers)
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.cluster.Status().IsReady {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	request := &SubmitRequest{}
	if !decodeRequest(w, r, request) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	result, err := s.cluster.Submit(ctx, request)
	writeResult(w, result, err)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	request := &CancelRequest{}
	if !decodeRequest(w, r, request) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	n, err := s.cluster.Cancel(ctx, request.IDs)
	writeResult(w, CancelReply{n}, err)
}

func (s *Server) retire(w http.ResponseWriter, r *http.Request) {
	request := &RetireRequest{}
	if !decodeRequest(w, r, request) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	writeResult(w, request, s.cluster.Retire(ctx, request.Node))
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	request := &PublishRequest{}
	if !decodeRequest(w, r, request) {
		return
	}
	name := r.PathValue("kind") + "/" + r.PathValue("name")
	if request.File == "" {
		request.File = name
	}
	if err := policy.Check(name, request.File, []byte(request.Body)); err != nil {
		writeResult(w, nil, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	result, err := s.cluster.Publish(ctx, name, request)
	writeResult(w, result, err)
}

func (s *Server) doc(w http.ResponseWriter, r *http.Request) {
	doc := s.cluster.Doc(r.PathValue("kind") + "/" + r.PathValue("name"))
	if doc == nil {
		writeProblem(w, http.StatusNotFound, &Problem{Title: "no such document", Verdict: leverdyke.VerdictNotRun})
		return
	}
	writeJSON(w, doc)
}

// job returns a job. If this node does not own the job's shard, it fetches the state of the
// tasks from the owner; if that fails, it returns the job without them.
func (s *Server) job(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	job, owner := s.cluster.Job(id)
	if job == nil {
		writeProblem(w, http.StatusNotFound, &Problem{Title: "no such job", Detail: id, Verdict: leverdyke.VerdictNotRun})
		return
	}
	if job.Live == nil && !job.IsEnded && owner != "" && owner != s.cluster.OwnAddress() && !isLocalOnly(r) {
		remote := &Job{}
		if fetchLocal(r.Context(), owner, "/v1/jobs/"+id, remote) == nil {
			job.Live = remote.Live
		}
	}
	writeJSON(w, job)
}

func (s *Server) nodes(w http.ResponseWriter, r *http.Request) {
	if isLocalOnly(r) {
		writeJSON(w, []Status{s.cluster.Status()})
		return
	}
	writeJSON(w, collectFromMembers(r.Context(), s, "/v1/nodes", []Status{s.cluster.Status()}, func(peer string, err error) []Status {
		return []Status{{Operators: peer, Problem: err.Error()}}
	}))
}

func (s *Server) workers(w http.ResponseWriter, r *http.Request) {
	if isLocalOnly(r) {
		writeJSON(w, s.cluster.Workers())
		return
	}
	writeJSON(w, collectFromMembers(r.Context(), s, "/v1/workers", s.cluster.Workers(), func(string, error) []Worker { return nil }))
}

// isLocalOnly reports whether a request asks for what this node knows itself. Such requests
// come from other nodes, and must not be sent on to further ones.
func isLocalOnly(r *http.Request) bool { return r.URL.Query().Get("local") != "" }

// collectFromMembers fetches the parts of a list from all members concurrently and joins
// them. The part of this node is local; for a member that does not answer, onError returns
// the part. If this node knows no members yet, the result is local alone.
func collectFromMembers[T any](ctx context.Context, s *Server, path string, local []T, onError func(peer string, err error) []T) []T {
	peers := s.cluster.MemberAddresses()
	parts := make([][]T, len(peers))
	wg := sync.WaitGroup{}
	for i, peer := range peers {
		if peer == s.cluster.OwnAddress() {
			parts[i] = local
			continue
		}
		wg.Go(func() {
			if err := fetchLocal(ctx, peer, path, &parts[i]); err != nil {
				parts[i] = onError(peer, err)
			}
		})
	}
	wg.Wait()
	collected := []T{}
	for _, p := range parts {
		collected = append(collected, p...)
	}
	if len(peers) == 0 {
		return local
	}
	return collected
}

// fetchLocal sends a GET request to another node for what that node knows itself, and
// decodes the response into result.
func fetchLocal(ctx context.Context, peer, path string, result any) error {
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
		return fmt.Errorf("operator: the node answered with HTTP status %d", res.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(res.Body, maxBodyBytes)).Decode(result)
}

// decodeRequest decodes the body of a request. If it cannot, it writes an error response and
// returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, request any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		if tooLarge := (&http.MaxBytesError{}); errors.As(err, &tooLarge) {
			// The rest of the body is not read.
			w.Header().Set("Connection", "close")
		}
		writeProblem(w, http.StatusBadRequest, &Problem{Title: "unreadable request", Detail: err.Error(), Verdict: leverdyke.VerdictNotRun, IsInvalid: true})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeProblem(w http.ResponseWriter, status int, p *Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(leverdyke.VerdictHeader, string(p.Verdict))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

// writeResult writes the response to a request for a change: the result, or the error with
// its verdict.
func writeResult(w http.ResponseWriter, result any, err error) {
	if err == nil {
		writeJSON(w, result)
		return
	}
	field := &document.FieldError{}
	verdict := &leverdyke.Error{}
	switch {
	case errors.As(err, &field):
		writeProblem(w, http.StatusUnprocessableEntity, &Problem{Title: "the file is at fault", Detail: err.Error(), Verdict: leverdyke.VerdictNotRun, IsInvalid: true})
	case errors.Is(err, state.ErrConflict):
		writeProblem(w, http.StatusConflict, &Problem{Title: "conflict", Detail: err.Error(), Verdict: leverdyke.VerdictNotRun, IsConflict: true})
	case errors.As(err, &verdict):
		status := http.StatusServiceUnavailable
		if verdict.Verdict != leverdyke.VerdictNotRun {
			status = http.StatusGatewayTimeout
		}
		if verdict.RetryAfterSeconds > 0 {
			w.Header().Set("Retry-After", fmt.Sprint(verdict.RetryAfterSeconds))
		}
		writeProblem(w, status, &Problem{Title: verdict.Reason, Detail: err.Error(), Verdict: verdict.Verdict})
	default:
		writeProblem(w, http.StatusInternalServerError, &Problem{Title: "failed", Detail: err.Error(), Verdict: leverdyke.VerdictMayHaveRun})
	}
}
