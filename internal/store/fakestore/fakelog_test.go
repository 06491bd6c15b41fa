// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package fakestore_test

import (
	"testing"

	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

// An append that is repeated under the same epoch gets its first answer. A new owner numbers its
// appends anew: an append with a sequence number of an earlier epoch must not be taken for a
// repetition and dropped.
func TestRepeatedAppendIsDetectedPerEpoch(t *testing.T) {
	log := fakestore.NewLog()
	for _, c := range []struct {
		epoch uint64
		key   string
		want  int
	}{{1, "a", 1}, {1, "b", 0}, {2, "c", 1}} {
		_, err := log.Append(t.Context(), &store.Append{
			Topic: "t", Records: []store.Record{{Key: c.key, Value: []byte("v")}}, Writer: &store.Writer{Name: "w", Epoch: c.epoch, Sequence: 1},
		})
		if err != nil {
			t.Fatal(err)
		}
		if got := log.CountKey("t", c.key); got != c.want {
			t.Errorf("records of %s, epoch %d: got: %d, want: %d", c.key, c.epoch, got, c.want)
		}
	}
}

// Sequence numbers and epochs count for one topic: an append to another topic is no repetition, and
// does not fence a writer there.
func TestWritersAreKnownPerTopic(t *testing.T) {
	log := fakestore.NewLog()
	for _, a := range []struct {
		topic string
		epoch uint64
	}{{"t", 2}, {"u", 1}} {
		_, err := log.Append(t.Context(), &store.Append{
			Topic: a.topic, Records: []store.Record{{Key: "a", Value: []byte("v")}}, Writer: &store.Writer{Name: "w", Epoch: a.epoch, Sequence: 1},
		})
		if got := log.CountKey(a.topic, "a"); err != nil || got != 1 {
			t.Errorf("records in %s: got: %d, %v, want: 1", a.topic, got, err)
		}
	}
}
