// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

// updateOutlasted passes the runs under which a crash would be no evidence on to the next record.
func (o *Owner) updateOutlasted() {
	if o.now.Before(o.nextOutlasted) {
		return
	}
	o.nextOutlasted = o.now.Add(HeartbeatPeriod)
	runs := o.engine.OutlastedRuns()
	o.mu.Lock()
	o.outlasted = runs
	o.mu.Unlock()
}
