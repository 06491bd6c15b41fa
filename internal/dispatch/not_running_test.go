// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/events"
)

func TestALastingTaskThatIsAwayIsTold(t *testing.T) {
	w := newWorld(1)
	told := 0
	w.log = func(e events.Event, _ ...any) {
		if e == events.TaskNotRunning {
			told++
		}
	}
	w.takeOver()
	w.addWorkers(1, room)
	lasting := step(1, time.Hour)
	lasting.IsLongRunning = true
	w.submit("a", lasting)
	w.run(6 * time.Second)
	if told > 0 {
		t.Errorf("lines on a task that runs: got: %d, want: none", told)
	}
	w.workers["w00"].entry.IsDraining = true
	w.run(6 * time.Second)
	if told < 2 || told > 3 {
		t.Errorf("lines on a task that is away for 6 s: got: %d, want: one a second from 3 s on", told)
	}
}
