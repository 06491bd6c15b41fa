// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package await lets tests wait for conditions that other goroutines bring about.
package await

import (
	"testing"
	"time"
)

const (
	// pollInterval is the time between two evaluations of the condition.
	pollInterval = 5 * time.Millisecond
	// timeout is long because tests also run on busy machines.
	timeout = 30 * time.Second
)

// True polls until the condition holds. If it does not hold within timeout, the test fails immediately
// with the description.
func True(t testing.TB, description string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	deadline := time.After(timeout)
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatal("timed out waiting for condition: " + description)
		}
	}
}
