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

// writer appends batches of one incarnation.
type writer struct {
	s      *state.State
	node   state.NodeID
	inc    uint64
	seq    uint64
	offset *int64
	millis int64
}

func (w *writer) put(records ...state.Record) state.Outcome {
	w.seq++
	return w.again(records...)
}

// again appends the last batch a second time, as after a lost reply.
func (w *writer) again(records ...state.Record) state.Outcome {
	*w.offset++
	return w.s.Apply(*w.offset, &state.Batch{Node: w.node, Incarnation: w.inc, Seq: w.seq, Millis: w.millis, Records: records})
}

func newWriter(s *state.State, offset *int64, n state.NodeID, inc uint64) *writer {
	w := &writer{s: s, node: n, inc: inc, offset: offset}
	w.put(state.Record{Join: &state.Join{Node: n, Incarnation: inc, Region: "r1"}})
	return w
}

func claim(shard state.ShardID, epoch uint64, n state.NodeID, inc uint64) state.Record {
	return state.Record{Claim: &state.Claim{Shard: shard, Epoch: epoch, Owner: n, Incarnation: inc}}
}

func TestFirstClaimOfAnEpochWins(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	a, b := newWriter(s, &offset, "a", 1), newWriter(s, &offset, "b", 1)
	if got := a.put(claim("rack/r1/k", 1, "a", 1)).Results[0]; got != nil {
		t.Errorf("the first: got: %v, want: nil", got)
	}
	for _, epoch := range []uint64{0, 1, 3} {
		if got := b.put(claim("rack/r1/k", epoch, "b", 1)).Results[0]; !errors.Is(got, state.ErrLost) {
			t.Errorf("epoch %d: got: %v, want: %v", epoch, got, state.ErrLost)
		}
	}
	if got := s.Shards["rack/r1/k"].Owner.Node; got != "a" {
		t.Errorf("got: owner %v, want: a", got)
	}
}

func TestClaimForAnEndedProcessIsRefused(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	a := newWriter(s, &offset, "a", 1)
	newWriter(s, &offset, "b", 1)
	newWriter(s, &offset, "b", 2)
	if got := a.put(claim("rack/r1/k", 1, "b", 1)).Results[0]; !errors.Is(got, state.ErrStale) {
		t.Errorf("got: %v, want: %v", got, state.ErrStale)
	}
}

func TestSecondCopyOfABatchHasNoEffect(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	w := newWriter(s, &offset, "a", 1)
	w.put(state.Record{Submit: &state.Submit{Spec: leverdyke.JobSpec{ID: "j", Tasks: 3}}})
	failed := state.Record{Finals: &state.Finals{Job: "j", Tasks: []int{0}, State: leverdyke.TaskFailed, Failures: 1}}
	w.put(failed)
	if got := w.again(failed).Err; !errors.Is(got, state.ErrDuplicate) {
		t.Errorf("got: %v, want: %v", got, state.ErrDuplicate)
	}
	if got := s.Jobs["j"].Failures; got != 1 {
		t.Errorf("got: %d failures, want: 1", got)
	}
}

func TestEndedIncarnationWritesNothing(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	old := newWriter(s, &offset, "a", 1)
	newWriter(s, &offset, "a", 2)
	if got := old.put(state.Record{Publish: &state.Publish{Doc: "d"}}).Err; !errors.Is(got, state.ErrStale) {
		t.Errorf("got: %v, want: %v", got, state.ErrStale)
	}
	if s.Docs["d"] != nil {
		t.Error("got: a document, want: none")
	}
}

func TestOffsetsBeforeTheAppliedOneChangeNothing(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	w := newWriter(s, &offset, "a", 1)
	w.put(state.Record{Publish: &state.Publish{Doc: "d", Body: []byte("new")}})
	late := &state.Batch{Node: "a", Incarnation: 1, Seq: 9, Records: []state.Record{{Publish: &state.Publish{Doc: "d", Base: 1}}}}
	if got := s.Apply(0, late).Err; !errors.Is(got, state.ErrDuplicate) {
		t.Errorf("got: %v, want: %v", got, state.ErrDuplicate)
	}
	if got := string(s.Docs["d"].Body); got != "new" {
		t.Errorf("got: %q, want: new", got)
	}
}

func TestFirstToHaveAKeyWinsAndKeysAgeOut(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	a, b := newWriter(s, &offset, "a", 1), newWriter(s, &offset, "b", 1)
	key := state.Record{Once: &state.Once{Key: [16]byte{7}}}
	if got := a.put(key).Results[0]; got != nil {
		t.Errorf("got: %v, want: nil", got)
	}
	for _, w := range []*writer{a, b} {
		if got := w.put(key).Results[0]; !errors.Is(got, state.ErrLost) {
			t.Errorf("%s: got: %v, want: %v", w.node, got, state.ErrLost)
		}
	}
	a.millis = state.OnceWindowMillis + 1
	a.put()
	if len(s.Keys) != 1 {
		t.Errorf("after one window: got: %d keys, want: 1", len(s.Keys))
	}
	a.millis = state.OnceWindowMillis + state.OnceSlackMillis + 1
	a.put()
	if len(s.Keys) != 0 {
		t.Errorf("after the slack: got: %d keys, want: 0", len(s.Keys))
	}
}

func TestIntentIsGivenOnce(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	a, b := newWriter(s, &offset, "a", 1), newWriter(s, &offset, "b", 1)
	a.put(state.Record{Submit: &state.Submit{Spec: leverdyke.JobSpec{ID: "j", Tasks: 2}}})
	first := a.put(state.Record{Intent: &state.Intent{Job: "j", Tasks: []int{1}}}).Results[0]
	second := b.put(state.Record{Intent: &state.Intent{Job: "j", Tasks: []int{0, 1}}}).Results[0]
	if first != nil || !errors.Is(second, state.ErrLost) {
		t.Errorf("got: %v, %v, want: nil, %v", first, second, state.ErrLost)
	}
	if got := s.Jobs["j"].Marks[0]; got != state.MarkNone {
		t.Errorf("a refused intent marks nothing: got: %v, want: %v", got, state.MarkNone)
	}
}

func TestPastOwnersAreKeptUntilTheyHaveEnded(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	a, b, c := newWriter(s, &offset, "a", 1), newWriter(s, &offset, "b", 1), newWriter(s, &offset, "c", 1)
	a.put(claim("rack/r1/k", 1, "a", 1))
	b.put(claim("rack/r1/k", 2, "b", 1))
	c.put(claim("rack/r1/k", 3, "c", 1))
	want := []state.Owner{{Node: "a", Incarnation: 1}, {Node: "b", Incarnation: 1}}
	if got := s.Shards["rack/r1/k"].Past; !reflect.DeepEqual(got, want) {
		t.Errorf("got: %v, want: %v", got, want)
	}
	c.put(state.Record{Leave: &state.Leave{Node: "a", Incarnation: 1}})
	c.put(claim("rack/r1/k", 4, "c", 1))
	if got := s.Shards["rack/r1/k"].Past; !reflect.DeepEqual(got, want[1:]) {
		t.Errorf("after one has left: got: %v, want: %v", got, want[1:])
	}
}

func TestMembersThatLeftAreForgottenUnlessAShardNamesThem(t *testing.T) {
	s, offset := state.NewState(), int64(-1)
	owner := newWriter(s, &offset, "owner", 1)
	owner.put(claim("rack/r1/k", 1, "owner", 1))
	owner.put(state.Record{Leave: &state.Leave{Node: "owner", Incarnation: 1}})
	for i := range 200 {
		id := state.NodeID(fmt.Sprint("n", i))
		newWriter(s, &offset, id, 1).put(state.Record{Leave: &state.Leave{Node: id, Incarnation: 1}})
	}
	if got := len(s.Members); got > 65 {
		t.Errorf("got: %d members, want: at most 65", got)
	}
	if !s.IsEnded(state.Owner{Node: "owner", Incarnation: 1}) {
		t.Error("the owner: got: not known to have ended, want: known")
	}
}

// randomBatch makes a batch out of a number; most have some effect.
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
		b.Records = append(b.Records, state.Record{Finals: &state.Finals{Job: job, Tasks: []int{r.Intn(5)}, State: leverdyke.TaskDone}})
	case 4:
		b.Records = append(b.Records, state.Record{Publish: &state.Publish{Doc: "d", Base: uint64(r.Intn(4)), Body: []byte{byte(r.Intn(256))}}})
	case 5:
		b.Records = append(b.Records, state.Record{Once: &state.Once{Key: [16]byte{byte(r.Intn(9))}}})
	case 6:
		b.Records = append(b.Records, state.Record{Cancel: &state.Cancel{Job: job}})
	}
	return b
}

// TestSnapshotAnywhereContinuesAsTheFold compares a fold with one that goes on
// from a snapshot, and with one that meets every batch twice.
func TestSnapshotAnywhereContinuesAsTheFold(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng = rand.New(rand.NewSource(1))
	properties := gopter.NewProperties(parameters)
	properties.Property("same state", prop.ForAll(func(seed int64, at int) bool {
		r, seq := rand.New(rand.NewSource(seed)), map[state.NodeID]uint64{}
		whole, resumed, doubled := state.NewState(), state.NewState(), state.NewState()
		for i := range 60 {
			b := randomBatch(r, seq)
			whole.Apply(int64(i), b)
			resumed.Apply(int64(i), b)
			doubled.Apply(int64(2*i), b)
			doubled.Apply(int64(2*i+1), b)
			if i == at {
				resumed = throughLog(t, resumed)
			}
		}
		doubled.Applied = whole.Applied
		clearOffsets(whole, resumed, doubled)
		return equal(t, whole, resumed) && equal(t, whole, doubled)
	}, gen.Int64(), gen.IntRange(0, 59)))
	properties.TestingRun(t)
}

// throughLog sends a state through its chunks, in reverse order.
func throughLog(t *testing.T, s *state.State) *state.State {
	t.Helper()
	records, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	a := state.Assembler{}
	for i := len(records) - 1; i >= 0; i-- {
		got, err := a.Add(state.Owner{Node: "a"}, records[i].Chunk)
		if err != nil {
			t.Fatal(err)
		}
		if got != nil {
			return got
		}
	}
	t.Fatal("got: no whole snapshot, want: one")
	return nil
}

// clearOffsets makes folds comparable that saw the batches at other offsets.
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
		for _, h := range s.Shards {
			h.Offset = 0
		}
	}
}

func equal(t *testing.T, a, b *state.State) bool {
	t.Helper()
	x, err := throughLog(t, a).Marshal()
	if err != nil {
		t.Fatal(err)
	}
	y, err := throughLog(t, b).Marshal()
	if err != nil {
		t.Fatal(err)
	}
	// Maps have no order: compare what they decode to.
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
