// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/leasebound"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/work"
)

// damage changes some bytes of a record, nests a part of it deeply, or cuts it.
func damage(rng *rand.Rand, data []byte) []byte {
	data = slices.Clone(data)
	for range 1 + rng.IntN(4) {
		data[rng.IntN(len(data))] = byte(rng.Uint32())
	}
	at := rng.IntN(len(data))
	switch rng.IntN(4) {
	case 0:
		data = data[:at]
	case 1:
		const oneElement, levels = 0x91, 1000
		data = slices.Insert(data, at, slices.Repeat([]byte{oneElement}, levels)...)
	}
	return data
}

// Guards against a record in the store that ends each process that becomes the owner.
func TestDamagedRecordsAreErrorsOrRecords(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	r := &owner.Record{
		Node: "n", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Epoch: 3, SentAt: time.Unix(1, 0), Silent: []leasebound.Bound{{Worker: "w", Left: time.Second}},
	}
	encoded, err := codec.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	b := &dispatch.Batch{NewJobs: []*work.Spec{newJob("a")}, Queues: []order.Queue{{Name: "q"}}, Progress: map[work.JobID]*work.Progress{"a": progressOf(5, time.Unix(1, 0))}}
	parts, err := owner.EncodeBatch(b)
	if err != nil {
		t.Fatal(err)
	}
	for range 20_000 {
		if got, err := owner.ParseRecord(damage(rng, encoded)); (err == nil) != (got != nil) {
			t.Errorf("got: %v with %v, want: one of both", got, err)
		}
		for _, into := range []any{&work.Spec{}, &work.Progress{}, &order.Queue{}, &order.Customer{}} {
			_ = codec.Unmarshal(damage(rng, parts[0][rng.IntN(len(parts[0]))].Value), into)
		}
	}
}
