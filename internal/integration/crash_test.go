// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"net/http"
	"testing"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// submitCrashing hands in a job whose first task crashes its workers.
func (c *siteCell) submitCrashing(steps ...jobStep) string {
	c.t.Helper()
	id := ""
	c.await("a job is accepted", func() bool {
		status := 0
		id, status = c.submit(c.nodes[0], "crash", steps...)
		return status == http.StatusOK
	})
	return id
}

// The story is told at TestATaskThatCrashesWorkersIsGivenUp of the dispatch package: here
// the real programs play it. The stand-in's oracle counts the crashes and the starts.
func TestSiteATaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	c := newSiteCell(t, 3, site.Options{Workers: 8})
	bad := c.submitCrashing(small(4, 300))
	good := c.mustSubmit(small(8, 300), small(4, 300))
	c.await("the job with the task is given up", func() bool { return c.state(bad) == "failed" })
	c.await("the other job succeeds", func() bool { return c.state(good) == "succeeded" })
	if got := c.CrashesUnder(bad + ".0.0.0"); got < 2 || got > 3 {
		t.Errorf("workers that crashed under the task: got: %d, want: 2 or 3", got)
	}
}
