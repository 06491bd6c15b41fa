// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
)

// unreportedWorkers are the workers that may run what a previous owner started and have not reported it. The
// zero value has none.
type unreportedWorkers struct {
	// byName has them by the name of the worker, as a listing of one incarnation tells of all.
	byName map[string][]order.WorkerID
	// nextCheck is when dropExpired next looks through them.
	nextCheck time.Time
}

// expiryCheckInterval is the time between two looks for expired leases.
const expiryCheckInterval = 100 * time.Millisecond

func newUnreportedWorkers(ids []order.WorkerID) unreportedWorkers {
	u := unreportedWorkers{byName: make(map[string][]order.WorkerID, len(ids))}
	for _, id := range ids {
		u.byName[id.Name()] = append(u.byName[id.Name()], id)
	}
	return u
}

func (u *unreportedWorkers) isEmpty() bool { return len(u.byName) == 0 }

func (u *unreportedWorkers) has(id order.WorkerID) bool {
	return slices.Contains(u.byName[id.Name()], id)
}

// reported records that a worker has reported all that it runs: its earlier incarnations have ended.
func (u *unreportedWorkers) reported(worker order.WorkerID) {
	u.remove(worker.Name(), func(id order.WorkerID) bool { return id == worker || id.IsOtherIncarnation(worker) })
}

// ended records that an incarnation has ended.
func (u *unreportedWorkers) ended(worker order.WorkerID) {
	u.remove(worker.Name(), func(id order.WorkerID) bool { return id == worker })
}

func (u *unreportedWorkers) remove(name string, isRemoved func(order.WorkerID) bool) {
	ids, isKnown := u.byName[name]
	if !isKnown {
		return
	}
	if ids = slices.DeleteFunc(ids, isRemoved); len(ids) > 0 {
		u.byName[name] = ids
		return
	}
	delete(u.byName, name)
}

// dropExpired drops the workers whose leases have expired at now, by the given function.
func (u *unreportedWorkers) dropExpired(now time.Time, expiresAt func(order.WorkerID) time.Time) {
	if now.Before(u.nextCheck) {
		return
	}
	u.nextCheck = now.Add(expiryCheckInterval)
	for name := range u.byName {
		u.remove(name, func(id order.WorkerID) bool { return !now.Before(expiresAt(id)) })
	}
}
