// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package crowd_test sends crowds of misbehaving callers to a real node process and checks the
// limits of its settings: memory and descriptors.
package crowd_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin"
	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	// waitTimeout is how long tests wait for a condition before they fail.
	waitTimeout = 40 * time.Second
	// pollInterval is the time between two looks at a process or at a job.
	pollInterval = 10 * time.Millisecond
	// memoryMb and maxFds are the limits in the node's settings. Of the descriptors, fileFds are
	// for files.
	memoryMb = 100
	maxFds   = 400
	fileFds  = 200
)

// nodeBinary is the path of the node's binary, which runMain builds.
var nodeBinary string

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

// runMain builds the node's binary once for all tests, and runs them.
func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "leverdyke-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if nodeBinary, err = standin.BuildNode(dir, false); err != nil {
		panic(err)
	}
	return m.Run()
}

// node is a node process under observation, on a platform of its own.
type node struct {
	*site.Node
	t    *testing.T
	site *site.Site

	lastJob int
	wg      sync.WaitGroup
	stop    chan struct{}
	// peakFds and peakSockets are the most descriptors that the process was seen to have open. They
	// are valid once wg is done.
	peakFds, peakSockets int
}

// newNode starts a node whose settings have the limits of the tests. The tests of this package run
// one after the other.
func newNode(t *testing.T) *node {
	t.Helper()
	s, err := site.New(site.Options{MemoryMb: memoryMb, MaxFds: maxFds})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.Configure(1)
	n := &node{t: t, site: s, stop: make(chan struct{})}
	if n.Node, err = s.NewNode(nodeBinary, t.TempDir(), 0); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Kill)
	n.await("the node is ready", func() bool { return n.IsReady(t.Context()) })
	n.wg.Add(1)
	go n.runFdCount()
	return n
}

// await polls a condition until it is met, and fails the test when the process ends or that takes
// longer than waitTimeout.
func (n *node) await(what string, isMet func() bool) {
	n.t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	deadline := time.After(waitTimeout)
	for !isMet() {
		select {
		case <-ticker.C:
		case <-n.Done():
			n.t.Fatalf("%s: the process has ended:\n%s", what, n.Log())
		case <-deadline:
			n.t.Fatalf("%s: not met within %v", what, waitTimeout)
		}
	}
}

// runFdCount keeps the highest numbers of open descriptors until stop is closed.
func (n *node) runFdCount() {
	defer n.wg.Done()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.stop:
			return
		case <-ticker.C:
			fds, sockets := openFds(n.PID())
			n.peakFds, n.peakSockets = max(n.peakFds, fds), max(n.peakSockets, sockets)
		}
	}
}

// openFds returns how many descriptors a process has open, and how many of them are sockets or
// pipes.
func openFds(pid int) (fds, sockets int) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err != nil {
			continue
		}
		fds++
		if strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:") {
			sockets++
		}
	}
	return fds, sockets
}

// peakMemoryMb returns the highest resident memory that the process has had so far.
func (n *node) peakMemoryMb() int {
	n.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
	if err != nil {
		n.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				n.t.Fatal(err)
			}
			return kb >> 10
		}
	}
	n.t.Fatalf("status of process %d: got: %s, want: VmHWM", n.PID(), status)
	return 0
}

// jobBody is a job of one short task.
var jobBody = []byte(`{"steps":[{"count":1,"cpu":10,"memMb":1,"estimatedMs":10}]}`)

// newJob registers a job with the steps of jobBody, and returns its ID.
func (n *node) newJob() string {
	n.t.Helper()
	n.lastJob++
	id := fmt.Sprintf("%016x", n.lastJob)
	if err := n.site.RegisterJob(id, jobBody); err != nil {
		n.t.Fatal(err)
	}
	return id
}

// mustServe submits a job as an ordinary caller does, with retries, and waits until it has
// succeeded.
func (n *node) mustServe() {
	n.t.Helper()
	id := n.newJob()
	n.await("an ordinary job is accepted", func() bool {
		status, _, err := n.Do(n.t.Context(), http.MethodPost, site.QueuePrefix+id, jobBody)
		return err == nil && status == http.StatusOK
	})
	n.awaitSuccess(id)
}

func (n *node) awaitSuccess(id string) {
	n.t.Helper()
	n.await("job "+id+" succeeds", func() bool {
		_, body, err := n.Do(n.t.Context(), http.MethodGet, site.QueuePrefix+id, nil)
		if err != nil {
			return false
		}
		state, err := site.ParseJobState(body)
		return err == nil && state == "succeeded"
	})
}

// checkLimits checks that the process lives, has served an ordinary job, and never exceeded the
// limits of its settings.
func (n *node) checkLimits() {
	n.t.Helper()
	n.mustServe()
	close(n.stop)
	n.wg.Wait()
	peak := n.peakMemoryMb()
	n.t.Logf("peak: %d MB, %d descriptors, %d of them sockets", peak, n.peakFds, n.peakSockets)
	if peak > memoryMb {
		n.t.Errorf("peak of resident memory: got: %d MB, want: at most %d MB", peak, memoryMb)
	}
	if n.peakFds > maxFds {
		n.t.Errorf("open descriptors: got: %d, want: at most %d", n.peakFds, maxFds)
	}
	if n.peakSockets > maxFds-fileFds {
		n.t.Errorf("open sockets: got: %d, want: at most %d", n.peakSockets, maxFds-fileFds)
	}
	for _, v := range n.site.Violations() {
		n.t.Error(v)
	}
}
