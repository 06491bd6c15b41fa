// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// Guards against jobs that stand still for over 7 s in all, where a worker falls silent and the owner is lost for good.
func TestSiteTaskOfASilentWorkerStartsAgainInTimeAfterATakeover(t *testing.T) {
	c := newSiteCluster(t, 5, site.Options{Workers: 6})
	silent := c.fillOneWorker()
	c.await("the owner is old enough", elapsed(2*time.Second))
	silent.CrashSilently()
	c.await("the owner is due to be lost", elapsed(300*time.Millisecond))
	lost := c.owner()
	lost.Kill()
	// The steps of this job take as long as a job may stand still.
	other := c.mustSubmit(taskChain(7, 1000)...)
	c.awaitState(other, "succeeded")
	if got, want := c.Starts(), 1+7+1; got != want {
		t.Errorf("starts once the other job has succeeded: got: %d, want: %d: the task of the silent worker still waits", got, want)
	}
}
