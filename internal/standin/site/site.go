// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package site is a small stand-in for the users' platform, for tests and the
// quickstart: its store, its workers and the service that permits workers, with
// faults that can be set and an oracle that watches the promises from outside. It
// knows the platform's names, as platform/ does, and shares no code with it.
package site

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names that the stand-in gives.
const (
	serviceName = "pool"
	// QueueHost and QueuePrefix address its only queue.
	QueueHost   = "jobs.example"
	QueuePrefix = "/q/"
)

// beatPeriod is the time between two entries of a worker.
const heartbeatPeriod = 500 * time.Millisecond

// Options says what the stand-in has. Zero values mean the defaults.
type Options struct {
	// Workers is how many there are; 4 by default.
	Workers int
	// MilliCPU and MemoryMiB are the room of each; 4,000 by default.
	MilliCPU, MemoryMiB int64
	// CPUShare is the part of a processor that the settings of each node name; 0.5 by
	// default. It is told, not enforced.
	CPUShare float64
	// HasAdvice means that starts want tickets.
	HasPermissionService bool
	// HasOwnGroup keeps signals of a terminal from the nodes: whoever started them ends them.
	HasOwnGroup bool
	// Via returns the address by which nodes reach a service or a worker, for a
	// proxy between; nil means its own.
	Via func(name, addr string) (string, error)
}

// defaultCPUShare is that of an entry VM.
const defaultCPUShare = 0.5

func (s *Site) cpuShare() float64 {
	if s.options.CPUShare > 0 {
		return s.options.CPUShare
	}
	return defaultCPUShare
}

// Site is the whole stand-in.
type Site struct {
	Store   *Store
	options Options
	oracle  *Oracle
	servers []*http.Server
	// StoreAddr and AdviceAddr are where the services listen.
	StoreAddr, PermissionAddr string

	mu      sync.Mutex
	workers []*Worker
	// customers are those of the next configuration.
	customers []Customer
	// needs has the steps of the jobs by their job's ID.
	steps map[string][]stepSpec
	stop  chan struct{}
	wg    sync.WaitGroup
}

// stepNeed is what a task of a step takes, as its job says.
type stepSpec struct {
	cpu, mem      int64
	duration      time.Duration
	isLongRunning bool
	// fails makes the task fail, when the job's text is "fail".
	fails bool
	// crashes makes the first task of the step crash each worker that starts it, when the
	// job's text is "crash".
	crashes bool
}

// New starts a stand-in on loopback.
func New(o Options) (*Site, error) {
	if o.Workers == 0 {
		o.Workers = 4
	}
	if o.MilliCPU == 0 {
		o.MilliCPU = 4000
	}
	if o.MemoryMiB == 0 {
		o.MemoryMiB = 4000
	}
	s := &Site{Store: newStore(), options: o, steps: map[string][]stepSpec{}, stop: make(chan struct{})}
	s.oracle = newOracle()
	var err error
	if s.StoreAddr, err = s.serve(s.Store); err != nil {
		return nil, err
	}
	if s.PermissionAddr, err = s.serve(http.HandlerFunc(s.servePermission)); err != nil {
		s.Close()
		return nil, err
	}
	for i := range o.Workers {
		if _, err := s.AddWorker(i); err != nil {
			s.Close()
			return nil, err
		}
	}
	s.wg.Add(1)
	go s.runHeartbeats()
	return s, nil
}

// serve starts a server on a free port.
func (s *Site) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("site: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// AddWorker starts a worker on a machine of its own.
func (s *Site) AddWorker(i int) (*Worker, error) {
	id := "i-" + strconv.Itoa(i)
	m := &machine{site: s, name: "m-" + id, rack: "r" + strconv.Itoa(i/2)}
	addr, err := s.serve(m)
	if err != nil {
		return nil, err
	}
	if m.addr, err = s.via(id, addr); err != nil {
		return nil, err
	}
	return m.startNew(id), nil
}

// via returns the address by which nodes reach what listens at addr.
func (s *Site) via(name, addr string) (string, error) {
	if s.options.Via == nil {
		return addr, nil
	}
	return s.options.Via(name, addr)
}

// Workers returns the workers.
func (s *Site) Workers() []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.workers)
}

// run writes the workers' entries.
func (s *Site) runHeartbeats() {
	defer s.wg.Done()
	t := time.NewTicker(heartbeatPeriod)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
			for _, w := range s.Workers() {
				w.heartbeat()
			}
		}
	}
}

// Close ends the stand-in.
func (s *Site) Close() {
	close(s.stop)
	close(s.Store.closed)
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.wg.Wait()
}

// Configure publishes a configuration with the one queue.
func (s *Site) Configure(version int) { s.ConfigureQueue(version, QueuePrefix) }

// ConfigureQueue publishes one in which the queue is at another path.
func (s *Site) ConfigureQueue(version int, prefix string) {
	route := map[string]any{
		"name": "q", "host": QueueHost, "pathPrefix": prefix, "service": serviceName, "priority": 0,
		"maxAttempts": 3, "stretch": 1.5, "targetLatencyMs": 250,
	}
	if s.options.HasPermissionService {
		route["advice"] = map[string]any{"decide_ms": 5, "each_ms": 0.1, "valid_ms": 2000}
	}
	config := map[string]any{
		"version": version, "routes": []any{route}, "services": []any{map[string]any{"name": serviceName}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
	}
	if tenants := s.tenantEntries(); len(tenants) > 0 {
		config["tenants"] = tenants
	}
	data, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	s.Store.Put("keyed.op", "config", data)
}

// Know tells the stand-in of a job's steps, as its caller hands them in, so that
// workers know how long its tasks take.
func (s *Site) RegisterJob(id string, body []byte) error {
	job := struct {
		Spec  string `json:"spec"`
		Steps []struct {
			CPU         int64   `json:"cpu"`
			MemMb       int64   `json:"memMb"`
			EstimatedMs float64 `json:"estimatedMs"`
			Perpetual   bool    `json:"perpetual"`
		} `json:"steps"`
	}{}
	if err := json.Unmarshal(body, &job); err != nil {
		return fmt.Errorf("site: %w", err)
	}
	steps := []stepSpec{}
	for _, step := range job.Steps {
		steps = append(steps, stepSpec{
			step.CPU, step.MemMb, time.Duration(step.EstimatedMs * float64(time.Millisecond)), step.Perpetual, job.Spec == "fail", job.Spec == "crash",
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps[id] = steps
	return nil
}

// needOf returns what a task takes.
func (s *Site) stepOfTask(task string) (stepSpec, error) {
	parts := strings.Split(task, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(parts) != 4 {
		return stepSpec{}, fmt.Errorf("site: task %q: want four parts", task)
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(s.steps[parts[0]]) {
		return stepSpec{}, fmt.Errorf("site: task %q was never handed in", task)
	}
	return s.steps[parts[0]][step], nil
}

// Broken returns the promises that were seen broken.
func (s *Site) Violations() []string { return s.oracle.listViolations() }

// CrashesUnder returns how many workers crashed under a task.
func (s *Site) CrashesDuring(task string) int { return s.oracle.crashesDuring(task) }

// HasRun reports whether any task of a job ever began.
func (s *Site) HasStarted(job string) bool { return s.oracle.hasStarted(job) }

// NoteShown notes the final state of a job that a caller was shown. A start of one
// of its tasks from then on counts as broken.
func (s *Site) RecordShownState(job, state string) { s.oracle.recordShownState(job, state) }

// Starts returns how many runs began.
func (s *Site) Starts() int { return s.oracle.starts() }

// serveAdvice permits every other worker for all steps, and two of three of the
// others for each.
func (s *Site) servePermission(w http.ResponseWriter, r *http.Request) {
	body := struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}{}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	permitted := [][2]string{}
	for _, id := range body.Workers {
		if s.Permits(body.Step, id) {
			permitted = append(permitted, [2]string{id, permitFor(body.Step, s.incarnationOf(id))})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"good": permitted, "valid_ms": 2000})
}

// startOf returns the newest start of a worker.
func (s *Site) incarnationOf(id string) string {
	incarnation := id
	for _, w := range s.Workers() {
		if w.id == id {
			incarnation = w.incarnation
		}
	}
	return incarnation
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
