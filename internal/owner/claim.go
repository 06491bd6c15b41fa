// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/store"
)

// recordTimeout bounds one call about the record of the owner.
const recordTimeout = 1200 * time.Millisecond

// ReadRecord returns the record of the owner and its offset; nil when there is
// none, with the offset that the first would have.
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

// AppendRecord appends a record if the topic ends at that offset.
func AppendRecord(ctx context.Context, log store.Log, r *Record, at uint64) (uint64, error) {
	data, err := codec.Marshal(r)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return log.Append(ctx, &store.Append{Topic: TopicOwner, Records: []store.Record{{Key: KeyOwner, Value: data}}, ExpectedEnd: &at})
}
