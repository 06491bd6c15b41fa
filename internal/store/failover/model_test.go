// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package failover_test

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/leverdyke/leverdyke/internal/store"
)

// modelTopic is a topic of a modelStore.
type modelTopic struct {
	records []store.Record
	epoch   uint64
	// next is the sequence number that follows the last append of the epoch.
	next uint64
	// answers are the offsets of the last appends by sequence number.
	answers map[uint64]uint64
	// isDown makes the store refuse calls for the topic; isSilent makes it not answer them.
	isDown, isSilent bool
}

// rememberedAnswers is how many of the last appends get their first answer again.
const rememberedAnswers = 5

// modelStore follows the rules of the platform's store: appends of one writer are applied in the
// order of their sequence numbers, and a call without an answer may be applied much later, if its
// epoch and number still fit.
type modelStore struct {
	rng    *rand.Rand
	topics map[string]*modelTopic
	// late are calls that had no answer and may still be applied.
	late []*store.Append
}

func newModelStore(rng *rand.Rand) *modelStore {
	return &modelStore{rng: rng, topics: map[string]*modelTopic{}}
}

func (m *modelStore) topic(name string) *modelTopic {
	if m.topics[name] == nil {
		m.topics[name] = &modelTopic{answers: map[uint64]uint64{}, next: 1}
	}
	return m.topics[name]
}

// change makes topics serve or not, and applies calls that had no answer.
func (m *modelStore) change() {
	for _, name := range []string{mainTopic, spillTopic} {
		t := m.topic(name)
		if m.rng.IntN(4) == 0 {
			t.isDown, t.isSilent = m.rng.IntN(3) == 0, m.rng.IntN(4) == 0
		}
	}
	for len(m.late) > 0 && m.rng.IntN(3) == 0 {
		i := m.rng.IntN(len(m.late))
		_, _ = m.topic(m.late[i].Topic).append(m.late[i])
		if m.rng.IntN(2) == 0 {
			m.late = append(m.late[:i], m.late[i+1:]...)
		}
	}
}

// serveAll makes all topics serve and answer.
func (m *modelStore) serveAll() {
	for _, t := range m.topics {
		t.isDown, t.isSilent = false, false
	}
}

// Append applies the call, refuses it, or gives no answer. A call that is applied and answered may
// have a copy that arrives late, as one that is sent on several paths has.
func (m *modelStore) Append(_ context.Context, a *store.Append) (uint64, error) {
	t := m.topic(a.Topic)
	w := *a.Writer
	call := &store.Append{Topic: a.Topic, Records: append([]store.Record{}, a.Records...), Writer: &w}
	unknown := &store.Error{Failure: store.Unknown}
	switch fate := m.rng.IntN(20); {
	case t.isDown:
		return 0, &store.Error{Failure: store.NotApplied}
	case t.isSilent && len(a.Records) > 0:
		m.late = append(m.late, call)
		return 0, unknown
	case fate == 0 && len(a.Records) > 0:
		_, _ = t.append(call)
		return 0, unknown
	case fate == 1:
		return 0, &store.Error{Failure: store.NotApplied}
	case fate < 5 && len(a.Records) > 0:
		m.late = append(m.late, call)
	}
	return t.append(call)
}

func (t *modelTopic) append(a *store.Append) (uint64, error) {
	w := a.Writer
	switch {
	case w.Epoch < t.epoch:
		return 0, &store.Error{Failure: store.Fenced}
	case w.Epoch > t.epoch:
		t.epoch, t.next = w.Epoch, max(w.Sequence, 1)
		clear(t.answers)
	}
	end := uint64(len(t.records))
	if len(a.Records) == 0 {
		return end, nil
	}
	if first, ok := t.answers[w.Sequence]; ok {
		return first, nil
	}
	if w.Sequence != t.next {
		return 0, &store.Error{Failure: store.WrongSequence, ExpectedSequence: t.next}
	}
	t.answers[w.Sequence] = end
	delete(t.answers, w.Sequence-min(w.Sequence, rememberedAnswers))
	t.next++
	for _, r := range a.Records {
		r.Offset = uint64(len(t.records))
		t.records = append(t.records, r)
	}
	return end, nil
}

// ReadNewest returns the newest record of each key that has a value.
func (m *modelStore) ReadNewest(_ context.Context, topic string) (*store.Newest, error) {
	t := m.topic(topic)
	newest := map[string]int{}
	for i := range t.records {
		newest[t.records[i].Key] = i
	}
	out := &store.Newest{End: uint64(len(t.records))}
	for i, r := range t.records {
		if newest[r.Key] == i && len(r.Value) > 0 {
			out.Records = append(out.Records, r)
		}
	}
	return out, nil
}

// Wait returns no records; it fails while the topic is not served.
func (m *modelStore) Wait(_ context.Context, topic string, _ uint64, _ time.Duration) ([]store.Record, error) {
	if t := m.topic(topic); t.isDown || t.isSilent || m.rng.IntN(10) == 0 {
		return nil, &store.Error{Failure: store.NotApplied}
	}
	return nil, nil
}
