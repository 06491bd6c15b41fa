// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package work_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/work"
)

// A caller must not see or cancel the jobs of other customers.
func TestMayAccess(t *testing.T) {
	own := &work.Spec{Queue: "q", Customer: "a"}
	for name, tc := range map[string]struct {
		caller work.Caller
		job    *work.Spec
		want   bool
	}{
		"its customer":                         {work.Caller{Customer: "a"}, own, true},
		"another customer":                     {work.Caller{Customer: "b"}, own, false},
		"nobody":                               {work.Caller{}, own, false},
		"through its queue, which is public":   {work.Caller{PublicQueue: "q"}, own, true},
		"through another public queue":         {work.Caller{PublicQueue: "p"}, own, false},
		"another one through its public queue": {work.Caller{Customer: "b", PublicQueue: "q"}, own, true},
		"a job without a customer":             {work.Caller{Customer: "b"}, &work.Spec{Queue: "q"}, true},
		"ended, so that its queue is not kept": {work.Caller{PublicQueue: "q"}, &work.Spec{Customer: "a"}, false},
		"neither has a queue":                  {work.Caller{}, &work.Spec{Customer: "a"}, false},
		"its submitter":                        {own.Submitter(), own, true},
	} {
		if got := tc.caller.MayAccess(tc.job); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}
