// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/learned"
	"github.com/leverdyke/leverdyke/internal/store"
)

const (
	// learnedPrefix is the prefix of keys in TopicJobs whose records have what an owner has learned.
	// Programs that do not know the prefix ignore these records.
	learnedPrefix = "l/"
	// keyLearned is the key of the only such record.
	keyLearned = learnedPrefix + "0"
	// learnedPeriod is the least time between two digests, and learnedBytesPerSecond limits what
	// they add to the batches on average.
	learnedPeriod         = 5 * time.Second
	learnedBytesPerSecond = 2048
)

// addLearned adds a digest of what the engine has learned to a batch, if one is due. It causes no
// append by itself.
func (o *Owner) addLearned(parts [][]store.Record) {
	if o.now.Before(o.nextLearned) {
		return
	}
	state := o.engine.Learned()
	if state.IsEmpty() {
		return
	}
	data, err := learned.Encode(&state)
	if err != nil {
		// The digest is an aid, so the batch is written without it.
		o.options.Log(events.LearnedIgnored, "epoch", o.Epoch(), "why", err)
		data = nil
	}
	o.nextLearned = o.now.Add(max(learnedPeriod, time.Duration(len(data))*time.Second/learnedBytesPerSecond))
	if data == nil {
		return
	}
	last := len(parts) - 1
	parts[last] = append(parts[last], store.Record{Key: keyLearned, Value: data})
}

// restoreLearned passes what an earlier owner has learned to the engine. A digest that cannot be
// used is ignored.
func (o *Owner) restoreLearned(records []store.Record) {
	i := slices.IndexFunc(records, func(r store.Record) bool { return r.Key == keyLearned && len(r.Value) > 0 })
	if i < 0 || !o.isEnabled(dispatch.MechanismLearned) {
		return
	}
	state, err := learned.Decode(records[i].Value)
	if err != nil {
		o.options.Log(events.LearnedIgnored, "epoch", o.Epoch(), "why", err)
		return
	}
	timeOfDay := o.options.Clock.TimeOfDay()
	age := timeOfDay.Round(0).Sub(state.TakenAt)
	if !state.IsCurrent(timeOfDay) {
		o.options.Log(events.LearnedIgnored, "epoch", o.Epoch(), "why", "the digest is not current", "age", age)
		return
	}
	o.engine.RestoreLearned(*state)
	o.options.Log(events.LearnedRestored, "epoch", o.Epoch(), "age", age, "bytes", len(records[i].Value),
		"runTimes", len(state.RunTimes), "speeds", len(state.Speeds), "shares", len(state.Shares))
}
