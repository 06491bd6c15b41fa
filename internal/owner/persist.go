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
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/session"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/witness"
	"github.com/leverdyke/leverdyke/internal/work"
)

// write is a batch that is being written to the store.
type write struct {
	batch   *dispatch.Batch
	encoded *encodedBatch
}

// load fences the previous owner in the store, then reads the jobs. It returns the sequence number
// of the next append.
func (o *Owner) load() (uint64, error) {
	startedAt := o.now
	newest, err := o.fenceAndRead()
	if err != nil {
		return 0, err
	}
	o.jobsEnd = newest.End
	o.tick()
	o.engine.SetTimeOfDay(o.options.Clock.TimeOfDay())
	logBadRecord := func(key string, err error) { o.options.Log(events.BadRecord, "key", key, "err", err) }
	o.engine.RestoreQueues(parsePolicies[order.Queue](newest.Records, queuePrefix, logBadRecord))
	o.engine.RestoreCustomers(parsePolicies[order.Customer](newest.Records, customerPrefix, logBadRecord))
	o.applyPolicy()
	jobs := parseJobs(newest.Records, logBadRecord)
	o.encoder.restore(jobs, newest.Records, logBadRecord)
	slices.SortFunc(jobs, func(a, b *storedJob) int { return cmp.Compare(a.offset, b.offset) })
	if err := o.checkEpochs(jobs); err != nil {
		return 0, err
	}
	for _, k := range jobs {
		o.engine.RestoreJob(k.spec, k.progress)
	}
	o.restoreLearned(newest.Records)
	previous := o.options.Claim.Previous
	if previous != nil {
		o.loadedAt = o.now
		o.mayPreviousAct.Store(!o.options.Claim.areAllPreviousEnded())
		o.mayNodesFollowPrevious.Store(o.mayPreviousAct.Load())
		o.leaseSurvey = witness.NewSurvey(previous.LeaseWitnesses)
		if !o.options.Claim.HasAllPlacements {
			o.survey, o.laterSurvey = witness.NewSurvey(previous.Witnesses), witness.NewSurvey(previous.LaterJobs.Witnesses)
		}
		o.engine.Inherit(o.inheritedLeasesUntil(), o.options.Claim.HasAllPlacements, previous.ListedWorkers)
		o.engine.InheritBounds(previous.Silent)
		o.engine.InheritForeignLeases(previous.Foreign)
		o.engine.InheritOutlasted(previous.Outlasted)
	}
	o.engine.InheritAddrs(parseWorkerAddrs(newest.Records))
	o.engine.InheritWorkers(parseWorkers(newest.Records), previous == nil || previous.AreWorkersStored)
	o.options.Log(events.JobsLoaded, "epoch", o.Epoch(), "jobs", len(jobs), "records", len(newest.Records), "end", newest.End, "took", o.now.Sub(startedAt))
	return 1, nil
}

// errLaterOwner reports that the jobs were read after a later owner had accepted some.
var errLaterOwner = errors.New("owner: a later owner has accepted jobs")

// checkEpochs returns an error if a later owner has accepted one of the jobs. A later epoch that no owner has had tells
// nothing, as in a store whose topics have begun anew: such a job is taken for one of a time without doubt.
func (o *Owner) checkEpochs(jobs []*storedJob) error {
	isLater := func(k *storedJob) bool { return k.spec.Epoch > o.Epoch() }
	if !slices.ContainsFunc(jobs, isLater) {
		return nil
	}
	r, _, err := ReadRecord(o.ctx, o.options.Store)
	if err != nil {
		return err
	}
	if r == nil || r.Epoch > o.Epoch() {
		o.options.Log(events.ShardDropped, "epoch", o.Epoch(), "why", "the store has a job that a later owner has accepted")
		return errLaterOwner
	}
	for _, k := range jobs {
		if isLater(k) {
			o.options.Log(events.BadRecord, "key", specPrefix+string(k.spec.ID), "err", "the epoch is later than the owner's")
			k.spec.Epoch = 0
		}
	}
	return nil
}

// fenceAndRead returns the jobs as they are once no previous owner can append any more. The jobs
// are read concurrently with the fencing append, because both take long on a slow store. If the
// topic has grown in between, the jobs are read again.
func (o *Owner) fenceAndRead() (*store.Newest, error) {
	read := make(chan readResult, 1)
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
	if a.err != nil || a.newest.End >= end {
		return a.newest, a.err
	}
	return o.readJobsUpTo(end)
}

// readJobsUpTo reads the jobs again until a read includes all records before offset end.
func (o *Owner) readJobsUpTo(end uint64) (*store.Newest, error) {
	for {
		newest, err := o.readJobs()
		if err != nil || newest.End >= end {
			return newest, err
		}
		o.options.Log(events.StoreFailed, "what", "read", "end", newest.End, "want", end)
		o.sleep(storeRetryDelay)
	}
}

// readResult is the outcome of reading the jobs.
type readResult struct {
	newest *store.Newest
	err    error
}

// runRead reads the jobs and sends the result.
func (o *Owner) runRead(answer chan<- readResult) {
	defer o.wg.Done()
	newest, err := o.readJobs()
	answer <- readResult{newest, err}
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

// retry repeats do until it succeeds, the store reports that a later owner has fenced this one, or
// the owner is stopped.
func (o *Owner) retry(what string, do func(ctx context.Context) error) error {
	for {
		ctx, cancel := o.withStoreTimeout()
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
		o.sleep(storeRetryDelay)
	}
}

// write passes the next batch to runWrites. While a batch is in flight it passes none, and refuses
// new jobs once the append takes too long.
func (o *Owner) write() {
	if o.inFlight != nil {
		if o.appendTimeout.isExceeded(o.now.Sub(o.inFlightSince)) {
			o.refuseNewJobs("the store does not answer")
		}
		return
	}
	if o.now.Before(o.nextWriteAt) {
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
	encoded, err := o.encoder.encode(batch)
	if err != nil {
		// All encoded types are this program's own, so one that cannot be encoded is a bug.
		panic(fmt.Sprintf("owner: cannot encode batch: %v", err))
	}
	for _, id := range encoded.oversized {
		o.options.Log(events.SavedStatesNotStored, "job", id, "epoch", o.Epoch())
	}
	o.addLearned(encoded.parts)
	o.inFlight, o.inFlightSince = &write{batch, encoded}, o.now
	o.writes <- o.inFlight
}

// refuseNewJobs refuses the jobs that are not part of the batch in flight.
func (o *Owner) refuseNewJobs(why string) {
	for _, id := range o.engine.RefuseNew() {
		o.answer(o.pendingSubmits, id, leverdyke.NotRun(why, storeDownRetrySeconds))
	}
}

// maxHeldSubmits bounds the new jobs that are held at a time. Further ones are refused at once.
const maxHeldSubmits = 1024

// heldSubmit is a new job that arrived while the store did not take any. It is refused once a call
// of the store fails again, and at the latest at until; if the store takes jobs again before that,
// it is submitted.
type heldSubmit struct {
	submitEvent
	until time.Time
}

// releaseHeld submits the held jobs once the store takes new jobs again, and refuses those that have
// been held for long enough.
func (o *Owner) releaseHeld() {
	if o.isStoreStalled() {
		o.refuseHeld(errStoreRefuses("the store does not take new jobs"), func(h heldSubmit) bool { return !o.now.Before(h.until) })
		return
	}
	held := o.held
	o.held = nil
	for _, h := range held {
		h.apply(o)
	}
}

// errStoreRefuses reports that a job was not accepted because of the store.
func errStoreRefuses(why string) error { return leverdyke.NotRun(why, storeDownRetrySeconds) }

// refuseAllHeld refuses all held jobs. Nothing of them was sent to the store.
func (o *Owner) refuseAllHeld(err error) { o.refuseHeld(err, func(heldSubmit) bool { return true }) }

// refuseHeld refuses the held jobs for which isDue holds.
func (o *Owner) refuseHeld(err error, isDue func(heldSubmit) bool) {
	o.held = slices.DeleteFunc(o.held, func(h heldSubmit) bool {
		if !isDue(h) {
			return false
		}
		o.refuseForStore(h.submitEvent, err)
		return true
	})
}

// refuseForStore refuses a job that the store does not take now.
func (o *Owner) refuseForStore(ev submitEvent, err error) {
	o.recordRefusal(ev.spec, err.Error(), storeDownRetrySeconds*time.Second)
	ev.reply <- err
	o.options.Log(events.JobRefused, "job", ev.spec.ID, "why", "store", "stalled", o.inFlight != nil, "age", o.now.Sub(o.inFlightSince))
}

func (o *Owner) answer(waiting map[work.JobID][]chan error, id work.JobID, err error) {
	for _, ch := range waiting[id] {
		ch <- err
	}
	delete(waiting, id)
}

// runWrites appends one batch after the other, repeating each append until its outcome is known.
func (o *Owner) runWrites(sequence uint64) {
	defer o.wg.Done()
	for {
		select {
		case <-o.ctx.Done():
			return
		case w := <-o.writes:
			isPersisted := true
			for _, part := range w.encoded.parts {
				next, ok := o.append(part, sequence, isPersisted && len(w.encoded.parts) == 1)
				if o.ctx.Err() != nil {
					return
				}
				sequence = next
				isPersisted = isPersisted && ok
			}
			o.enqueue(writtenEvent{w, isPersisted})
		}
	}
}

// append appends records, repeating the call until they are known to be persisted, and returns the
// next sequence number. It reports false when the owner has ended or, with mayRefuse, when the
// store reports that nothing was appended.
func (o *Owner) append(records []store.Record, sequence uint64, mayRefuse bool) (uint64, bool) {
	a := &appendCall{owner: o, records: records, sequence: sequence, mayRefuse: mayRefuse}
	for tries := 0; ; tries++ {
		offset, err := a.try()
		if err == nil {
			o.recordAppended(offset, len(records), tries)
			return a.sequence + 1, o.ctx.Err() == nil
		}
		if o.ctx.Err() != nil {
			return a.sequence, false
		}
		o.options.Log(events.StoreFailed, "what", "append", "records", len(records), "sequence", a.sequence, "try", tries, "err", err)
		next := a.decideRetry(err)
		if next == retryNever || next == retryLater && !o.sleep(storeRetryDelay) {
			return a.sequence, false
		}
	}
}

// recordAppended checks that the records of an append follow what this owner has read and written.
// If not, another writer's records have come between, and this owner decides without them: it ends,
// and the next one reads them. After a repeated append they may be its own.
func (o *Owner) recordAppended(offset uint64, count, tries int) {
	if offset != o.jobsEnd {
		o.options.Log(events.UnexpectedOffset, "epoch", o.Epoch(), "offset", offset, "want", o.jobsEnd, "records", count, "tries", tries)
		if tries == 0 {
			o.options.Log(events.ShardDropped, "epoch", o.Epoch(), "why", "the store has records that this owner has not read")
			o.cancel()
		}
	}
	o.jobsEnd = offset + uint64(count)
}

// appendCall is the append of some records, repeated until its outcome is known.
type appendCall struct {
	owner   *Owner
	records []store.Record
	// sequence is the sequence number of the append; the store may expect another one.
	sequence uint64
	// mayRefuse lets the append end when the store reports that nothing was appended.
	mayRefuse bool
	// mayBeApplied is set once the outcome of a try is unknown: the store may have applied it.
	mayBeApplied bool
}

// try sends the append once, and returns the offset of its first record.
func (a *appendCall) try() (uint64, error) {
	o := a.owner
	ctx, cancel := o.withStoreTimeout()
	defer cancel()
	startedAt := o.options.Clock.Now()
	offset, err := o.options.Store.Append(ctx, &store.Append{Topic: TopicJobs, Records: a.records, Writer: o.writer(a.sequence)})
	o.options.Metrics.Appended(appendOutcome(err), o.options.Clock.Now().Sub(startedAt))
	return offset, err
}

// retryDecision says when a failed append is tried again.
type retryDecision string

const (
	retryNow   retryDecision = "now"
	retryLater retryDecision = "later"
	retryNever retryDecision = "never"
)

// decideRetry decides how to continue after a try that failed with err.
func (a *appendCall) decideRetry(err error) retryDecision {
	o := a.owner
	switch store.FailureOf(err) {
	case store.Fenced:
		o.options.Log(events.ShardDropped, "epoch", o.Epoch(), "why", "the store has a later owner's records")
		o.cancel()
		return retryNever
	case store.WrongSequence:
		if a.adoptSequence(err) {
			return retryNow
		}
	case store.NotApplied:
		if a.mayRefuse && !a.mayBeApplied {
			return retryNever
		}
	case store.Unknown, store.ConditionFailed, store.Trimmed:
		a.mayBeApplied = true
		o.enqueue(storeDownEvent{})
	}
	return retryLater
}

// adoptSequence takes over the sequence number that the store expects, and reports whether it is
// another one. After a try that may have been applied, the number is never lowered.
func (a *appendCall) adoptSequence(err error) bool {
	e := &store.Error{}
	if !errors.As(err, &e) || e.ExpectedSequence == a.sequence || a.mayBeApplied && e.ExpectedSequence < a.sequence {
		return false
	}
	a.sequence = e.ExpectedSequence
	return true
}

// sleep waits for d. It reports false when the owner ended meanwhile.
func (o *Owner) sleep(d time.Duration) bool {
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

type storeDownEvent struct{}

func (storeDownEvent) apply(o *Owner) {
	o.isStoreDown = true
	o.appendTimeout.failed()
	o.refuseNewJobs("the store does not answer")
	o.refuseAllHeld(errStoreRefuses("the store does not answer"))
}

type writtenEvent struct {
	write       *write
	isPersisted bool
}

func (ev writtenEvent) apply(o *Owner) {
	o.inFlight = nil
	o.isStoreDown = !ev.isPersisted
	if ev.isPersisted {
		o.appendTimeout.succeeded(o.now.Sub(o.inFlightSince))
		o.encoder.committed(ev.write.encoded)
		o.batchPersisted(ev.write.batch)
	} else {
		o.appendTimeout.failed()
		o.batchRefused(ev.write.batch)
	}
}

// batchPersisted answers the callers whose jobs or cancellations the store has persisted with the
// batch.
func (o *Owner) batchPersisted(b *dispatch.Batch) {
	o.engine.Committed(b)
	for _, spec := range b.NewJobs {
		o.answer(o.pendingSubmits, spec.ID, nil)
		o.options.Log(events.JobAccepted, "job", spec.ID, "queue", spec.Queue, "steps", len(spec.Steps), "work", spec.Work(), "batch", len(b.NewJobs), "took", o.now.Sub(o.inFlightSince))
	}
	for id := range b.Progress {
		o.answerCancel(id)
		if o.engine.IsPersisted(id) {
			// The job was cancelled before its submission arrived.
			o.answer(o.pendingSubmits, id, nil)
		}
	}
}

// batchRefused refuses the new jobs of a batch that the store refused, and those collected for the
// next batch. Everything else of the batch is sent again.
func (o *Owner) batchRefused(b *dispatch.Batch) {
	const why = "the store does not take new jobs"
	o.nextWriteAt = o.now.Add(storeRetryDelay)
	o.engine.Refused(b)
	for _, spec := range b.NewJobs {
		o.answer(o.pendingSubmits, spec.ID, leverdyke.NotRun(why, storeDownRetrySeconds))
	}
	for id := range b.Progress {
		if !o.engine.IsPersisted(id) {
			// The job was cancelled before its submission arrived, and never runs.
			o.answer(o.pendingSubmits, id, leverdyke.NotRun(why, storeDownRetrySeconds))
		}
	}
	o.refuseNewJobs(why)
	o.refuseAllHeld(errStoreRefuses(why))
}

// runHeartbeats appends a record that names this node as the owner every HeartbeatPeriod, and one at
// once when the write-behind flag is needed: it cannot be written any more once the store is down.
func (o *Owner) runHeartbeats() {
	defer o.wg.Done()
	for o.ctx.Err() == nil {
		o.sendHeartbeat()
		select {
		case <-o.ctx.Done():
		case <-o.recordNeeded:
		case <-o.options.Clock.After(HeartbeatPeriod):
		}
	}
}

// atLeastOwnLeaseBound returns a bound of the leases of this owner and those before it, of which 0 says nothing.
func atLeastOwnLeaseBound(bound time.Duration) time.Duration {
	if bound == 0 {
		return 0
	}
	return max(bound, session.OwnLeaseBound)
}

// sendHeartbeat appends one record. Only this goroutine uses recordOffset and sets heartbeatSeq.
func (o *Owner) sendHeartbeat() {
	o.previousConfirmableUntil()
	sentAt := o.options.Clock.Now()
	r := o.options.Claim.Record
	r.HeartbeatSeq = o.heartbeatSeq + 1
	r.SentAt = o.options.Clock.TimeOfDay()
	r.MaxStrength = o.options.MaxStrength()
	r.ListedWorkers = int(o.listedWorkers.Load())
	if o.isInheritanceKnown.Load() {
		r.AreWorkersStored = true
	} else {
		r.ListedWorkers = max(r.ListedWorkers, o.options.Claim.Record.ListedWorkers)
	}
	r.KnownNodes, r.IsOnlyOwner = o.knownNodes(sentAt), o.isOnlyOwner(sentAt)
	if o.haveInheritedExpired.Load() {
		r.LeaseBound, r.OwnLeaseBound = session.OwnLeaseBound, session.OwnLeaseBound
	} else {
		r.LeaseBound, r.OwnLeaseBound = atLeastOwnLeaseBound(r.LeaseBound), atLeastOwnLeaseBound(r.OwnLeaseBound)
	}
	r.LeftConns, r.KeptConns = o.connBudget.get()
	o.mu.Lock()
	isFlagged, named := o.writeBehind.next()
	r.MayHaveUnpersisted, r.Witnesses, r.LaterJobs = isFlagged, named.ofAll, named.ofLater
	r.WritesBehindByFlagOnly = true
	r.Silent, r.Outlasted, r.LeaseWitnesses = o.silent.next(), o.outlasted, o.leaseWitnesses.written()
	r.LeaseBound = o.silent.leaseBound(r.LeaseBound, sentAt)
	r.OwnLeaseBound, r.Foreign = o.silent.ownLeaseBound(r.OwnLeaseBound, r.LeaseBound), o.silent.namedForeign()
	o.mu.Unlock()
	at := o.recordOffset + 1
	offset, err := AppendRecord(o.ctx, o.options.Store, &r, at)
	if err == nil {
		o.heartbeatPersisted(&r, offset, sentAt)
		return
	}
	if o.ctx.Err() != nil {
		return
	}
	o.options.Log(events.StoreFailed, "what", "beat", "err", err)
	if store.FailureOf(err) == store.ConditionFailed {
		o.checkOwnerRecord(sentAt)
	}
}

// heartbeatPersisted takes over the newest record of this owner in the store.
func (o *Owner) heartbeatPersisted(r *Record, offset uint64, sentAt time.Time) {
	o.recordOffset = offset
	o.mu.Lock()
	o.heartbeatSeq, o.persistedAt = r.HeartbeatSeq, o.options.Clock.Now()
	o.writeBehind.persisted(r.MayHaveUnpersisted, namedWitnesses{r.Witnesses, r.LaterJobs})
	o.leaseWitnesses.persisted(r.LeaseWitnesses)
	silentVersion := o.silent.persisted()
	o.mu.Unlock()
	o.enqueue(heartbeatEvent{sentAt, silentVersion})
}

// LastRecord returns the number of this owner's newest record in the store, and when it was
// persisted.
func (o *Owner) LastRecord() (uint64, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.heartbeatSeq, o.persistedAt
}

// checkOwnerRecord finds out whose record changed the end of the topic: one of this owner whose
// answer was lost, or one of another owner.
func (o *Owner) checkOwnerRecord(sentAt time.Time) {
	r, offset, err := ReadRecord(o.ctx, o.options.Store)
	switch {
	case err != nil:
		o.options.Log(events.StoreFailed, "what", "read of the owner", "err", err)
	case r != nil && r.Epoch == o.Epoch():
		o.heartbeatPersisted(r, offset, sentAt)
	default:
		o.options.Log(events.ShardDropped, "epoch", o.Epoch(), "why", "the store names another owner")
		o.cancel()
	}
}

// heartbeatEvent reports that the store has confirmed that this node was the owner at sentAt.
type heartbeatEvent struct {
	sentAt time.Time
	// silentVersion is the version of the silent workers of which no earlier one is in the store any more.
	silentVersion uint64
}

func (ev heartbeatEvent) apply(o *Owner) {
	o.confirmedAt = ev.sentAt
	o.engine.SilentWorkersPersisted(ev.silentVersion)
	o.persistedSilentVersion = ev.silentVersion
	o.answerUnknownJobs()
	if o.inFlight == nil {
		o.isStoreDown = false
	}
}
