// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package state_test

import (
	"errors"
	"fmt"
	"math/rand"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/state"
)

// batchWriter numbers the batches of one incarnation and applies them to s. The
// writers of a test share offset.
type batchWriter struct {
	s           *state.State
	node        state.NodeID
	incarnation uint64
	seq         uint64
	offset      *int64
	millis      int64
}

func (w *batchWriter) write(records ...state.Record) state.Outcome {
	w.seq++
	return w.writeAgain(records...)
}

// writeAgain applies a batch with the sequence number of the last one, as when
// a writer retries an append whose reply was lost.
func (w *batchWriter) writeAgain(records ...state.Record) state.Outcome {
	*w.offset++
	return w.s.Apply(*w.offset, &state.Batch{Node: w.node, Incarnation: w.incarnation, Seq: w.seq, Millis: w.millis, Records: records})
}

// joinNode applies the Join of an incarnation and returns its writer.
func joinNode(s *state.State, offset *int64, n state.NodeID, inc uint64) *batchWriter {
	w := &batchWriter{s: s, node: n, incarnation: inc, offset: offset}
	w.write(state.Record{Join: &state.Join{Node: n, Incarnation: inc, Region: "r1"}})
	return w
}

func claim(shard state.ShardID, epoch uint64, n state.NodeID, inc uint64) state.Record {
	return state.Record{Claim: &state.Claim{Shard: shard, Epoch: epoch, Owner: n, Incarnation: inc}}
}

func TestFirstClaimOfAnEpochWins(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	a, b := joinNode(s, &offset, "a", 1), joinNode(s, &offset, "b", 1)
	if got := a.write(claim("rack/r1/k", 1, "a", 1)).Results[0]; got != nil {
		t.Errorf("first claim: got: %v, want: nil", got)
	}
	for _, epoch := range []uint64{0, 1, 3} {
		if got := b.write(claim("rack/r1/k", epoch, "b", 1)).Results[0]; !errors.Is(got, state.ErrNotFirst) {
			t.Errorf("epoch %d: got: %v, want: %v", epoch, got, state.ErrNotFirst)
		}
	}
	if got := s.Shards["rack/r1/k"].Owner.Node; got != "a" {
		t.Errorf("got: owner %v, want: a", got)
	}
}

func TestClaimForAnEndedProcessIsRejected(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	a := joinNode(s, &offset, "a", 1)
	joinNode(s, &offset, "b", 1)
	joinNode(s, &offset, "b", 2)
	if got := a.write(claim("rack/r1/k", 1, "b", 1)).Results[0]; !errors.Is(got, state.ErrStaleIncarnation) {
		t.Errorf("got: %v, want: %v", got, state.ErrStaleIncarnation)
	}
}

// An append whose reply is lost is retried and may put the batch into the log
// twice. If the copy took effect, the failures of its tasks would count twice.
func TestDuplicateBatchHasNoEffect(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	w := joinNode(s, &offset, "a", 1)
	w.write(state.Record{Submit: &state.Submit{Spec: leverdyke.JobSpec{ID: "j", Tasks: 3}}})
	failed := state.Record{TaskResults: &state.TaskResults{Job: "j", Tasks: []int{0}, State: leverdyke.TaskFailed, Failures: 1}}
	w.write(failed)
	if got := w.writeAgain(failed).Err; !errors.Is(got, state.ErrAlreadyApplied) {
		t.Errorf("got: %v, want: %v", got, state.ErrAlreadyApplied)
	}
	if got := s.Jobs["j"].Failures; got != 1 {
		t.Errorf("got: %d failures, want: 1", got)
	}
}

// A process that was replaced may still append. Its batches must not take effect
// after the Join of the next incarnation.
func TestBatchOfAnEndedIncarnationIsRejected(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	old := joinNode(s, &offset, "a", 1)
	joinNode(s, &offset, "a", 2)
	if got := old.write(state.Record{Publish: &state.Publish{Doc: "d"}}).Err; !errors.Is(got, state.ErrStaleIncarnation) {
		t.Errorf("got: %v, want: %v", got, state.ErrStaleIncarnation)
	}
	if s.Docs["d"] != nil {
		t.Error("got: a document, want: none")
	}
}

func TestOffsetsUpToTheAppliedOneHaveNoEffect(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	w := joinNode(s, &offset, "a", 1)
	w.write(state.Record{Publish: &state.Publish{Doc: "d", Body: []byte("new")}})
	late := &state.Batch{Node: "a", Incarnation: 1, Seq: 9, Records: []state.Record{{Publish: &state.Publish{Doc: "d", Base: 1}}}}
	if got := s.Apply(0, late).Err; !errors.Is(got, state.ErrAlreadyApplied) {
		t.Errorf("got: %v, want: %v", got, state.ErrAlreadyApplied)
	}
	if got := string(s.Docs["d"].Body); got != "new" {
		t.Errorf("got: %q, want: new", got)
	}
}

func TestFirstUseOfAnIdempotencyKeyWinsAndKeysExpire(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	a, b := joinNode(s, &offset, "a", 1), joinNode(s, &offset, "b", 1)
	key := state.Record{IdempotencyKey: &state.IdempotencyKey{Key: [16]byte{7}}}
	if got := a.write(key).Results[0]; got != nil {
		t.Errorf("got: %v, want: nil", got)
	}
	for _, w := range []*batchWriter{a, b} {
		if got := w.write(key).Results[0]; !errors.Is(got, state.ErrNotFirst) {
			t.Errorf("%s: got: %v, want: %v", w.node, got, state.ErrNotFirst)
		}
	}
	a.millis = state.KeyWindowMillis + 1
	a.write()
	if len(s.IdempotencyKeys) != 1 {
		t.Errorf("after one window: got: %d keys, want: 1", len(s.IdempotencyKeys))
	}
	a.millis = state.KeyWindowMillis + state.KeyClockSkewMillis + 1
	a.write()
	if len(s.IdempotencyKeys) != 0 {
		t.Errorf("after the window and the clock skew: got: %d keys, want: 0", len(s.IdempotencyKeys))
	}
}

func TestSecondIntentForATaskIsRejected(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	a, b := joinNode(s, &offset, "a", 1), joinNode(s, &offset, "b", 1)
	a.write(state.Record{Submit: &state.Submit{Spec: leverdyke.JobSpec{ID: "j", Tasks: 2}}})
	first := a.write(state.Record{Intent: &state.Intent{Job: "j", Tasks: []int{1}}}).Results[0]
	second := b.write(state.Record{Intent: &state.Intent{Job: "j", Tasks: []int{0, 1}}}).Results[0]
	if first != nil || !errors.Is(second, state.ErrNotFirst) {
		t.Errorf("got: %v, %v, want: nil, %v", first, second, state.ErrNotFirst)
	}
	if got := s.Jobs["j"].TaskStates[0]; got != state.RecordedNothing {
		t.Errorf("other task of the rejected intent: got: %v, want: %v", got, state.RecordedNothing)
	}
}

// A new owner must wait for every previous owner that may still renew leases. A
// list with only the last one would miss an owner that never saw that it was
// replaced.
func TestPreviousOwnersAreListedUntilTheyHaveEnded(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	a, b, c := joinNode(s, &offset, "a", 1), joinNode(s, &offset, "b", 1), joinNode(s, &offset, "c", 1)
	a.write(claim("rack/r1/k", 1, "a", 1))
	b.write(claim("rack/r1/k", 2, "b", 1))
	c.write(claim("rack/r1/k", 3, "c", 1))
	want := []state.Process{{Node: "a", Incarnation: 1}, {Node: "b", Incarnation: 1}}
	if got := s.Shards["rack/r1/k"].PreviousOwners; !reflect.DeepEqual(got, want) {
		t.Errorf("got: %v, want: %v", got, want)
	}
	c.write(state.Record{Leave: &state.Leave{Node: "a", Incarnation: 1}})
	c.write(claim("rack/r1/k", 4, "c", 1))
	if got := s.Shards["rack/r1/k"].PreviousOwners; !reflect.DeepEqual(got, want[1:]) {
		t.Errorf("after one has left: got: %v, want: %v", got, want[1:])
	}
}

func TestDepartedMembersAreRemovedUnlessAShardNamesThem(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	owner := joinNode(s, &offset, "owner", 1)
	owner.write(claim("rack/r1/k", 1, "owner", 1))
	owner.write(state.Record{Leave: &state.Leave{Node: "owner", Incarnation: 1}})
	for i := range 200 {
		id := state.NodeID(fmt.Sprint("n", i))
		joinNode(s, &offset, id, 1).write(state.Record{Leave: &state.Leave{Node: id, Incarnation: 1}})
	}
	if got := len(s.Members); got > 65 {
		t.Errorf("got: %d members, want: at most 65", got)
	}
	if !s.IsEnded(state.Process{Node: "owner", Incarnation: 1}) {
		t.Error("owner of the shard: got: not known to have ended, want: known")
	}
}

// randomBatch returns the next batch of a random node; most batches have an
// effect. seq has the last sequence number of each node.
func randomBatch(r *rand.Rand, seq map[state.NodeID]uint64) *state.Batch {
	n := state.NodeID([]string{"a", "b", "c"}[r.Intn(3)])
	seq[n]++
	b := &state.Batch{Node: n, Incarnation: 1, Seq: seq[n], Millis: int64(seq[n]) * 1000}
	if seq[n] == 1 {
		b.Records = append(b.Records, state.Record{Join: &state.Join{Node: n, Incarnation: 1, Region: "r1"}})
		return b
	}
	job := []string{"j1", "j2", "j3"}[r.Intn(3)]
	switch r.Intn(7) {
	case 0:
		b.Records = append(b.Records, claim("rack/r1/k", uint64(r.Intn(6)), n, 1))
	case 1:
		b.Records = append(b.Records, state.Record{Submit: &state.Submit{Spec: leverdyke.JobSpec{ID: job, Tasks: 4}}})
	case 2:
		b.Records = append(b.Records, state.Record{Intent: &state.Intent{Job: job, Tasks: []int{r.Intn(5)}}})
	case 3:
		b.Records = append(b.Records, state.Record{TaskResults: &state.TaskResults{Job: job, Tasks: []int{r.Intn(5)}, State: leverdyke.TaskDone}})
	case 4:
		b.Records = append(b.Records, state.Record{Publish: &state.Publish{Doc: "d", Base: uint64(r.Intn(4)), Body: []byte{byte(r.Intn(256))}}})
	case 5:
		b.Records = append(b.Records, state.Record{IdempotencyKey: &state.IdempotencyKey{Key: [16]byte{byte(r.Intn(9))}}})
	case 6:
		b.Records = append(b.Records, state.Record{Cancel: &state.Cancel{Job: job}})
	}
	return b
}

// TestSnapshotAtAnyOffsetRestoresTheSameState compares a state that applied
// every batch once with one that was restored from a snapshot on the way, and
// with one that read every batch twice.
func TestSnapshotAtAnyOffsetRestoresTheSameState(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng = rand.New(rand.NewSource(1))
	properties := gopter.NewProperties(parameters)
	properties.Property("same state", prop.ForAll(func(seed int64, snapshotAt int) bool {
		r, seq := rand.New(rand.NewSource(seed)), map[state.NodeID]uint64{}
		reference, restored, duplicated := state.NewState(), state.NewState(), state.NewState()
		for i := range 60 {
			b := randomBatch(r, seq)
			reference.Apply(int64(i), b)
			restored.Apply(int64(i), b)
			duplicated.Apply(int64(2*i), b)
			duplicated.Apply(int64(2*i+1), b)
			if i == snapshotAt {
				restored = roundTripChunks(t, restored)
			}
		}
		duplicated.Applied = reference.Applied
		clearOffsets(reference, restored, duplicated)
		return equal(t, reference, restored) && equal(t, reference, duplicated)
	}, gen.Int64(), gen.IntRange(0, 59)))
	properties.TestingRun(t)
}

// roundTripChunks returns the state that an Assembler makes from the chunks of
// s in reverse order.
func roundTripChunks(t *testing.T, s *state.State) *state.State {
	t.Helper()
	records, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	a := state.Assembler{}
	for i := len(records) - 1; i >= 0; i-- {
		got, err := a.Add(state.Process{Node: "a"}, records[i].Chunk)
		if err != nil {
			t.Fatal(err)
		}
		if got != nil {
			return got
		}
	}
	t.Fatal("got: no complete snapshot, want: one")
	return nil
}

// clearOffsets makes states comparable that applied the same batches at
// different offsets.
func clearOffsets(states ...*state.State) {
	for _, s := range states {
		for _, m := range s.Members {
			m.Offset = 0
		}
		for _, d := range s.Docs {
			d.Offset = 0
			for i := range d.History {
				d.History[i].Offset = 0
			}
		}
		for _, j := range s.Jobs {
			j.Offset = 0
		}
		for _, shard := range s.Shards {
			shard.Offset = 0
		}
	}
}

// equal compares the states after a round trip through chunks and encoding.
func equal(t *testing.T, a, b *state.State) bool {
	t.Helper()
	x, err := roundTripChunks(t, a).Marshal()
	if err != nil {
		t.Fatal(err)
	}
	y, err := roundTripChunks(t, b).Marshal()
	if err != nil {
		t.Fatal(err)
	}
	// The encoded bytes differ because maps have no order, so compare the
	// decoded states.
	p, _ := state.Unmarshal(x)
	q, _ := state.Unmarshal(y)
	return reflect.DeepEqual(p, q)
}

func FuzzDecodeBatch(f *testing.F) {
	good := &state.Batch{Node: "a", Incarnation: 1, Seq: 1, Records: []state.Record{claim("rack/r1/k", 1, "a", 1)}}
	data, err := good.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte{0x81, 0xa1, 'r', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := state.DecodeBatch(data)
		if err != nil {
			return
		}
		s := state.NewState()
		s.Apply(0, &state.Batch{Node: b.Node, Incarnation: b.Incarnation, Seq: 1, Records: []state.Record{{Join: &state.Join{Node: b.Node, Incarnation: b.Incarnation}}}})
		s.Apply(1, b)
		if s.Applied != 1 {
			t.Errorf("got: %d, want: 1", s.Applied)
		}
	})
}

func FuzzUnmarshalState(f *testing.F) {
	data, err := state.NewState().Marshal()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = state.Unmarshal(data) })
}
