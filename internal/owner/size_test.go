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
// bornAt.
func progressOf(tasks int, bornAt time.Time) *work.Progress {
	s := work.StepProgress{Run: 1}
	for i := range tasks {
		id := order.NewWorkerID(fmt.Sprintf("i-%010x", 7919*i), bornAt)
		s.Placements = append(s.Placements, work.Placement{Index: i, Worker: string(id), Run: 1})
	}
	return &work.Progress{State: work.JobRunning, Rounds: map[int][]work.StepProgress{0: {s}}}
}

// An owner writes each job that has changed, several times a second. With the names of
// fields in each place this job takes 1,194 bytes. Where workers tell when they started, the
// start of each is kept with its name.
func TestAJobsRecordIsSmall(t *testing.T) {
	expectSmall(t, progressOf(26, time.Time{}), 560)
	expectSmall(t, progressOf(26, time.UnixMilli(1791916135672)), 800)
}

func expectSmall(t *testing.T, p *work.Progress, most int) {
	t.Helper()
	parts, err := owner.EncodeBatch(&dispatch.Batch{Progress: map[work.JobID]*work.Progress{"a": p}})
	if err != nil {
		t.Fatal(err)
	}
	data := parts[0][0].Value
	if got := len(data); got > most {
		t.Errorf("bytes of a job of 26 tasks that run: got: %d, want: at most %d", got, most)
	}
	back := &work.Progress{}
	if err := codec.Unmarshal(data, back); err != nil || !reflect.DeepEqual(back.Rounds, p.Rounds) {
		t.Errorf("read again: got: %+v, %v, want: %+v", back, err, p)
	}
}

// Records of an earlier version have the names of the fields of places and failures.
func TestRecordsOfAnEarlierVersionAreRead(t *testing.T) {
	type earlierPlace struct {
		Index  int
		Worker string
		Run    uint64
	}
	type earlierStep struct {
		Done     []byte
		Failures []earlierPlace
		Places   []earlierPlace
		Saved    map[int]string
		Run      uint64
	}
	data, err := msgpack.Marshal(&struct {
		State  work.JobState
		Rounds map[int][]earlierStep
	}{work.JobRunning, map[int][]earlierStep{0: {{
		Done: []byte{1}, Failures: []earlierPlace{{1, "w", 2}}, Places: []earlierPlace{{2, "v", 3}}, Run: 3,
	}}}})
	if err != nil {
		t.Fatal(err)
	}
	back := &work.Progress{}
	err = codec.Unmarshal(data, back)
	if err != nil || back.State != work.JobRunning || len(back.Rounds[0]) != 1 {
		t.Fatalf("got: %+v, %v, want: one step", back, err)
	}
	s := back.Rounds[0][0]
	if s.Failures[0] != (work.Failure{Index: 1, Worker: "w", Run: 2}) || s.Placements[0] != (work.Placement{Index: 2, Worker: "v", Run: 3}) || !s.IsDone(0) {
		t.Errorf("got: %+v, want: what was written", s)
	}
}
