// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/work"
)

// progressOf returns the progress of a job whose tasks all run, on workers that started at
// startedAt.
func progressOf(tasks int, startedAt time.Time) *work.Progress {
	s := work.StepProgress{Run: 1}
	for i := range tasks {
		id := order.NewWorkerID(fmt.Sprintf("i-%010x", 7919*i), startedAt)
		s.Placements = append(s.Placements, work.Placement{Index: i, Worker: string(id), Run: 1})
	}
	return &work.Progress{State: work.JobRunning, Rounds: map[int][]work.StepProgress{0: {s}}}
}

// An owner writes each changed job several times a second. With field names in each placement the
// record of this job takes 1,194 bytes. Where workers report when they started, that time is stored
// with the worker's name.
func TestJobRecordIsSmall(t *testing.T) {
	checkRecordSize(t, progressOf(26, time.Time{}), 560)
	checkRecordSize(t, progressOf(26, time.UnixMilli(1791916135672)), 800)
}

func checkRecordSize(t *testing.T, p *work.Progress, maxBytes int) {
	t.Helper()
	parts, err := owner.EncodeBatch(&dispatch.Batch{Progress: map[work.JobID]*work.Progress{"a": p}})
	if err != nil {
		t.Fatal(err)
	}
	data := parts[0][0].Value
	if got := len(data); got > maxBytes {
		t.Errorf("bytes of a job of 26 tasks that run: got: %d, want: at most %d", got, maxBytes)
	}
	decoded := &work.Progress{}
	if err := codec.Unmarshal(data, decoded); err != nil || !reflect.DeepEqual(decoded.Rounds, p.Rounds) {
		t.Errorf("decoded: got: %+v, %v, want: %+v", decoded, err, p)
	}
}

// Records of an earlier version contain the field names of placements and failures. A new version
// that could not read them would lose the jobs.
func TestRecordsOfEarlierVersionAreRead(t *testing.T) {
	type previousPlacement struct {
		Index  int
		Worker string
		Run    uint64
	}
	type previousStep struct {
		Done     []byte
		Failures []previousPlacement
		Places   []previousPlacement
		Saved    map[int]string
		Run      uint64
	}
	data, err := msgpack.Marshal(&struct {
		State  work.JobState
		Rounds map[int][]previousStep
	}{work.JobRunning, map[int][]previousStep{0: {{
		Done: []byte{1}, Failures: []previousPlacement{{1, "w", 2}}, Places: []previousPlacement{{2, "v", 3}}, Run: 3,
	}}}})
	if err != nil {
		t.Fatal(err)
	}
	decoded := &work.Progress{}
	err = codec.Unmarshal(data, decoded)
	if err != nil || decoded.State != work.JobRunning || len(decoded.Rounds[0]) != 1 {
		t.Fatalf("got: %+v, %v, want: one step", decoded, err)
	}
	s := decoded.Rounds[0][0]
	if s.Failures[0] != (work.Failure{Index: 1, Worker: "w", Run: 2}) || s.Placements[0] != (work.Placement{Index: 2, Worker: "v", Run: 3}) || !s.IsDone(0) {
		t.Errorf("got: %+v, want: what was written", s)
	}
}
