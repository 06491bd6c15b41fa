// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package leasebound_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/leasebound"
	"github.com/leverdyke/leverdyke/internal/order"
)

func boundsOf(ids ...order.WorkerID) []leasebound.Bound {
	out := []leasebound.Bound{}
	for _, id := range ids {
		out = append(out, leasebound.Bound{Worker: id, Left: time.Second})
	}
	return out
}

// Guards against a lease that is renewed while the record that the next owner reads still says that it
// is not.
func TestWorkerIsNamedUntilARecordWithoutItIsPersisted(t *testing.T) {
	l := leasebound.Ledger{}
	l.Set(boundsOf("v", "w"))
	withBoth := l.Version()
	l.Set(boundsOf("v"))
	withoutW := l.Version()
	if !l.Names("w") {
		t.Error("before the next record: got: not named, want: named")
	}
	l.Persisted(withBoth)
	if !l.Names("w") {
		t.Error("an earlier record is persisted: got: not named, want: named")
	}
	l.Persisted(withoutW)
	if l.Names("w") || !l.Names("v") {
		t.Error("the record without it is persisted: got: named, or the other one not named")
	}
}

// Guards against a set that a record in flight has and that counts as not written: the records of an
// owner are written one after the other, and any of them may be the newest when it ends.
func TestLedgerNamesWhatAnyPossibleRecordNames(t *testing.T) {
	ids := []order.WorkerID{"a", "b", "c", "d"}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		l := leasebound.Ledger{}
		type record struct {
			version uint64
			names   map[order.WorkerID]bool
		}
		possible := []record{{}}
		for range 100 {
			if rng.IntN(3) > 0 {
				names, bounds := map[order.WorkerID]bool{}, []leasebound.Bound{}
				for _, id := range ids {
					if rng.IntN(2) == 0 {
						names[id] = true
						bounds = append(bounds, boundsOf(id)...)
					}
				}
				l.Set(bounds)
				possible = append(possible, record{l.Version(), names})
			} else {
				possible = possible[rng.IntN(len(possible)):]
				l.Persisted(possible[0].version)
			}
			for _, r := range possible {
				for id := range r.names {
					if !l.Names(id) {
						t.Fatalf("seed %d: %s in the record of version %d: got: not named, want: named", seed, id, r.version)
					}
				}
			}
		}
	}
}

// Guards against a record that grows by the names of fields.
func TestBoundIsStoredInFewBytes(t *testing.T) {
	data, err := codec.Marshal(boundsOf("i-0ac2685c34"))
	if err != nil {
		t.Fatal(err)
	}
	got := []leasebound.Bound{}
	if err := codec.Unmarshal(data, &got); err != nil || len(got) != 1 || got[0] != boundsOf("i-0ac2685c34")[0] {
		t.Errorf("got: %v, %v, want: what was stored", got, err)
	}
	if len(data) > 25 {
		t.Errorf("got: %d bytes, want: at most 25", len(data))
	}
}
