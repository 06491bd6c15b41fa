// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"maps"
	"net/netip"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/ordered"
)

// storedWorkers are the workers whose IDs are in the store. Only on these are tasks started before their
// placements are persisted, so that the next owner knows on which workers such tasks may run, also while
// the platform's list lacks entries. The zero value has none.
type storedWorkers struct {
	// isStored has the workers that are in the store or in a batch for it; true once the batch is
	// committed.
	isStored ordered.Map[order.WorkerID, bool]
	// addrs has the addresses of these workers as far as they are known.
	addrs map[order.WorkerID]netip.AddrPort
	// added and removed are written with the next batch. They cause none by themselves: without jobs no
	// task is started ahead of the store.
	added, removed []order.WorkerID
	// nextScan is when workers to remove are next looked for.
	nextScan time.Time
}

// storedScanInterval is the time between two scans for workers to remove from the store.
const storedScanInterval = time.Second

// InheritWorkers takes over the workers whose IDs are in the store. areAllStored means that the previous
// owner started tasks ahead of the store on no other workers, and no long-running ones. It is called
// after Inherit.
func (e *Engine) InheritWorkers(ids []order.WorkerID, areAllStored bool) {
	for _, id := range ids {
		e.stored.isStored.Set(id, true)
	}
	if e.inherited == nil || !areAllStored {
		return
	}
	e.inherited.areWorkersKnown, e.inherited.unreported = true, newUnreportedWorkers(ids)
}

// InheritAddrs takes over the addresses of the workers whose IDs are in the store.
func (e *Engine) InheritAddrs(addrs map[order.WorkerID]netip.AddrPort) {
	e.stored.addrs = maps.Clone(addrs)
	e.inheritedNames = make(map[string]order.WorkerID, len(addrs))
	for id := range addrs {
		name := id.Name()
		if _, isKnown := e.inheritedNames[name]; isKnown {
			// With several incarnations it is not known which one runs.
			id = ""
		}
		e.inheritedNames[name] = id
	}
}

// identify returns an entry that may come from another writer with the ID and the address by which this owner or a previous
// one knows the worker, if it does: the entry may lack them, or have those of another worker, whose answer would show that this
// one has ended.
func (e *Engine) identify(entry *order.Worker) order.Worker {
	id := entry.ID
	if _, isKnown := e.stored.addrs[id]; !isKnown {
		id = e.inheritedNames[id.Name()]
	}
	addr, isKnown := e.stored.addrs[id]
	if !isKnown || entry.ID.IsOtherIncarnation(id) {
		return *entry
	}
	known := *entry
	known.ID, known.Addr = id, addr
	return known
}

// IsInheritanceKnown reports whether it is known on which workers tasks may run that previous owners
// started.
func (e *Engine) IsInheritanceKnown() bool { return e.inherited == nil }

// storeWorkerInUse has the ID of a worker persisted, unless the worker gets nothing new.
func (e *Engine) storeWorkerInUse(w *worker) {
	if !w.isLeaving() {
		e.storeWorker(w)
	}
}

// storeWorker has the ID and the address of a worker persisted.
func (e *Engine) storeWorker(w *worker) {
	if _, isKnown := e.stored.isStored.Find(w.ID); isKnown {
		return
	}
	if e.stored.addrs == nil {
		e.stored.addrs = map[order.WorkerID]netip.AddrPort{}
	}
	e.stored.addrs[w.ID] = w.Addr
	e.stored.isStored.Set(w.ID, false)
	e.stored.added = append(e.stored.added, w.ID)
}

// removeStoredWorkers removes the workers from the store that are not needed there any more.
func (e *Engine) removeStoredWorkers() {
	if e.now.Before(e.stored.nextScan) {
		return
	}
	e.stored.nextScan = e.now.Add(storedScanInterval)
	for id, isStored := range e.stored.isStored.All() {
		if !isStored || e.isNeededInStore(id) {
			continue
		}
		e.stored.isStored.Delete(id)
		delete(e.stored.addrs, id)
		e.stored.removed = append(e.stored.removed, id)
	}
}

// isNeededInStore reports whether something may run on a worker, or be started there ahead of the store, that the store
// does not have. Without it, a successor waits for the tasks that are placed there, and for no others.
func (e *Engine) isNeededInStore(id order.WorkerID) bool {
	if e.mayRunUnreported(id) {
		return true
	}
	w := e.workers.Get(id)
	return w != nil && (!w.isLeaving() || w.hasUnstoredWork())
}

// isLeaving reports whether the worker gets nothing new because it, or its availability zone, is drained.
func (w *worker) isLeaving() bool { return w.IsDraining || w.isZoneDrained }

// hasUnstoredWork reports whether something runs on the worker, has ended there or may still begin that is not in the
// store.
func (w *worker) hasUnstoredWork() bool {
	if !w.session.IsListed() || !w.session.AreEndsStored() || w.refusals.HasPending() || w.unknownRuns.Len() > 0 {
		return true
	}
	for _, a := range w.attempts.All() {
		if !a.isPersisted {
			return true
		}
	}
	return false
}

// mayRunUnreported reports whether tasks may run on a worker that a previous owner started, and that the
// worker has not reported.
func (e *Engine) mayRunUnreported(id order.WorkerID) bool {
	if e.inherited == nil {
		return false
	}
	if e.inherited.areWorkersKnown {
		return e.inherited.unreported.has(id)
	}
	return true
}

// workersCommitted records that the changes of a batch to the stored workers are in the store.
func (e *Engine) workersCommitted(b *Batch) {
	for _, id := range b.AddedWorkers {
		if _, isKnown := e.stored.isStored.Find(id); isKnown {
			e.stored.isStored.Set(id, true)
		}
	}
}

// takeInto moves the changes to a batch.
func (s *storedWorkers) takeInto(b *Batch) {
	b.AddedWorkers, b.RemovedWorkers = s.added, s.removed
	s.added, s.removed = nil, nil
	b.WorkerAddrs = make(map[order.WorkerID]netip.AddrPort, len(b.AddedWorkers))
	for _, id := range b.AddedWorkers {
		b.WorkerAddrs[id] = s.addrs[id]
	}
}

// putBack takes the changes of a batch that was refused. A worker of the batch that is in both lists is
// added after it is removed.
func (s *storedWorkers) putBack(b *Batch) {
	s.added = append(b.AddedWorkers, s.added...)
	s.removed = append(b.RemovedWorkers, s.removed...)
}

// isWorkerStored reports whether tasks may be started on a worker ahead of the store.
func (e *Engine) isWorkerStored(id order.WorkerID) bool { return e.stored.isStored.Get(id) }
