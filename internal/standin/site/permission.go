// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"hash/fnv"
	"math"
	"net/http"
	"strings"
	"time"
)

// SlowPermission describes the permission queries of the slow queue.
type SlowPermission struct {
	// A query takes Base, and PerWorker for each worker that it names.
	Base, PerWorker time.Duration
	// Share is the fraction of the workers, from 0 to 1, on which a step is permitted.
	Share float64
}

// RegisterSlowJob is RegisterJob for a job of the slow queue.
func (s *Site) RegisterSlowJob(id string, body []byte) error {
	if err := s.RegisterJob(id, body); err != nil {
		return err
	}
	s.slowJobs.Store(id, true)
	return nil
}

// slowPermissionOf returns the description of the queries for a step, or nil if it is not of the slow queue.
func (s *Site) slowPermissionOf(step string) *SlowPermission {
	job, _, _ := strings.Cut(step, ".")
	if _, isSlow := s.slowJobs.Load(job); !isSlow {
		return nil
	}
	return s.options.SlowPermission
}

// takePermissionTime waits for as long as a query about that many workers takes.
func (s *Site) takePermissionTime(step string, workers int) {
	p := s.slowPermissionOf(step)
	if p == nil {
		return
	}
	select {
	case <-time.After(p.Base + time.Duration(workers)*p.PerWorker):
	case <-s.stop:
	}
}

// permits reports whether the step is permitted on the worker.
func (p *SlowPermission) permits(step, worker string) bool {
	return hashShare(step+" "+worker) < p.Share
}

// hashShare returns a number from 0 to 1 that depends on the text only.
func hashShare(text string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	// The low bits of the hash of similar texts are not independent.
	return float64(h.Sum32()%10_007) / 10_007
}

// slowRoute returns the slow queue as the configuration has it.
func (s *Site) slowRoute() map[string]any {
	p := s.options.SlowPermission
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return map[string]any{
		"name": "slow", "host": QueueHost, "pathPrefix": SlowQueuePrefix, "service": serviceName, "priority": 2,
		"maxAttempts": 4, "stretch": Stretch, "targetLatencyMs": TargetLatency.Milliseconds(),
		"advice": map[string]any{"decide_ms": milliseconds(p.Base), "each_ms": milliseconds(p.PerWorker), "valid_ms": 2000},
	}
}

// SetPermissionMode sets how the permission service responds from now on, as the store does in that mode.
func (s *Site) SetPermissionMode(m StoreMode) {
	s.RecordDisturbance()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permissionMode = m
}

// disturbPermission responds to a permission query as the mode says, and reports whether it has answered it.
func (s *Site) disturbPermission(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	mode := s.permissionMode
	s.mu.Unlock()
	switch mode {
	case StoreBusy:
		w.WriteHeader(http.StatusTooManyRequests)
		return true
	case StoreSilent:
		s.Store.waitForDisconnect(r)
	case StoreSlow:
		select {
		case <-time.After(slowDelay):
		case <-s.stop:
		}
	case StoreUp:
	}
	return false
}

// hashNormal returns a number of mean 0 and standard deviation 1 that depends on the text only.
func hashNormal(text string) float64 {
	sum := 0.0
	for i := range 4 {
		sum += hashShare(fmt.Sprintf("%s normal %d", text, i))
	}
	return (sum - 2) * math.Sqrt(3)
}
