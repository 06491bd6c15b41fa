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
	pause = 5 * time.Millisecond
	// patience is how long a busy machine may take.
	patience = 30 * time.Second
)

// True polls until the condition holds, and ends the test when it never does.
func True(t testing.TB, what string, holds func() bool) {
	t.Helper()
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	tooLate := time.After(patience)
	for !holds() {
		select {
		case <-ticker.C:
		case <-tooLate:
			t.Fatal("not in time: " + what)
		}
	}
}
