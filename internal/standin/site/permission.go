// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"net/http"
	"time"
)

// SetPermissionMode sets how the permission service responds from now on, as the store does in that mode.
func (s *Site) SetPermissionMode(m StoreMode) {
	s.RecordDisturbance()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permissionMode = m
}

// disturbPermission responds to a permission query as the mode says, and reports whether it has answered it.
func (s *Site) disturbPermission(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	mode := s.permissionMode
	s.mu.Unlock()
	switch mode {
	case StoreBusy:
		w.WriteHeader(http.StatusTooManyRequests)
		return true
	case StoreSilent:
		s.Store.waitForDisconnect(r)
	case StoreSlow:
		select {
		case <-time.After(slowDelay):
		case <-s.stop:
		}
	case StoreUp:
	}
	return false
}
