// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import "time"

// LapseEntries removes the entries of all workers from the store. The workers run on, but write no entry
// before RestoreEntry, as in an outage of the store that outlasts the entries.
func (s *Site) LapseEntries() {
	for _, w := range s.Workers() {
		w.mu.Lock()
		w.hasLapsedEntry = true
		w.mu.Unlock()
		w.removeEntry()
	}
}

// RestoreEntry makes the worker write its entry again, after a delay and then with each heartbeat.
func (w *Worker) RestoreEntry(after time.Duration) {
	time.AfterFunc(after, func() {
		w.mu.Lock()
		w.hasLapsedEntry = false
		w.mu.Unlock()
		w.heartbeat()
	})
}
