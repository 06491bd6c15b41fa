// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package events_test

import (
	"flag"
	"io"
	"testing"

	"k8s.io/klog/v2"

	"github.com/leverdyke/leverdyke/internal/events"
)

// BenchmarkDecisionLine measures the time and allocations of the log line that is written
// for each scheduling decision.
func BenchmarkDecisionLine(b *testing.B) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("logtostderr", "false"); err != nil {
		b.Fatal(err)
	}
	klog.SetOutput(io.Discard)
	b.ReportAllocs()
	for b.Loop() {
		events.Log(events.TaskPlaced, "task", "job/1.7", "worker", "w1", "why", "best of the rack", "runnerUp", "w2", "rack", "rack/r1/k1")
	}
}
