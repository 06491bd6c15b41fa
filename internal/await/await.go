// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package await lets tests wait for what other goroutines do.
package await

import (
	"testing"
	"time"
)

const (
	// pause is the time between two looks.
	pollInterval = 5 * time.Millisecond
	// patience is how long a busy machine may take.
	timeout = 30 * time.Second
)

// True polls until the condition holds, and ends the test when it never does.
func True(t testing.TB, description string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	deadline := time.After(timeout)
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatal("not in time: " + description)
		}
	}
}
