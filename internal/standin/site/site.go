// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package site is a small fake of the users' platform for tests and the emulator: its store, its workers and
// its permission service, which says which workers may run a step. Faults can be injected, and an oracle
// checks the scheduler's guarantees from outside. It uses the platform's names, as platform/ does, but
// shares no code with it.
package site

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names of the only service and the queues.
const (
	serviceName = "pool"
	// QueueHost and QueuePrefix are the host and the path prefix of requests to the queue.
	QueueHost   = "jobs.example"
	QueuePrefix = "/q/"
	// SlowQueuePrefix is the path prefix of the second queue, if Options.SlowPermission has one.
	SlowQueuePrefix = "/slow/"
)

// heartbeatPeriod is the time between two heartbeats of a worker, each of which rewrites its entry in the store.
const heartbeatPeriod = 500 * time.Millisecond

// Options configures a Site. Zero values mean the defaults.
type Options struct {
	// Workers is the number of workers; 4 by default.
	Workers int
	// Zones is the number of availability zones over which the workers are spread in turn; 1 by default.
	Zones int
	// MilliCPU and MemoryMiB are the capacity of each worker; 4,000 by default.
	MilliCPU, MemoryMiB int64
	// CPUShare is the fraction of a processor that the settings grant each node; 0.5 by default. It is
	// written to the settings, but not enforced.
	CPUShare float64
	// MemoryMb and MaxFds are the memory and the descriptors that the settings grant each node; 200 and 1,000
	// by default. They are written to the settings, but not enforced.
	MemoryMb, MaxFds int
	// RecordBytes bounds a record of the store, CallBytes all records of an append; 262,144 and 2,097,152 by default.
	RecordBytes, CallBytes int
	// HasPermissionService means that workers refuse start orders without a valid permit.
	HasPermissionService bool
	// SlowPermission, if set, adds a queue of lower priority whose permission queries take time and permit
	// few workers. It needs HasPermissionService.
	SlowPermission *SlowPermission
	// FailureShare is the fraction of the batch tasks, from 0 to 1, whose first run fails at its end.
	FailureShare float64
	// StepSpread and TaskSpread are the standard deviations of the logarithms of how much longer than estimated
	// all tasks of a batch step, and each of them, take.
	StepSpread, TaskSpread float64
	// ClockDrift is by which fraction the clocks of the workers run slow at most; each has its own.
	ClockDrift float64
	// HasOwnGroup starts each node in a process group of its own, so that signals from the terminal do not
	// reach it. The process that started the nodes must end them.
	HasOwnGroup bool
	// Environment is added to the environment of the nodes, as NAME=VALUE.
	Environment []string
	// Via returns the address at which nodes reach the service, worker or node that listens at addr, such
	// as a proxy's address; nil means addr itself.
	Via func(name, addr string) (string, error)
}

// defaultCPUShare is the fraction of a processor that a node has on an entry VM.
const defaultCPUShare = 0.5

func (s *Site) cpuShare() float64 {
	if s.options.CPUShare > 0 {
		return s.options.CPUShare
	}
	return defaultCPUShare
}

// Site is a fake platform with all its services and workers.
type Site struct {
	Store   *Store
	options Options
	oracle  *Oracle
	servers []*http.Server
	// StoreAddr and PermissionAddr are the addresses of the store and the permission service.
	StoreAddr, PermissionAddr string

	mu      sync.Mutex
	workers []*Worker
	// drainedZones are the zones that the operator drains.
	drainedZones map[string]bool
	// customers go into the next configuration that is published.
	customers []Customer
	// steps has the steps of each registered job, by job ID.
	steps map[string][]stepSpec
	gangs *gangs
	// permissionMode is how the permission service responds.
	permissionMode StoreMode
	// slowJobs are the jobs that were registered for the slow queue. It has no lock of the Site, since the oracle
	// asks for it under its own.
	slowJobs sync.Map
	stop     chan struct{}
	wg       sync.WaitGroup
}

// stepSpec is what a task of a step needs and how it behaves, as its job specifies.
type stepSpec struct {
	cpu, mem      int64
	duration      time.Duration
	isLongRunning bool
	// tasks is the number of tasks, dependsOn has the indexes of the steps that must have succeeded before.
	tasks     int
	dependsOn []int
	// fails makes each task fail; it is set if the job's spec is "fail".
	fails bool
	// crashes makes the first task of the step crash each worker that starts it; it is set if the job's
	// spec is "crash".
	crashes bool
	// isGang means that the tasks work together only, isCheckpointing that they keep their progress.
	isGang, isCheckpointing bool
	// startAt is when the first of the job's times is due, and interval the time to each next one; zero for
	// a job without times.
	startAt  time.Time
	interval time.Duration
}

// earlyTolerance is how long before it is due a task of a job with times may start.
const earlyTolerance = 250 * time.Millisecond

// earliest returns when a task may start, the zero time if that is at any time.
func (s *stepSpec) earliest(task string) time.Time {
	if s.startAt.IsZero() {
		return time.Time{}
	}
	k, _ := strconv.Atoi(strings.Split(task, ".")[1])
	return s.startAt.Add(time.Duration(k)*s.interval - earlyTolerance)
}

// New starts a fake platform on loopback.
func New(o Options) (*Site, error) {
	if o.Workers == 0 {
		o.Workers = 4
	}
	if o.Zones == 0 {
		o.Zones = 1
	}
	if o.MilliCPU == 0 {
		o.MilliCPU = 4000
	}
	if o.MemoryMiB == 0 {
		o.MemoryMiB = 4000
	}
	if o.MemoryMb == 0 {
		o.MemoryMb = 200
	}
	if o.MaxFds == 0 {
		o.MaxFds = 1000
	}
	if o.RecordBytes == 0 {
		o.RecordBytes = 256 << 10
	}
	if o.CallBytes == 0 {
		o.CallBytes = 2 << 20
	}
	s := &Site{Store: newStore(o.RecordBytes, o.CallBytes), options: o, steps: map[string][]stepSpec{}, gangs: newGangs(), permissionMode: StoreUp, drainedZones: map[string]bool{}, stop: make(chan struct{})}
	s.oracle = newOracle()
	s.Store.disturbed = s.RecordDisturbance
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
	s.wg.Add(2)
	go s.runHeartbeats()
	go s.runProgress()
	return s, nil
}

// serve starts an HTTP server on a free loopback port and returns its address.
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

// AddWorker starts the i-th worker on a machine of its own. Two workers share a rack.
func (s *Site) AddWorker(i int) (*Worker, error) {
	id := "i-" + strconv.Itoa(i)
	m := &machine{site: s, name: "m-" + id, rack: "r" + strconv.Itoa(i/2), zone: zoneName(i % s.options.Zones)}
	addr, err := s.serve(m)
	if err != nil {
		return nil, err
	}
	if m.addr, err = s.via(id, addr); err != nil {
		return nil, err
	}
	return m.startNew(id), nil
}

// via returns the address at which nodes reach the service, worker or node that listens at addr.
func (s *Site) via(name, addr string) (string, error) {
	if s.options.Via == nil {
		return addr, nil
	}
	return s.options.Via(name, addr)
}

// Workers returns all workers, dead ones included, in the order of their starts.
func (s *Site) Workers() []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.workers)
}

// runHeartbeats sends the heartbeats of all workers until Close.
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

// Close stops all servers and heartbeats. Each node has to be killed separately.
func (s *Site) Close() {
	close(s.stop)
	close(s.Store.closed)
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.wg.Wait()
}

// Stretch and TargetLatency make up the objective of the jobs of the queue: Stretch times their
// longest chain of tasks, and TargetLatency.
const (
	Stretch       = 1.5
	TargetLatency = 250 * time.Millisecond
)

// Configure publishes a configuration in which the queue has the path prefix QueuePrefix.
func (s *Site) Configure(version int) { s.ConfigureQueue(version, QueuePrefix) }

// ConfigureQueue publishes a configuration in which the queue has another path prefix.
func (s *Site) ConfigureQueue(version int, prefix string) {
	s.ConfigureNamedQueue(version, "q", prefix)
}

// ConfigureNamedQueue publishes a configuration whose first queue has that name and path prefix.
func (s *Site) ConfigureNamedQueue(version int, name, prefix string) {
	route := map[string]any{
		"name": name, "host": QueueHost, "pathPrefix": prefix, "service": serviceName, "priority": 0,
		"maxAttempts": 3, "stretch": Stretch, "targetLatencyMs": TargetLatency.Milliseconds(),
	}
	if s.options.HasPermissionService {
		route["advice"] = map[string]any{"decide_ms": 5, "each_ms": 0.1, "valid_ms": 2000}
	}
	routes := []any{route}
	if s.options.SlowPermission != nil {
		routes = append(routes, s.slowRoute())
	}
	config := map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": serviceName}},
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

// RegisterJob records the steps of a job from the body with which it is submitted, so that workers know what
// its tasks need and how they behave. It has to be called before the job is submitted.
func (s *Site) RegisterJob(id string, body []byte) error {
	job := struct {
		Spec        string `json:"spec"`
		RepeatCount int    `json:"repeatCount"`
		StartAtMs   int64  `json:"startAtMs"`
		IntervalMs  int64  `json:"intervalMs"`
		Steps       []struct {
			CPU         int64   `json:"cpu"`
			MemMb       int64   `json:"memMb"`
			EstimatedMs float64 `json:"estimatedMs"`
			Perpetual   bool    `json:"perpetual"`
			Count       int     `json:"count"`
			DependsOn   []int   `json:"dependsOn"`
			IsGang      bool    `json:"gangScheduled"`
			Checkpoints bool    `json:"checkpointing"`
		} `json:"steps"`
	}{}
	if err := json.Unmarshal(body, &job); err != nil {
		return fmt.Errorf("site: %w", err)
	}
	startAt := time.Time{}
	if job.RepeatCount > 0 {
		startAt = time.UnixMilli(job.StartAtMs)
	}
	steps := []stepSpec{}
	for _, step := range job.Steps {
		steps = append(steps, stepSpec{
			cpu: step.CPU, mem: step.MemMb, duration: time.Duration(step.EstimatedMs * float64(time.Millisecond)), isLongRunning: step.Perpetual,
			tasks: step.Count, dependsOn: step.DependsOn, fails: job.Spec == "fail", crashes: job.Spec == "crash",
			isGang: step.IsGang, isCheckpointing: step.Checkpoints, startAt: startAt, interval: time.Duration(job.IntervalMs) * time.Millisecond,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps[id] = steps
	return nil
}

// stepOfTask returns the specification of a task's step.
func (s *Site) stepOfTask(task string) (stepSpec, error) {
	parts := strings.Split(task, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(parts) != 4 {
		return stepSpec{}, fmt.Errorf("site: task %q: want a name of four parts between dots", task)
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(s.steps[parts[0]]) {
		return stepSpec{}, fmt.Errorf("site: task %q: its job was not registered", task)
	}
	spec := s.steps[parts[0]][step]
	spread := s.options.StepSpread*hashNormal(stepName(task)) + s.options.TaskSpread*hashNormal(task)
	spec.duration = time.Duration(float64(spec.duration) * math.Exp(spread))
	return spec, nil
}

// Violations returns a text for each violation of a guarantee that the oracle has found.
func (s *Site) Violations() []string { return s.oracle.listViolations() }

// CrashesDuring returns how many workers crashed while they ran a task.
func (s *Site) CrashesDuring(task string) int { return s.oracle.crashesDuring(task) }

// HasStarted reports whether any task of a job was ever started.
func (s *Site) HasStarted(job string) bool { return s.oracle.hasStarted(job) }

// RecordShownState records the final state of a job that a caller was shown. From then on, a start of one of
// its tasks or another final state is a violation.
func (s *Site) RecordShownState(job, state string) { s.oracle.recordShownState(job, state) }

// RecordCancel records that the cancellation of a job was acknowledged to its caller. A start of one of its tasks
// counts as a violation once no earlier order can be on its way any more.
func (s *Site) RecordCancel(job string) { s.oracle.recordCancel(job) }

// Starts returns how many runs were started.
func (s *Site) Starts() int { return s.oracle.starts() }

// servePermission answers a permission query with the permitted workers and their permits. Permits decides
// which workers these are.
func (s *Site) servePermission(w http.ResponseWriter, r *http.Request) {
	if s.disturbPermission(w, r) {
		return
	}
	body := struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}{}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.takePermissionTime(body.Step, len(body.Workers))
	permitted := [][2]string{}
	for _, id := range body.Workers {
		if s.Permits(body.Step, id) {
			permitted = append(permitted, [2]string{id, permitFor(body.Step, s.incarnationOf(id))})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"good": permitted, "valid_ms": 2000})
}

// incarnationOf returns the newest incarnation of a worker.
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
