// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package failover_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/failover"
)

const (
	mainTopic  = "jobs"
	spillTopic = "jobs-spill"
)

var (
	firstSeed = flag.Uint64("seed", 1, "the first seed of the random histories")
	histories = flag.Uint64("histories", 400, "how many random histories are played")
)

// history plays random appends, outages and takeovers, and knows what the store must have.
type history struct {
	t     *testing.T
	rng   *rand.Rand
	store *modelStore
	log   *failover.Log
	// former is the log of the previous writer, formerBatch what it appends again.
	former      *failover.Log
	formerBatch []store.Record
	epoch       uint64
	// stored has the values of all acknowledged appends by key; "" is a removed key.
	stored map[string]string
	// refused has the values that were certainly refused.
	refused map[string]bool
	// open are the records whose outcome is unknown.
	open    []store.Record
	batches int
}

func newHistory(t *testing.T, seed uint64) *history {
	rng := rand.New(rand.NewPCG(seed, 0))
	h := &history{t: t, rng: rng, store: newModelStore(rng), stored: map[string]string{}, refused: map[string]bool{}}
	h.takeOver()
	return h
}

// takeOver lets the next writer fence and read both topics. Whatever was acknowledged must be there
// and nothing that was refused.
func (h *history) takeOver() {
	h.store.serveAll()
	h.epoch++
	for _, topic := range []string{mainTopic, spillTopic} {
		for {
			if _, err := h.store.Append(h.t.Context(), &store.Append{Topic: topic, Writer: &store.Writer{Name: "w", Epoch: h.epoch}}); err == nil {
				break
			}
		}
	}
	main, _ := h.store.ReadNewest(h.t.Context(), mainTopic)
	spill, _ := h.store.ReadNewest(h.t.Context(), spillTopic)
	h.check(failover.Merge(main, spill))
	h.former, h.formerBatch = h.log, h.open
	if h.formerBatch == nil {
		h.formerBatch = h.newBatch()
	}
	h.log = failover.New(failover.Options{
		Store: h.store, Topic: mainTopic, SpillTopic: spillTopic, Name: "w", Epoch: h.epoch, MaxAppendBytes: 40,
		OnUnexpectedOffset: func(topic string, offset, want uint64, records int) {
			h.t.Errorf("epoch %d, append of %d records to %s: got: at %d, want: at %d", h.epoch, records, topic, offset, want)
		},
	}, main, spill)
}

// check compares what a new writer reads with what was acknowledged. Records without a known outcome
// may be there or not; from now on it is known.
func (h *history) check(newest *store.Newest) {
	read := map[string]string{}
	for _, r := range newest.Records {
		read[r.Key] = string(r.Value)
	}
	for _, r := range h.open {
		if read[r.Key] == string(r.Value) {
			h.stored[r.Key] = string(r.Value)
		}
	}
	h.open = nil
	for _, key := range keys {
		if got, want := read[key], h.stored[key]; got != want {
			h.t.Errorf("%s after a takeover by epoch %d: got: %q, want: %q", key, h.epoch, got, want)
		}
		if h.refused[read[key]] {
			h.t.Errorf("%s after a takeover by epoch %d: got: %q, which was refused", key, h.epoch, read[key])
		}
	}
}

var keys = []string{"a", "b", "c", "d", "e"}

// newBatch returns records that set or remove some keys; each value is used once.
func (h *history) newBatch() []store.Record {
	h.batches++
	records := []store.Record{}
	for _, key := range keys {
		switch h.rng.IntN(5) {
		case 0:
			records = append(records, store.Record{Key: key})
		case 1, 2:
			records = append(records, store.Record{Key: key, Value: fmt.Appendf(nil, "%s%d", key, h.batches)})
		}
	}
	if len(records) == 0 {
		records = append(records, store.Record{Key: "a", Value: fmt.Appendf(nil, "a%d", h.batches)})
	}
	return records
}

// appendBatch appends a new batch, or repeats the one whose outcome is unknown.
func (h *history) appendBatch() {
	batch := h.open
	if batch == nil {
		batch = h.newBatch()
	}
	err := h.log.Append(h.t.Context(), batch)
	switch {
	case err == nil:
		for _, r := range batch {
			h.stored[r.Key] = string(r.Value)
		}
		h.open = nil
	case store.FailureOf(err) == store.NotApplied:
		if h.open != nil {
			h.t.Errorf("a batch whose outcome was unknown: got: %v, want: unknown or stored", err)
		}
		for _, r := range batch {
			if len(r.Value) > 0 {
				h.refused[string(r.Value)] = true
			}
		}
	case store.FailureOf(err) == store.Fenced:
		h.t.Errorf("the writer with the highest epoch: got: %v", err)
	default:
		h.open = batch
	}
}

// appendAsFormer lets the previous writer continue. Nothing that it appends may be acknowledged.
func (h *history) appendAsFormer() {
	if h.former == nil {
		return
	}
	if err := h.former.Append(h.t.Context(), h.formerBatch); err == nil {
		h.t.Errorf("the previous writer of epoch %d: got: stored, want: refused", h.epoch-1)
	}
	if h.rng.IntN(2) == 0 {
		_ = h.former.Drain(h.t.Context())
	}
}

func (h *history) step() {
	h.store.change()
	switch h.rng.IntN(14) {
	case 0:
		h.takeOver()
	case 1:
		h.appendAsFormer()
	case 2, 3, 4:
		_ = h.log.Drain(h.t.Context())
	case 5, 6:
		h.log.Probe(h.t.Context(), h.log.Ends())
	default:
		h.appendBatch()
	}
}

// In any history of outages, lost, late and repeated calls and takeovers, the next writer reads what
// was acknowledged and nothing that was refused, and a replaced writer stores nothing.
func TestAcknowledgedRecordsSurviveAnyHistory(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*histories; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := newHistory(t, seed)
			for range 120 {
				h.step()
			}
			h.takeOver()
		})
		if t.Failed() {
			return
		}
	}
}

// Once the store serves everything again, the log returns to the main topic.
func TestLogReturnsToMainTopic(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		h := newHistory(t, seed)
		for range 40 {
			h.store.change()
			h.log.Probe(t.Context(), h.log.Ends())
			h.appendBatch()
		}
		h.store.serveAll()
		for range 200 {
			if !h.log.IsSpilling() && h.open == nil {
				break
			}
			if h.open != nil {
				h.appendBatch()
			}
			_ = h.log.Drain(t.Context())
		}
		spill, _ := h.store.ReadNewest(t.Context(), spillTopic)
		if h.log.IsSpilling() || len(spill.Records) > 0 {
			t.Errorf("seed %d: got: spilling %v, records %v, want: an empty spill topic", seed, h.log.IsSpilling(), spill.Records)
		}
	}
}

// While the main topic is down, appends succeed by the spill topic, and values and removals in it
// replace those of the main topic.
func TestAppendsSucceedWhileMainTopicIsDown(t *testing.T) {
	h := newHistory(t, 1)
	h.store.rng = rand.New(neverFaulty{})
	set := func(key, value string) []store.Record { return []store.Record{{Key: key, Value: []byte(value)}} }
	for _, records := range [][]store.Record{set("a", "1"), set("b", "1"), set("c", "1")} {
		if err := h.log.Append(t.Context(), records); err != nil {
			t.Fatal(err)
		}
	}
	h.store.topic(mainTopic).isDown = true
	if err := h.log.Append(t.Context(), set("d", "1")); store.FailureOf(err) != store.NotApplied {
		t.Errorf("before it is known that the other topic is served: got: %v, want: %v", err, store.NotApplied)
	}
	h.log.Probe(t.Context(), h.log.Ends())
	for _, records := range [][]store.Record{set("a", "2"), {{Key: "b"}}} {
		if err := h.log.Append(t.Context(), records); err != nil {
			t.Errorf("while the main topic is down: got: %v, want: stored", err)
		}
	}
	main, _ := h.store.ReadNewest(t.Context(), mainTopic)
	spill, _ := h.store.ReadNewest(t.Context(), spillTopic)
	got := []string{}
	for _, r := range failover.Merge(main, spill).Records {
		got = append(got, r.Key+string(r.Value))
	}
	if want := []string{"c1", "a2"}; !slices.Equal(got, want) {
		t.Errorf("records: got: %v, want: %v", got, want)
	}
}

// neverFaulty is a source of random numbers that makes a modelStore serve all calls.
type neverFaulty struct{}

func (neverFaulty) Uint64() uint64 { return 1<<64 - 1 }
