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

// siteCell is nodes on the stand-in for the users' platform.
type siteCell struct {
	*site.Site
	t     *testing.T
	nodes []*site.Node
	// accepted are the jobs that were answered with success.
	accepted []string
	next     int
	// keyOf returns the customer and the key of a job's caller; nil means that there are no
	// customers.
	keyOf func(id string) (customer, key string)
}

// key returns the key of a job's caller.
func (c *siteCell) key(id string) string {
	if c.keyOf == nil {
		return ""
	}
	_, key := c.keyOf(id)
	return key
}

func newSiteCell(t *testing.T, nodes int, o site.Options) *siteCell {
	t.Helper()
	t.Parallel()
	dir := t.TempDir()
	s, err := site.New(o)
	if err != nil {
		t.Fatal(err)
	}
	c := &siteCell{Site: s, t: t}
	t.Cleanup(c.close)
	s.Configure(1)
	for i := range nodes {
		n, err := s.NewNode(binary, dir, i)
		if err != nil {
			t.Fatal(err)
		}
		c.nodes = append(c.nodes, n)
	}
	c.awaitReady(c.nodes...)
	return c
}

// close ends the nodes, then checks the promises, and keeps the logs of a test
// that failed.
func (c *siteCell) close() {
	for _, n := range c.nodes {
		n.Kill()
	}
	for _, b := range c.Violations() {
		c.t.Error(b)
	}
	if dir := os.Getenv("LEVERDYKE_LOGS"); dir != "" && c.t.Failed() {
		for _, n := range c.nodes {
			_ = os.WriteFile(filepath.Join(dir, strings.ReplaceAll(c.t.Name(), "/", "-")+"-"+n.Name+".log"), []byte(n.Log()), 0o600)
		}
	}
	c.Close()
}

// await polls until the condition holds; the test fails when it does not in time.
func (c *siteCell) await(what string, holds func() bool) {
	c.t.Helper()
	ticker := time.NewTicker(30 * time.Millisecond)
	defer ticker.Stop()
	tooLate := time.After(patience)
	for !holds() {
		select {
		case <-ticker.C:
		case <-tooLate:
			c.t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

func (c *siteCell) awaitReady(nodes ...*site.Node) {
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
}

// submit hands in a job and returns its ID and the status.
func (c *siteCell) submit(n *site.Node, spec string, steps ...jobStep) (string, int) {
	c.t.Helper()
	c.next++
	id := fmt.Sprintf("%016x", c.next)
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		c.t.Fatal(err)
	}
	if err := c.RegisterJob(id, body); err != nil {
		c.t.Fatal(err)
	}
	if c.keyOf != nil {
		customer, _ := c.keyOf(id)
		c.SetJobCustomer(id, customer)
	}
	status, _, err := n.DoWithKey(c.t.Context(), c.key(id), http.MethodPost, site.QueuePrefix+id, body)
	if err != nil {
		return id, 0
	}
	if status == http.StatusOK {
		c.accepted = append(c.accepted, id)
	}
	return id, status
}

// mustSubmit hands in a job at any node until one accepts it.
func (c *siteCell) mustSubmit(steps ...jobStep) string {
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

// state returns what the first node that answers shows of a job.
func (c *siteCell) state(id string) string {
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

// stateAt returns what a node shows of a job, "" when it shows none. The oracle
// learns of a final state.
func (c *siteCell) stateAt(ctx context.Context, n *site.Node, id string) string {
	status, body, err := n.DoWithKey(ctx, c.key(id), http.MethodGet, site.QueuePrefix+id, nil)
	if err != nil || status != http.StatusOK {
		return ""
	}
	answer := struct {
		State string `json:"state"`
	}{}
	if err := json.Unmarshal(body, &answer); err != nil {
		c.t.Error(err)
	}
	if isFinal(answer.State) {
		c.RecordShownState(id, answer.State)
	}
	return answer.State
}

func isFinal(state string) bool {
	return state == "succeeded" || state == "failed" || state == "cancelled"
}

func (c *siteCell) awaitState(id, want string) {
	c.t.Helper()
	c.await("job "+id+" is "+want, func() bool { return c.state(id) == want })
}

// awaitAll waits until all accepted jobs have succeeded.
func (c *siteCell) awaitAll() {
	c.t.Helper()
	for _, id := range c.accepted {
		c.awaitState(id, "succeeded")
	}
}

func (c *siteCell) signal(n *site.Node, sig syscall.Signal) {
	c.t.Helper()
	if err := n.Signal(sig); err != nil {
		c.t.Fatal(err)
	}
}

// owner returns the node that logged last that it owns the shard.
func (c *siteCell) owner() *site.Node {
	var found *site.Node
	best := -1
	for _, n := range c.nodes {
		for line := range strings.Lines(n.Log()) {
			epoch := 0
			if i := strings.Index(line, `"shard owned"`); i >= 0 {
				if j := strings.Index(line, "epoch="); j >= 0 {
					_, _ = fmt.Sscanf(line[j:], "epoch=%d", &epoch)
				}
				if epoch > best {
					best, found = epoch, n
				}
			}
		}
	}
	return found
}

func small(count int, ms float64) jobStep {
	return jobStep{Count: count, CPU: 500, MemMb: 200, EstimatedMs: ms}
}

func TestSiteServesJobsOfSteps(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{HasPermissionService: true})
	for i := range 6 {
		second := small(2, 100)
		second.DependsOn = []int{0}
		if _, status := c.submit(c.nodes[i%3], "", small(5, 150), second); status != http.StatusOK {
			t.Errorf("job %d: got: %d, want: 200", i, status)
		}
	}
	c.awaitAll()
}

func TestSiteKeepsLastingTasksAndCancels(t *testing.T) {
	c := newSiteCell(t, 2, site.Options{})
	lasting := small(3, 0)
	lasting.Perpetual = true
	id := c.mustSubmit(lasting)
	c.await("all lasting tasks run", func() bool { return c.running() == 3 })
	c.Workers()[0].Crash()
	c.await("all lasting tasks run again", func() bool { return c.running() == 3 })
	status, _, err := c.nodes[0].Do(t.Context(), http.MethodDelete, site.QueuePrefix+id, nil)
	if err != nil || status != http.StatusOK {
		t.Errorf("cancel: got: %d, %v, want: 200", status, err)
	}
	c.await("nothing runs", func() bool { return c.running() == 0 })
	c.awaitState(id, "cancelled")
}

// A worker that had failed tasks that last got one of them again, and nothing more while that ran.
func TestSiteLastingTasksComeBackToAWorkerThatFailedThem(t *testing.T) {
	c := newSiteCell(t, 2, site.Options{Workers: 1})
	c.Workers()[0].SetFailsLongRunning(true)
	lasting := small(1, 0)
	lasting.Perpetual = true
	for range 3 {
		c.mustSubmit(lasting)
	}
	c.await("all have failed", func() bool { return c.Workers()[0].Starts() >= 3 && c.running() == 0 })
	c.Workers()[0].SetFailsLongRunning(false)
	c.await("all lasting tasks run", func() bool { return c.running() == 3 })
}

func (c *siteCell) running() int {
	n := 0
	for _, w := range c.Workers() {
		n += w.Running()
	}
	return n
}

func TestSiteRefusesBadJobs(t *testing.T) {
	c := newSiteCell(t, 1, site.Options{})
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
		t.Errorf("state of what was refused: got: %q, want: none", got)
	}
	if c.Starts() != 0 {
		t.Errorf("starts: got: %d, want: 0", c.Starts())
	}
}

func TestSiteSurvivesTheOwnersDeath(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{})
	for range 3 {
		c.mustSubmit(small(4, 1500), small(2, 100))
	}
	dead := c.owner()
	dead.Kill()
	c.mustSubmit(small(3, 200))
	c.awaitAll()
	if err := dead.Start(); err != nil {
		t.Fatal(err)
	}
	c.awaitReady(dead)
	c.mustSubmit(small(3, 200))
	c.awaitAll()
}

func TestSiteSurvivesAPausedOwner(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{})
	for range 3 {
		c.mustSubmit(small(4, 1500), small(2, 100))
	}
	paused := c.owner()
	c.signal(paused, syscall.SIGSTOP)
	c.await("another node owns the shard", func() bool { return c.owner() != paused })
	c.mustSubmit(small(3, 200))
	c.signal(paused, syscall.SIGCONT)
	c.awaitAll()
	c.awaitReady(paused)
}

func TestSitePlannedStopsInTurnCutNothing(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{})
	for _, n := range c.nodes {
		c.mustSubmit(small(4, 1000))
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

func TestSiteRefusesAtOnceWhileTheStoreIsOut(t *testing.T) {
	for _, mode := range []site.StoreMode{site.StoreBusy, site.StoreSilent} {
		t.Run(string(mode), func(t *testing.T) {
			c := newSiteCell(t, 3, site.Options{})
			second := small(2, 100)
			second.DependsOn = []int{0}
			id := c.mustSubmit(small(4, 2500), second)
			c.await("the first step runs", func() bool { return c.running() == 4 })
			c.Store.SetMode(mode)
			c.await("a job is refused", func() bool {
				_, status := c.submit(c.nodes[0], "", small(1, 100))
				return status == http.StatusServiceUnavailable
			})
			c.await("the second step runs", func() bool { return c.Starts() >= 6 })
			if got := c.state(id); got != "running" {
				t.Errorf("state while its end cannot be kept: got: %q, want: running", got)
			}
			c.Store.SetMode(site.StoreUp)
			c.awaitState(id, "succeeded")
		})
	}
}

func TestSiteSettlesLostAnswers(t *testing.T) {
	c := newSiteCell(t, 2, site.Options{})
	for i := range 4 {
		c.Store.LoseAnswers(i)
		c.Workers()[i].DropStartAnswers(1)
		c.mustSubmit(small(3, 200))
	}
	c.awaitAll()
}

func TestSiteGivesALeavingWorkerNothingNew(t *testing.T) {
	c := newSiteCell(t, 2, site.Options{Workers: 2})
	c.Workers()[0].Drain()
	c.await("the owner knows that a worker leaves", func() bool {
		return strings.Contains(c.owner().Log(), `"worker is leaving"`)
	})
	c.mustSubmit(small(6, 300))
	c.await("six tasks run", func() bool { return c.running() == 6 })
	if got := c.Workers()[0].Running(); got != 0 {
		t.Errorf("tasks on the leaving worker: got: %d, want: 0", got)
	}
	c.awaitAll()
}

func TestSiteSurvivesTheDeathOfAllNodes(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{})
	for range 3 {
		c.mustSubmit(small(4, 2000))
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
