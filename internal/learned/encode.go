// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package learned

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/order"
)

const (
	// maxWorkers and maxQueues limit the size of a digest. Of more workers, those of which most is
	// known are kept: to prefer those that differ most would shift the mean, with which all are
	// compared.
	maxWorkers = 1000
	maxQueues  = 64
	// maxName is the length of the longest name of a queue or a worker that is kept.
	maxName = 255
	// minDeviation is the logarithm of the least ratio by which a worker differs from a typical one.
	minDeviation = 0.02
	// ratioStep is the step of a ratio's logarithm, which takes one byte; ratioOrigin is the byte of
	// a typical worker. The greatest ratio is just below 4.
	ratioStep   = math.Ln2 / 64
	ratioOrigin = 128
	// weightStep is the step of a speed's weight, which takes one byte.
	weightStep = 0.5
)

// Why a digest cannot be used.
var (
	ErrDamaged = errors.New("learned: the digest is damaged")
	ErrVersion = errors.New("learned: the digest has another version")
)

// envelope is a digest as it is stored. Its layout stays the same in all versions.
type envelope struct {
	Version  int    `msgpack:"v"`
	Checksum uint64 `msgpack:"c"`
	Body     []byte `msgpack:"b"`
}

// body is the content of a digest of Version.
type body struct {
	// TakenAt is in milliseconds since 1970.
	TakenAt  int64
	RunTimes []QueueRunTimes
	Shares   []QueueShare
	// Workers has the IDs of the workers, each without the bytes that it has in common with the
	// previous one: the number of these, the number of the remaining ones, and these.
	Workers []byte
	// Ratios and Weights have one byte for each worker.
	Ratios, Weights []byte
}

// Encode returns the digest of a state.
func Encode(s *State) ([]byte, error) {
	b := body{
		TakenAt:  s.TakenAt.UnixMilli(),
		RunTimes: truncate(s.RunTimes, func(r *QueueRunTimes) string { return r.Queue }),
		Shares:   truncate(s.Shares, func(q *QueueShare) string { return q.Queue }),
	}
	b.addSpeeds(selectSpeeds(s.Speeds))
	data, err := codec.MarshalCompact(&b)
	if err != nil {
		return nil, fmt.Errorf("learned: %w", err)
	}
	return codec.Marshal(&envelope{Version, xxhash.Sum64(data), data})
}

// truncate returns the first maxQueues entries whose queue has a name that may be kept.
func truncate[T any](entries []T, queueOf func(*T) string) []T {
	out := make([]T, 0, min(len(entries), maxQueues))
	for i := range entries {
		if len(queueOf(&entries[i])) <= maxName && len(out) < maxQueues {
			out = append(out, entries[i])
		}
	}
	return out
}

// selectSpeeds returns the workers that are kept, sorted.
func selectSpeeds(speeds []WorkerSpeed) []WorkerSpeed {
	out := []WorkerSpeed{}
	for _, w := range speeds {
		isKnown := w.Ratio > 0 && math.Abs(math.Log(w.Ratio)) >= minDeviation && quantisedWeight(w.Weight) > 0
		if isKnown && w.Worker != "" && len(w.Worker) <= maxName {
			out = append(out, w)
		}
	}
	if len(out) > maxWorkers {
		slices.SortFunc(out, func(a, b WorkerSpeed) int {
			return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Worker, b.Worker))
		})
		out = out[:maxWorkers]
	}
	slices.SortFunc(out, func(a, b WorkerSpeed) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}

func (b *body) addSpeeds(speeds []WorkerSpeed) {
	previous := order.WorkerID("")
	for _, w := range speeds {
		common := commonPrefix(previous, w.Worker)
		b.Workers = append(b.Workers, byte(common), byte(len(w.Worker)-common))
		b.Workers = append(b.Workers, w.Worker[common:]...)
		b.Ratios = append(b.Ratios, quantisedRatio(w.Ratio))
		b.Weights = append(b.Weights, quantisedWeight(w.Weight))
		previous = w.Worker
	}
}

func commonPrefix(a, b order.WorkerID) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

func quantisedRatio(ratio float64) byte {
	return byte(min(max(math.Round(math.Log(ratio)/ratioStep)+ratioOrigin, 1), math.MaxUint8))
}

func quantisedWeight(weight float64) byte {
	return byte(min(max(math.Round(weight/weightStep), 0), math.MaxUint8))
}

// Decode returns the state of a digest. The error is ErrDamaged or ErrVersion.
func Decode(data []byte) (*State, error) {
	e := envelope{}
	if err := codec.Unmarshal(data, &e); err != nil {
		return nil, ErrDamaged
	}
	if e.Version != Version {
		return nil, ErrVersion
	}
	b := body{}
	if xxhash.Sum64(e.Body) != e.Checksum || codec.Unmarshal(e.Body, &b) != nil {
		return nil, ErrDamaged
	}
	speeds, ok := b.speeds()
	if !ok {
		return nil, ErrDamaged
	}
	return &State{TakenAt: time.UnixMilli(b.TakenAt), RunTimes: b.RunTimes, Speeds: speeds, Shares: b.Shares}, nil
}

// speeds returns the workers of a digest, and false when they cannot be decoded.
func (b *body) speeds() ([]WorkerSpeed, bool) {
	if len(b.Ratios) != len(b.Weights) {
		return nil, false
	}
	out := make([]WorkerSpeed, 0, len(b.Ratios))
	previous, rest := "", b.Workers
	for i := range b.Ratios {
		if len(rest) < 2 {
			return nil, false
		}
		common, suffix := int(rest[0]), int(rest[1])
		rest = rest[2:]
		if common > len(previous) || suffix > len(rest) {
			return nil, false
		}
		previous = previous[:common] + string(rest[:suffix])
		rest = rest[suffix:]
		ratio := math.Exp(ratioStep * (float64(b.Ratios[i]) - ratioOrigin))
		out = append(out, WorkerSpeed{order.WorkerID(previous), ratio, weightStep * float64(b.Weights[i])})
	}
	return out, len(rest) == 0
}
