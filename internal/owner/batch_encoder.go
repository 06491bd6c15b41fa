// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/jobrecord"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/work"
)

const (
	// maxAppendBytes is about how much one append carries, if the store accepts that.
	maxAppendBytes = 1 << 20
	// defaultRecordBytes and defaultCallBytes are the store's bounds where the settings have none.
	defaultRecordBytes = 256 << 10
	defaultCallBytes   = 2 << 20
	// maxProgressShare is the share of a record's bound up to which the progress of a job is one record. A longer one is stored in
	// segments from then on, of which only those that have changed are written. Earlier versions read no segments.
	maxProgressShare = 0.75
	// maxKeyBytes and recordOverhead are what a record may take beyond its value.
	maxKeyBytes    = 255
	recordOverhead = 16
)

// StoreLimits are the bounds of the store; 0 means a default.
type StoreLimits struct {
	// RecordBytes bounds a record with its key, CallBytes all records of an append.
	RecordBytes, CallBytes int
}

func (l StoreLimits) maxValueBytes() int {
	if l.RecordBytes <= 0 {
		l.RecordBytes = defaultRecordBytes
	}
	return max(l.RecordBytes-maxKeyBytes-recordOverhead, 0)
}

func (l StoreLimits) maxAppendBytes() int {
	if l.CallBytes <= 0 {
		l.CallBytes = defaultCallBytes
	}
	return min(maxAppendBytes, l.CallBytes/2)
}

// segmentHashes has a hash of each segment of a job that is in the store.
type segmentHashes map[jobrecord.Key]uint64

// batchEncoder encodes batches as records. It knows which segments of large jobs the store has. Only the loop uses it.
type batchEncoder struct {
	limits StoreLimits
	// specOf returns the specification of a job that has not ended; nil if there is none.
	specOf func(work.JobID) *work.Spec
	// stored has the segments in the store, of the jobs whose progress is stored so.
	stored map[work.JobID]segmentHashes
	// orphans are the keys of records in the store that no progress refers to.
	orphans []string
}

func newBatchEncoder(l StoreLimits, specOf func(work.JobID) *work.Spec) *batchEncoder {
	return &batchEncoder{limits: l, specOf: specOf, stored: map[work.JobID]segmentHashes{}}
}

// encodedBatch is a batch as records.
type encodedBatch struct {
	// parts has the records of one append each.
	parts [][]store.Record
	// segments has the segments that the store has once all parts are appended, by the jobs that the batch changes; nil for a job
	// without any.
	segments map[work.JobID]segmentHashes
	// hasOrphans means that the orphans are removed.
	hasOrphans bool
	// oversized are the jobs of which not all saved states fit into the records.
	oversized []work.JobID
	bytes     int
	maxBytes  int
}

func (e *encodedBatch) add(key string, value []byte) {
	n := len(key) + len(value) + recordOverhead
	last := len(e.parts) - 1
	if e.bytes += n; e.bytes > e.maxBytes && len(e.parts[last]) > 0 {
		e.parts = append(e.parts, nil)
		e.bytes = n
		last++
	}
	e.parts[last] = append(e.parts[last], store.Record{Key: key, Value: value})
}

func (e *encodedBatch) addEncoded(key string, v any) error {
	data, err := codec.Marshal(v)
	if err == nil {
		e.add(key, data)
	}
	return err
}

// encode returns the records of a batch, split into parts that fit one append each.
func (b *batchEncoder) encode(batch *dispatch.Batch) (*encodedBatch, error) {
	e := &encodedBatch{parts: [][]store.Record{{}}, segments: map[work.JobID]segmentHashes{}, maxBytes: b.limits.maxAppendBytes()}
	for _, key := range b.orphans {
		e.add(key, nil)
	}
	e.hasOrphans = len(b.orphans) > 0
	// Removals come first, because a removed job may be submitted again in the same batch.
	for _, id := range batch.ExpiredJobs {
		e.add(specPrefix+string(id), nil)
		e.add(progressPrefix+string(id), nil)
	}
	for i := range batch.Queues {
		if err := e.addEncoded(queuePrefix+batch.Queues[i].Name, &batch.Queues[i]); err != nil {
			return nil, err
		}
	}
	for i := range batch.Customers {
		if err := e.addEncoded(customerPrefix+string(batch.Customers[i].Name), &batch.Customers[i]); err != nil {
			return nil, err
		}
	}
	for _, spec := range batch.NewJobs {
		if err := e.addEncoded(specPrefix+string(spec.ID), spec); err != nil {
			return nil, err
		}
	}
	for id, p := range batch.Progress {
		if err := b.encodeProgress(e, id, p); err != nil {
			return nil, err
		}
	}
	// Workers come last: the next owner does not wait for a worker that is removed, and must then read what ran there, also
	// if this owner ends between two parts.
	for _, id := range batch.RemovedWorkers {
		e.add(workerPrefix+string(id), nil)
	}
	for _, id := range batch.AddedWorkers {
		e.add(workerPrefix+string(id), encodeWorkerAddr(batch.WorkerAddrs[id]))
	}
	return e, nil
}

// encodeProgress adds the progress of a job.
func (b *batchEncoder) encodeProgress(e *encodedBatch, id work.JobID, p *work.Progress) error {
	stored, isSegmented := b.stored[id]
	if isSegmented && !p.State.IsFinal() {
		return b.encodeSegments(e, id, p)
	}
	data, err := codec.Marshal(p)
	if err != nil {
		return err
	}
	if float64(len(data)) > maxProgressShare*float64(b.limits.maxValueBytes()) {
		return b.beginSegments(e, id, p)
	}
	e.add(progressPrefix+string(id), data)
	if !p.State.IsFinal() {
		return nil
	}
	// Callers can only ask for the state of an ended job, so the rest is removed.
	e.add(specPrefix+string(id), nil)
	if isSegmented {
		e.add(largeSpecPrefix+string(id), nil)
		e.removeSegments(stored, nil)
		e.segments[id] = nil
	}
	return nil
}

// beginSegments adds the progress of a job that is stored in segments from now on. Its specification gets another key: an owner of an
// earlier version would take all tasks for waiting, and must not know the job.
func (b *batchEncoder) beginSegments(e *encodedBatch, id work.JobID, p *work.Progress) error {
	spec := b.specOf(id)
	if spec == nil {
		return fmt.Errorf("owner: progress of unknown job %s", id)
	}
	if err := e.addEncoded(largeSpecPrefix+string(id), spec); err != nil {
		return err
	}
	if err := b.encodeSegments(e, id, p); err != nil {
		return err
	}
	e.add(specPrefix+string(id), nil)
	return nil
}

// encodeSegments adds the segments of a job's progress that have changed, then the rest of the progress, and then removes segments
// that it no longer has. If the owner ends between two parts, the next one finds each task in a segment as old as the
// progress or newer.
func (b *batchEncoder) encodeSegments(e *encodedBatch, id work.JobID, p *work.Progress) error {
	head, segments := jobrecord.Split(id, p)
	stored, hashes := b.stored[id], segmentHashes{}
	for i := range segments {
		s := &segments[i]
		data, err := b.encodeSegment(e, s)
		if err != nil {
			return err
		}
		hashes[s.Key] = hashOf(data, s.Progress.Checkpoints)
		if hash, ok := stored[s.Key]; !ok || hash != hashes[s.Key] {
			full, err := codec.Marshal(&s.Progress)
			if err != nil {
				return err
			}
			e.add(segmentPrefix+s.Key.String(), full)
		}
	}
	if err := e.addEncoded(progressPrefix+string(id), head); err != nil {
		return err
	}
	e.removeSegments(stored, hashes)
	e.segments[id] = hashes
	return nil
}

// encodeSegment returns a segment without its saved states, of which it drops the longest until the segment fits into a record. If
// that does not suffice, it drops the oldest failures and crashes: a task may then get more attempts after a change of owner.
func (b *batchEncoder) encodeSegment(e *encodedBatch, s *jobrecord.Segment) ([]byte, error) {
	for {
		data, err := encodeBare(&s.Progress)
		if err != nil {
			return nil, err
		}
		excess := len(data) - b.limits.maxValueBytes()
		for _, checkpoint := range s.Progress.Checkpoints {
			excess += len(checkpoint) + recordOverhead
		}
		if excess <= 0 {
			return data, nil
		}
		if !jobrecord.Shorten(&s.Progress, excess) {
			return data, nil
		}
		if !slices.Contains(e.oversized, s.Key.Job) {
			e.oversized = append(e.oversized, s.Key.Job)
		}
	}
}

// encodeBare encodes a segment without its saved states.
func encodeBare(p *work.StepProgress) ([]byte, error) {
	bare := *p
	bare.Checkpoints = nil
	return codec.Marshal(&bare)
}

// canStore reports whether the specification of a job fits into a record.
func (b *batchEncoder) canStore(spec *work.Spec) bool {
	limit := b.limits.maxValueBytes()
	if spec.MemoryBytes() < int64(limit)/4 {
		return true
	}
	data, err := codec.Marshal(spec)
	return err == nil && len(data) <= limit
}

// hashOf returns a hash of a segment that was encoded without its saved states: these are a map, whose encoding has no fixed order.
func hashOf(bare []byte, checkpoints map[int]string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(bare)
	for _, i := range slices.Sorted(maps.Keys(checkpoints)) {
		_, _ = fmt.Fprintf(h, "%d:%d:%s", i, len(checkpoints[i]), checkpoints[i])
	}
	return h.Sum64()
}

// removeSegments removes the stored segments that are not kept.
func (e *encodedBatch) removeSegments(stored, kept segmentHashes) {
	for key := range stored {
		if _, ok := kept[key]; !ok {
			e.add(segmentPrefix+key.String(), nil)
		}
	}
}

// committed records that all parts of a batch are in the store.
func (b *batchEncoder) committed(e *encodedBatch) {
	for id, hashes := range e.segments {
		if hashes == nil {
			delete(b.stored, id)
			continue
		}
		b.stored[id] = hashes
	}
	if e.hasOrphans {
		b.orphans = nil
	}
}

// restore adds the segments in records to the progress that they belong to, and remembers them. A record that cannot be decoded is
// passed to onBadRecord and left out.
func (b *batchEncoder) restore(jobs []*storedJob, records []store.Record, onBadRecord func(key string, err error)) {
	segmented := map[work.JobID]*storedJob{}
	for _, j := range jobs {
		if j.progress != nil && j.progress.IsSegmented {
			segmented[j.spec.ID] = j
			b.stored[j.spec.ID] = segmentHashes{}
		}
	}
	segments := map[work.JobID][]jobrecord.Segment{}
	for i := range records {
		b.findStaleSpec(&records[i], segmented)
		text, ok := strings.CutPrefix(records[i].Key, segmentPrefix)
		if !ok || len(records[i].Value) == 0 {
			continue
		}
		s := jobrecord.Segment{}
		var err error
		if s.Key, err = jobrecord.ParseKey(text); err == nil && segmented[s.Key.Job] != nil {
			err = codec.Unmarshal(records[i].Value, &s.Progress)
		}
		switch {
		case err != nil:
			onBadRecord(records[i].Key, err)
		case segmented[s.Key.Job] == nil:
			b.orphans = append(b.orphans, records[i].Key)
		default:
			segments[s.Key.Job] = append(segments[s.Key.Job], s)
		}
	}
	for id, j := range segmented {
		for _, s := range segments[id] {
			// With another hash than at the next write the segment is written again.
			data, _ := encodeBare(&s.Progress)
			b.stored[id][s.Key] = hashOf(data, s.Progress.Checkpoints)
		}
		jobrecord.Join(j.progress, segments[id])
	}
}

// findStaleSpec finds the specifications that an owner has left when it ended between two parts: a segmented job has one under
// largeSpecPrefix, any other one under specPrefix.
func (b *batchEncoder) findStaleSpec(r *store.Record, segmented map[work.JobID]*storedJob) {
	if len(r.Value) == 0 {
		return
	}
	if id, ok := strings.CutPrefix(r.Key, specPrefix); ok && segmented[work.JobID(id)] != nil {
		b.orphans = append(b.orphans, r.Key)
	}
	if id, ok := strings.CutPrefix(r.Key, largeSpecPrefix); ok && segmented[work.JobID(id)] == nil {
		b.orphans = append(b.orphans, r.Key)
	}
}
