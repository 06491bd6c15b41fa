// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package failover

import (
	"context"
	"errors"

	"github.com/leverdyke/leverdyke/internal/store"
)

// stream appends records to one topic, one append after the other, under rising sequence numbers.
type stream struct {
	options *Options
	topic   string
	// writer has the sequence number of the next append.
	writer store.Writer
	// end is where the topic ends, as far as this writer has read and written it.
	end uint64
	// pending are the records of an append under the next sequence number that may have been applied
	// or may still be. Until that is known, the number must not be used for other records.
	pending []store.Record
}

// append appends records. They must be those of pending, if there are any.
func (s *stream) append(ctx context.Context, records []store.Record) error {
	for {
		w := s.writer
		offset, err := s.options.Store.Append(ctx, &store.Append{Topic: s.topic, Records: records, Writer: &w})
		if err == nil {
			s.appended(offset, len(records))
			return nil
		}
		switch store.FailureOf(err) {
		case store.WrongSequence:
			if s.adoptSequence(err) {
				continue
			}
		case store.Unknown, store.ConditionFailed, store.Trimmed:
			s.pending = records
		case store.NotApplied, store.Fenced:
		}
		return err
	}
}

// appended records that an append is in the topic. Only a repeated append of the same records may
// have come between; otherwise the topic has records that this writer does not know.
func (s *stream) appended(offset uint64, count int) {
	if offset != s.end && s.options.OnUnexpectedOffset != nil {
		s.options.OnUnexpectedOffset(s.topic, offset, s.end, count)
	}
	s.end = offset + uint64(count)
	s.writer.Sequence++
	s.pending = nil
}

// adoptSequence takes over the sequence number that the store expects, and reports whether it is
// another one. While an append may have been applied, the number is never lowered.
func (s *stream) adoptSequence(err error) bool {
	e := &store.Error{}
	if !errors.As(err, &e) || e.ExpectedSequence == s.writer.Sequence || s.pending != nil && e.ExpectedSequence < s.writer.Sequence {
		return false
	}
	s.writer.Sequence = e.ExpectedSequence
	return true
}
