// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/dispatch"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/work"
)

// write is a batch on its way to the store.
type write struct {
	batch *dispatch.Batch
	parts [][]store.Record
}

// load rejects the earlier owner at the store, then reads the jobs. It returns
// the sequence number of the next append.
func (o *Owner) load() (uint64, error) {
	began := o.now
	newest, err := o.readFenced()
	if err != nil {
		return 0, err
	}
	o.tick()
	o.engine.SetTimeOfDay(o.options.Clock.TimeOfDay())
	o.takePolicy()
	jobs := parseJobs(newest.Records, func(key string, err error) { o.options.Log(events.BadRecord, "key", key, "err", err) })
	slices.SortFunc(jobs, func(a, b *kept) int { return cmp.Compare(a.offset, b.offset) })
	for _, k := range jobs {
		o.engine.RestoreJob(k.spec, k.progress)
	}
	earlier := o.options.Claim.Earlier
	if earlier != nil {
		bound := leaseBound
		if o.options.Claim.IsOver {
			bound = leaseRest
		}
		o.engine.Inherit(o.now.Add(bound), o.options.Claim.IsExact, earlier.Listed)
	}
	o.options.Log(events.JobsLoaded, "epoch", o.Epoch(), "jobs", len(jobs), "records", len(newest.Records), "end", newest.End, "took", o.now.Sub(began))
	return 1, nil
}

// readFenced reads the jobs as they are once no earlier owner can append any more. The
// jobs are read while the store is told so, as both take long at a slow store. What was read
// counts if the topic has not grown between; else it is read again.
func (o *Owner) readFenced() (*store.Newest, error) {
	read := make(chan readAnswer, 1)
	o.wg.Add(1)
	go o.runRead(read)
	end := uint64(0)
	if err := o.retry("fence", func(ctx context.Context) (err error) {
		end, err = o.options.Store.Append(ctx, &store.Append{Topic: TopicJobs, Writer: o.writer(0)})
		return err
	}); err != nil {
		return nil, err
	}
	a := <-read
	if a.err != nil || a.newest.End == end {
		return a.newest, a.err
	}
	return o.readJobs()
}

// readAnswer is what came of reading the jobs.
type readAnswer struct {
	newest *store.Newest
	err    error
}

// runRead reads the jobs once.
func (o *Owner) runRead(answer chan<- readAnswer) {
	defer o.wg.Done()
	newest, err := o.readJobs()
	answer <- readAnswer{newest, err}
}

func (o *Owner) readJobs() (*store.Newest, error) {
	newest := &store.Newest{}
	err := o.retry("read", func(ctx context.Context) (err error) {
		newest, err = o.options.Store.ReadNewest(ctx, TopicJobs)
		return err
	})
	return newest, err
}

func (o *Owner) writer(sequence uint64) *store.Writer {
	return &store.Writer{Name: writerName, Epoch: o.Epoch(), Sequence: sequence}
}

// retry repeats do until it succeeds, this node is not the owner any more, or
// the owner is stopped.
func (o *Owner) retry(what string, do func(ctx context.Context) error) error {
	for {
		ctx, cancel := o.boundStore()
		err := do(ctx)
		cancel()
		switch {
		case err == nil:
			return nil
		case o.ctx.Err() != nil:
			return fmt.Errorf("owner: %s: %w", what, o.ctx.Err())
		case store.FailureOf(err) == store.Fenced:
			return fmt.Errorf("owner: %s: %w", what, err)
		}
		o.options.Log(events.StoreFailed, "what", what, "err", err)
		o.pause(writeRetry)
	}
}

// write hands the next batch to the writer, if it is free.
func (o *Owner) write() {
	if o.writing != nil {
		if o.appends.isTooLong(o.now.Sub(o.writingAt)) {
			o.refuseNew("the store does not answer")
		}
		return
	}
	if o.now.Before(o.writeAfter) {
		return
	}
	batch := o.engine.TakeBatch()
	if batch == nil {
		return
	}
	if batch.IsEmpty() {
		o.engine.Committed(batch)
		return
	}
	parts, err := encodeBatch(batch)
	if err != nil {
		// The types are the program's own: one that cannot be encoded is a bug.
		panic(fmt.Sprintf("owner: batch: %v", err))
	}
	o.writing, o.writingAt = &write{batch, parts}, o.now
	o.writes <- o.writing
}

// refuseNew refuses the jobs that are not yet on their way to the store.
func (o *Owner) refuseNew(why string) {
	for _, id := range o.engine.RefuseNew() {
		o.answer(o.submits, id, leverdyke.NotRun(why, outRetry))
	}
}

func (o *Owner) answer(waiting map[work.JobID][]chan error, id work.JobID, err error) {
	for _, ch := range waiting[id] {
		ch <- err
	}
	delete(waiting, id)
}

// runWrites appends batch after batch, each until its fate is known.
func (o *Owner) runWrites(sequence uint64) {
	defer o.wg.Done()
	for {
		select {
		case <-o.ctx.Done():
			return
		case w := <-o.writes:
			isKept := true
			for _, part := range w.parts {
				next, ok := o.append(part, sequence, isKept && len(w.parts) == 1)
				if o.ctx.Err() != nil {
					return
				}
				sequence = next
				isKept = isKept && ok
			}
			o.put(writtenEvent{w, isKept})
		}
	}
}

// append appends records until it is known that they are kept, and returns the
// next sequence number. Where mayRefuse is set it reports false when the store
// says that nothing was done.
func (o *Owner) append(records []store.Record, sequence uint64, mayRefuse bool) (uint64, bool) {
	a := &appending{owner: o, records: records, sequence: sequence, mayRefuse: mayRefuse}
	for tries := 0; ; tries++ {
		err := a.try()
		if err == nil {
			return a.sequence + 1, true
		}
		if o.ctx.Err() != nil {
			return a.sequence, false
		}
		o.options.Log(events.StoreFailed, "what", "append", "records", len(records), "sequence", a.sequence, "try", tries, "err", err)
		next := a.judge(err)
		if next == tryNever || next == tryLater && !o.pause(writeRetry) {
			return a.sequence, false
		}
	}
}

// appending is the append of some records, repeated until its fate is known.
type appending struct {
	owner   *Owner
	records []store.Record
	// sequence is the number of the append; the store may want another.
	sequence uint64
	// mayRefuse lets it end when the store says that nothing was done.
	mayRefuse bool
	// isSent is set once the fate of a try is open: it may have been done.
	isSent bool
}

// try sends the append once.
func (a *appending) try() error {
	o := a.owner
	ctx, cancel := o.boundStore()
	defer cancel()
	began := o.options.Clock.Now()
	_, err := o.options.Store.Append(ctx, &store.Append{Topic: TopicJobs, Records: a.records, Writer: o.writer(a.sequence)})
	o.options.Metrics.Appended(appendOutcome(err), o.options.Clock.Now().Sub(began))
	return err
}

// nextTry is when an append that failed is tried again.
type nextTry string

const (
	tryNow   nextTry = "now"
	tryLater nextTry = "later"
	tryNever nextTry = "never"
)

// judge tells by the error of a try how to go on.
func (a *appending) judge(err error) nextTry {
	o := a.owner
	switch store.FailureOf(err) {
	case store.Fenced:
		o.options.Log(events.ShardDropped, "epoch", o.Epoch(), "why", "the store has a later owner's records")
		o.cancel()
		return tryNever
	case store.Sequence:
		if a.takeSequence(err) {
			return tryNow
		}
	case store.NotDone:
		if a.mayRefuse && !a.isSent {
			return tryNever
		}
	case store.Unknown, store.Moved, store.Gone:
		a.isSent = true
		o.put(storeOutEvent{})
	}
	return tryLater
}

// takeSequence takes the number that the store wants, and reports whether it is
// another one. After a try that may have been done it never goes back.
func (a *appending) takeSequence(err error) bool {
	e := &store.Error{}
	if !errors.As(err, &e) || e.Want == a.sequence || a.isSent && e.Want < a.sequence {
		return false
	}
	a.sequence = e.Want
	return true
}

// pause waits, and reports false when the owner ended meanwhile.
func (o *Owner) pause(d time.Duration) bool {
	select {
	case <-o.ctx.Done():
		return false
	case <-o.options.Clock.After(d):
		return true
	}
}

func appendOutcome(err error) string {
	if err == nil {
		return "kept"
	}
	return string(store.FailureOf(err))
}

type storeOutEvent struct{}

func (storeOutEvent) apply(o *Owner) {
	o.isStoreOut = true
	o.appends.failed()
	o.refuseNew("the store does not answer")
}

type writtenEvent struct {
	write  *write
	isKept bool
}

func (ev writtenEvent) apply(o *Owner) {
	o.writing = nil
	o.isStoreOut = !ev.isKept
	if ev.isKept {
		o.appends.kept(o.now.Sub(o.writingAt))
		o.noteKept(ev.write.batch)
	} else {
		o.appends.failed()
		o.noteRefused(ev.write.batch)
	}
}

// noteKept answers for what the store has kept.
func (o *Owner) noteKept(b *dispatch.Batch) {
	o.engine.Committed(b)
	for _, spec := range b.NewJobs {
		o.answer(o.submits, spec.ID, nil)
		o.options.Log(events.JobAccepted, "job", spec.ID, "queue", spec.Queue, "steps", len(spec.Steps), "batch", len(b.NewJobs), "took", o.now.Sub(o.writingAt))
	}
	for id := range b.Progress {
		o.answerCancel(id)
		if o.engine.IsPersisted(id) {
			// It was withdrawn before it was handed in.
			o.answer(o.submits, id, nil)
		}
	}
}

// noteRefused refuses the jobs of a batch that the store refused, and those that
// would be in the next. All else of the batch is sent again.
func (o *Owner) noteRefused(b *dispatch.Batch) {
	const why = "the store does not take new jobs"
	o.writeAfter = o.now.Add(writeRetry)
	o.engine.Refused(b)
	for _, spec := range b.NewJobs {
		o.answer(o.submits, spec.ID, leverdyke.NotRun(why, outRetry))
	}
	for id := range b.Progress {
		if !o.engine.IsPersisted(id) {
			// It was withdrawn before it was handed in, and never runs.
			o.answer(o.submits, id, leverdyke.NotRun(why, outRetry))
		}
	}
	o.refuseNew(why)
}

// runBeats writes down every so often that this node is the owner.
func (o *Owner) runBeats() {
	defer o.wg.Done()
	for o.ctx.Err() == nil {
		o.sendBeat()
		o.pause(BeatPeriod)
	}
}

// sendBeat appends one record. Only this goroutine uses offset and beat.
func (o *Owner) sendBeat() {
	sentAt := o.options.Clock.Now()
	r := o.options.Claim.Record
	r.Beat = o.beat + 1
	r.SentAt = o.options.Clock.TimeOfDay()
	r.Strongest = o.options.Strongest()
	r.Listed = int(o.listed.Load())
	o.mu.Lock()
	r.IsUnlogged = o.ahead.compose(r.Beat, sentAt)
	o.mu.Unlock()
	at := o.offset + 1
	offset, err := AppendRecord(o.ctx, o.options.Store, &r, at)
	if err == nil {
		o.noteRecord(&r, offset, sentAt)
		return
	}
	if o.ctx.Err() != nil {
		return
	}
	o.options.Log(events.StoreFailed, "what", "beat", "err", err)
	if store.FailureOf(err) == store.Moved {
		o.checkRecord(sentAt)
	}
}

// noteRecord notes the newest record of this owner in the store.
func (o *Owner) noteRecord(r *Record, offset uint64, sentAt time.Time) {
	o.offset = offset
	o.mu.Lock()
	o.beat, o.keptAt = r.Beat, o.options.Clock.Now()
	o.ahead.kept(r.IsUnlogged)
	o.mu.Unlock()
	o.put(beatEvent{sentAt})
}

// LastRecord returns the number of this owner's newest record in the store, and
// when it was kept.
func (o *Owner) LastRecord() (uint64, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.beat, o.keptAt
}

// checkRecord finds out whose record made the topic move on: an own one whose
// answer was lost, or that of another owner.
func (o *Owner) checkRecord(sentAt time.Time) {
	r, offset, err := ReadRecord(o.ctx, o.options.Store)
	switch {
	case err != nil:
		o.options.Log(events.StoreFailed, "what", "read of the owner", "err", err)
	case r != nil && r.Epoch == o.Epoch():
		o.noteRecord(r, offset, sentAt)
	default:
		o.options.Log(events.ShardDropped, "epoch", o.Epoch(), "why", "the store names another owner")
		o.cancel()
	}
}

// beatEvent says that at sentAt this node was the owner, by the store's word.
type beatEvent struct {
	sentAt time.Time
}

func (ev beatEvent) apply(o *Owner) {
	o.confirmedAt = ev.sentAt
	o.answerDenials()
	if o.writing == nil {
		o.isStoreOut = false
	}
}
