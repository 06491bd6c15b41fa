// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/store"
)

// recordTimeout bounds one read or append of the owner record.
const recordTimeout = 1200 * time.Millisecond

// ReadRecord returns the owner record and its offset. When there is none, it returns nil and the
// offset that the first record will have.
func ReadRecord(ctx context.Context, log store.Log) (*Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	newest, err := log.ReadNewest(ctx, TopicOwner)
	if err != nil {
		return nil, 0, err
	}
	for i := range newest.Records {
		if newest.Records[i].Key == KeyOwner && len(newest.Records[i].Value) > 0 {
			r, err := ParseRecord(newest.Records[i].Value)
			return r, newest.Records[i].Offset, err
		}
	}
	return nil, newest.End, nil
}

// AppendRecord appends a record, provided that the topic ends at offset at, and returns the
// record's offset.
func AppendRecord(ctx context.Context, log store.Log, r *Record, at uint64) (uint64, error) {
	data, err := codec.Marshal(r)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return log.Append(ctx, &store.Append{Topic: TopicOwner, Records: []store.Record{{Key: KeyOwner, Value: data}}, ExpectedEnd: &at})
}
