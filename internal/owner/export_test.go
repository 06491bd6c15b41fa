// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import "time"

// LagMeter lets tests drive a lagMeter.
type LagMeter struct{ m lagMeter }

// Tick takes a tick.
func (l *LagMeter) Tick(now time.Time, period time.Duration) { l.m.tick(now, period) }

// Share returns the part of the time that ticks are late.
func (l *LagMeter) Share() float64 { return l.m.share }
