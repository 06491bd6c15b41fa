// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// siteCluster is a number of node processes on the stand-in for the users' platform.
type siteCluster struct {
	*site.Site
	t     *testing.T
	nodes []*site.Node
	// accepted holds the IDs of the jobs whose submission was answered with success, and which are
	// expected to succeed.
	accepted      []string
	lastJobNumber int
	// callerOf returns the customer who submits a job, by the job's ID, and the customer's key. It is
	// nil when there are no customers.
	callerOf func(id string) (customer, key string)
}

// keyFor returns the key with which a job's caller makes its calls, "" when there are no customers.
func (c *siteCluster) keyFor(id string) string {
	if c.callerOf == nil {
		return ""
	}
	_, key := c.callerOf(id)
	return key
}

func newSiteCluster(t *testing.T, nodes int, o site.Options) *siteCluster {
	t.Helper()
	t.Parallel()
	dir := t.TempDir()
	s, err := site.New(o)
	if err != nil {
		t.Fatal(err)
	}
	c := &siteCluster{Site: s, t: t}
	t.Cleanup(c.close)
	s.Configure(1)
	for i := range nodes {
		n, err := s.NewNode(nodeBinary, dir, i)
		if err != nil {
			t.Fatal(err)
		}
		c.nodes = append(c.nodes, n)
	}
	c.awaitReady(c.nodes...)
	return c
}

// close kills the nodes and reports the guarantees that the stand-in's oracle saw violated. When the
// test has failed and LEVERDYKE_LOGS names a directory, it saves the nodes' logs there.
func (c *siteCluster) close() {
	for _, n := range c.nodes {
		n.Kill()
	}
	for _, b := range c.Violations() {
		c.t.Error(b)
	}
	for _, n := range c.nodes {
		checkRaces(c.t, n.Name, n.Log())
	}
	if dir := os.Getenv("LEVERDYKE_LOGS"); dir != "" && c.t.Failed() {
		for _, n := range c.nodes {
			_ = os.WriteFile(filepath.Join(dir, strings.ReplaceAll(c.t.Name(), "/", "-")+"-"+n.Name+".log"), []byte(n.Log()), 0o600)
		}
	}
	c.Close()
}

// await polls a condition until it is met, and fails the test when that takes longer than
// waitTimeout. what describes the condition.
func (c *siteCluster) await(what string, isMet func() bool) {
	c.t.Helper()
	ticker := time.NewTicker(30 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(waitTimeout)
	for !isMet() {
		select {
		case <-ticker.C:
		case <-deadline:
			c.t.Fatalf("%s: not met within %v", what, waitTimeout)
		}
	}
}

func (c *siteCluster) awaitReady(nodes ...*site.Node) {
	c.t.Helper()
	for _, n := range nodes {
		c.await(n.Name+" is ready", func() bool { return n.IsReady(c.t.Context()) })
	}
}

type jobStep struct {
	Count       int     `json:"count"`
	CPU         int     `json:"cpu"`
	MemMb       int     `json:"memMb"`
	EstimatedMs float64 `json:"estimatedMs"`
	DependsOn   []int   `json:"dependsOn,omitempty"`
	Perpetual   bool    `json:"perpetual,omitempty"`

	GangScheduled bool `json:"gangScheduled,omitempty"`
	Checkpointing bool `json:"checkpointing,omitempty"`
}

// submit submits a job at a node and returns the job's ID and the HTTP status, 0 when there was no
// answer.
func (c *siteCluster) submit(n *site.Node, spec string, steps ...jobStep) (string, int) {
	c.t.Helper()
	c.lastJobNumber++
	id := fmt.Sprintf("%016x", c.lastJobNumber)
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		c.t.Fatal(err)
	}
	if err := c.RegisterJob(id, body); err != nil {
		c.t.Fatal(err)
	}
	if c.callerOf != nil {
		customer, _ := c.callerOf(id)
		c.SetJobCustomer(id, customer)
	}
	status, _, err := n.DoWithKey(c.t.Context(), c.keyFor(id), http.MethodPost, site.QueuePrefix+id, body)
	if err != nil {
		return id, 0
	}
	if status == http.StatusOK {
		c.accepted = append(c.accepted, id)
		c.RecordAccepted(id)
	}
	return id, status
}

// mustSubmit submits a job at one node after the other until one accepts it, and returns the ID of
// the accepted job.
func (c *siteCluster) mustSubmit(steps ...jobStep) string {
	c.t.Helper()
	id := ""
	c.await("a job is accepted", func() bool {
		for _, n := range c.nodes {
			status := 0
			if id, status = c.submit(n, "", steps...); status == http.StatusOK {
				return true
			}
		}
		return false
	})
	return id
}

// state returns the state of a job as the first node that answers shows it, "" when none does.
func (c *siteCluster) state(id string) string {
	for _, n := range c.nodes {
		ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
		state := c.stateAt(ctx, n, id)
		cancel()
		if state != "" {
			return state
		}
	}
	return ""
}

// stateAt returns the state of a job as a node shows it, "" when it shows none. It reports a final
// state to the oracle, which then counts a start of one of the job's tasks as a violation.
func (c *siteCluster) stateAt(ctx context.Context, n *site.Node, id string) string {
	status, body, err := n.DoWithKey(ctx, c.keyFor(id), http.MethodGet, site.QueuePrefix+id, nil)
	if err != nil || status != http.StatusOK {
		return ""
	}
	state, err := site.ParseJobState(body)
	if err != nil {
		c.t.Error(err)
	}
	if isFinal(state) {
		c.RecordShownState(id, state)
	}
	return state
}

func isFinal(state string) bool {
	return state == "succeeded" || state == "failed" || state == "cancelled"
}

func (c *siteCluster) awaitState(id, want string) {
	c.t.Helper()
	c.await("job "+id+" is "+want, func() bool { return c.state(id) == want })
}

// awaitAll waits until all accepted jobs have succeeded.
func (c *siteCluster) awaitAll() {
	c.t.Helper()
	for _, id := range c.accepted {
		c.awaitState(id, "succeeded")
	}
}

func (c *siteCluster) signal(n *site.Node, sig syscall.Signal) {
	c.t.Helper()
	if err := n.Signal(sig); err != nil {
		c.t.Fatal(err)
	}
}

// owner returns the node that logged the ownership of the shard with the highest epoch.
func (c *siteCluster) owner() *site.Node {
	var owner *site.Node
	newestEpoch := -1
	for _, n := range c.nodes {
		for line := range strings.Lines(n.Log()) {
			epoch := 0
			if i := strings.Index(line, `"shard owned"`); i >= 0 {
				if j := strings.Index(line, "epoch="); j >= 0 {
					_, _ = fmt.Sscanf(line[j:], "epoch=%d", &epoch)
				}
				if epoch > newestEpoch {
					newestEpoch, owner = epoch, n
				}
			}
		}
	}
	return owner
}

// smallStep returns a step of small tasks that run for the given time, of which eight fit on a worker
// of 4,000 milli-CPU.
func smallStep(count int, ms float64) jobStep {
	return jobStep{Count: count, CPU: 500, MemMb: 200, EstimatedMs: ms}
}

func TestSiteRunsMultiStepJobs(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{HasPermissionService: true})
	for i := range 6 {
		second := smallStep(2, 100)
		second.DependsOn = []int{0}
		if _, status := c.submit(c.nodes[i%3], "", smallStep(5, 150), second); status != http.StatusOK {
			t.Errorf("job %d: got: %d, want: 200", i, status)
		}
	}
	c.awaitAll()
}

// The long-running tasks of a worker that crashes must start again elsewhere, and end when their job is
// cancelled.
func TestSiteRestartsAndCancelsLongRunningTasks(t *testing.T) {
	c := newSiteCluster(t, 2, site.Options{})
	longRunning := smallStep(3, 0)
	longRunning.Perpetual = true
	id := c.mustSubmit(longRunning)
	c.await("all long-running tasks run", func() bool { return c.running() == 3 })
	c.Workers()[0].Crash()
	c.await("all long-running tasks run again", func() bool { return c.running() == 3 })
	status, _, err := c.nodes[0].Do(t.Context(), http.MethodDelete, site.QueuePrefix+id, nil)
	if err != nil || status != http.StatusOK {
		t.Errorf("cancel: got: %d, %v, want: 200", status, err)
	}
	c.await("nothing runs", func() bool { return c.running() == 0 })
	c.awaitState(id, "cancelled")
}

// A worker that had failed long-running tasks once got only one of them again, and no other task while
// that one ran. Once the worker no longer fails them, all of them must run on it again.
func TestSiteLongRunningTasksReturnToRecoveredWorker(t *testing.T) {
	c := newSiteCluster(t, 2, site.Options{Workers: 1})
	c.Workers()[0].SetFailsLongRunning(true)
	longRunning := smallStep(1, 0)
	longRunning.Perpetual = true
	for range 3 {
		c.mustSubmit(longRunning)
	}
	c.await("all have failed", func() bool { return c.Workers()[0].Starts() >= 3 && c.running() == 0 })
	c.Workers()[0].SetFailsLongRunning(false)
	c.await("all long-running tasks run", func() bool { return c.running() == 3 })
}

func (c *siteCluster) running() int {
	n := 0
	for _, w := range c.Workers() {
		n += w.Running()
	}
	return n
}

func TestSiteRefusesInvalidJobs(t *testing.T) {
	c := newSiteCluster(t, 1, site.Options{})
	for name, tc := range map[string]struct {
		method, path, body string
		want               int
	}{
		"broken JSON":          {http.MethodPost, "0000000000000001", `{"steps":[`, 400},
		"no steps":             {http.MethodPost, "0000000000000001", `{"spec":"x"}`, 400},
		"long text":            {http.MethodPost, "0000000000000001", `{"spec":"` + strings.Repeat("x", 5000) + `","steps":[{"count":1}]}`, 400},
		"unknown earlier step": {http.MethodPost, "0000000000000001", `{"steps":[{"count":1,"dependsOn":[3]}]}`, 400},
		"cycle":                {http.MethodPost, "0000000000000001", `{"steps":[{"count":1,"dependsOn":[1]},{"count":1,"dependsOn":[0]}]}`, 400},
		"negative size":        {http.MethodPost, "0000000000000001", `{"steps":[{"count":1,"cpu":-5}]}`, 400},
		"something follows":    {http.MethodPost, "0000000000000001", `{"steps":[{"count":1}]} {}`, 400},
		"huge body":            {http.MethodPost, "0000000000000001", `{"spec":"` + strings.Repeat("x", 300_000) + `"}`, 413},
		"bad ID":               {http.MethodPost, "xyz", `{"steps":[{"count":1}]}`, 400},
		"bad method":           {http.MethodPut, "0000000000000001", ``, 405},
		"unknown job":          {http.MethodGet, "00000000000000ff", ``, 410},
		"cancel unknown job":   {http.MethodDelete, "00000000000000ff", ``, 410},
		"unknown queue":        {http.MethodGet, "/elsewhere/", ``, 404},
	} {
		path := tc.path
		if !strings.HasPrefix(path, "/") {
			path = site.QueuePrefix + path
		}
		status, body, err := c.nodes[0].Do(t.Context(), tc.method, path, []byte(tc.body))
		if err != nil || status != tc.want {
			t.Errorf("%s: got: %d, %v, want: %d", name, status, err, tc.want)
		}
		if !strings.Contains(string(body), `"error"`) {
			t.Errorf("%s: got: %s, want: the reason", name, body)
		}
	}
	if got := c.state("0000000000000001"); got != "" {
		t.Errorf("state of the refused job: got: %q, want: none", got)
	}
	if c.Starts() != 0 {
		t.Errorf("starts: got: %d, want: 0", c.Starts())
	}
}

// The owner is killed while jobs run. Another node must take over and finish them, and the killed node
// must be able to join again.
func TestSiteSurvivesKillOfOwner(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{})
	for range 3 {
		c.mustSubmit(smallStep(4, 1500), smallStep(2, 100))
	}
	killed := c.owner()
	killed.Kill()
	c.mustSubmit(smallStep(3, 200))
	c.awaitAll()
	if err := killed.Start(); err != nil {
		t.Fatal(err)
	}
	c.awaitReady(killed)
	c.mustSubmit(smallStep(3, 200))
	c.awaitAll()
}

// The owner's process is paused until another node has taken over, and then continues as if it were
// still the owner. No task may run twice.
func TestSiteSurvivesAPausedOwner(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{})
	for range 3 {
		c.mustSubmit(smallStep(4, 1500), smallStep(2, 100))
	}
	paused := c.owner()
	c.signal(paused, syscall.SIGSTOP)
	c.await("another node owns the shard", func() bool { return c.owner() != paused })
	c.mustSubmit(smallStep(3, 200))
	c.signal(paused, syscall.SIGCONT)
	c.awaitAll()
	c.awaitReady(paused)
}

// All nodes are stopped as planned and restarted one after the other. Each of the 12 tasks must start
// exactly once.
func TestSiteRollingRestartRepeatsNoTask(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{})
	for _, n := range c.nodes {
		c.mustSubmit(smallStep(4, 1000))
		c.signal(n, syscall.SIGTERM)
		<-n.Done()
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		c.awaitReady(n)
	}
	c.awaitAll()
	if got, want := c.Starts(), 12; got != want {
		t.Errorf("starts of 12 tasks while all nodes were restarted: got: %d, want: %d", got, want)
	}
}

// In an outage of the store, nodes must refuse new jobs with 503, go on starting the steps of accepted
// jobs, and not show a job as ended before its end is persisted.
func TestSiteRefusesJobsDuringStoreOutage(t *testing.T) {
	for _, mode := range []site.StoreMode{site.StoreBusy, site.StoreSilent} {
		t.Run(string(mode), func(t *testing.T) {
			c := newSiteCluster(t, 3, site.Options{})
			second := smallStep(2, 100)
			second.DependsOn = []int{0}
			id := c.mustSubmit(smallStep(4, 2500), second)
			c.await("the first step runs", func() bool { return c.running() == 4 })
			c.Store.SetMode(mode)
			c.await("a job is refused", func() bool {
				_, status := c.submit(c.nodes[0], "", smallStep(1, 100))
				return status == http.StatusServiceUnavailable
			})
			c.await("the second step runs", func() bool { return c.Starts() >= 6 })
			if got := c.state(id); got != "running" {
				t.Errorf("state while the job's end cannot be persisted: got: %q, want: running", got)
			}
			c.Store.SetMode(site.StoreUp)
			c.awaitState(id, "succeeded")
		})
	}
}

// Answers of the store to appends, and of workers to start orders, are lost although both were carried
// out. The jobs must succeed, and the oracle must see no task run twice.
func TestSiteRecoversFromLostAnswers(t *testing.T) {
	c := newSiteCluster(t, 2, site.Options{})
	for i := range 4 {
		c.Store.LoseAnswers(i)
		c.Workers()[i].DropStartAnswers(1)
		c.mustSubmit(smallStep(3, 200))
	}
	c.awaitAll()
}

func TestSiteDrainingWorkerGetsNoNewTasks(t *testing.T) {
	c := newSiteCluster(t, 2, site.Options{Workers: 2})
	c.Workers()[0].Drain()
	c.await("the owner knows that the worker is draining", func() bool {
		return strings.Contains(c.owner().Log(), `"worker is leaving"`)
	})
	c.mustSubmit(smallStep(6, 300))
	c.await("six tasks run", func() bool { return c.running() == 6 })
	if got := c.Workers()[0].Running(); got != 0 {
		t.Errorf("tasks on the draining worker: got: %d, want: 0", got)
	}
	c.awaitAll()
}

// All nodes are killed at once while jobs run. The restarted nodes must finish the jobs, and the oracle
// must see no task run twice.
func TestSiteSurvivesKillOfAllNodes(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{})
	for range 3 {
		c.mustSubmit(smallStep(4, 2000))
	}
	for _, n := range c.nodes {
		n.Kill()
	}
	for _, n := range c.nodes {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	c.awaitReady(c.nodes...)
	c.awaitAll()
}
