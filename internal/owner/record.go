// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/connbudget"
	"github.com/leverdyke/leverdyke/internal/crash"
	"github.com/leverdyke/leverdyke/internal/leasebound"
	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/session"
	"github.com/leverdyke/leverdyke/internal/store"
	"github.com/leverdyke/leverdyke/internal/witness"
	"github.com/leverdyke/leverdyke/internal/work"
)

// Record names the owner of the shard.
type Record struct {
	Node string         `msgpack:"n"`
	Addr netip.AddrPort `msgpack:"a"`
	// Incarnation distinguishes the processes of one node.
	Incarnation string `msgpack:"l"`
	// Epoch is the number of the ownership; it rises with each change of owner.
	Epoch uint64 `msgpack:"e"`
	// HeartbeatSeq counts the records of one ownership.
	HeartbeatSeq uint64 `msgpack:"b"`
	// SentAt is when the record was sent, by the owner's time of day, which may differ from that of
	// other nodes.
	SentAt time.Time `msgpack:"t"`
	// MaxStrength is the strength of the strongest node that the owner knows.
	MaxStrength float64 `msgpack:"s"`
	// MayHaveUnpersisted is the write-behind flag: tasks may run on placements that are not in the
	// store.
	MayHaveUnpersisted bool `msgpack:"u"`
	// WritesBehindByFlagOnly means that the owner runs write-behind only while its newest record in
	// the store carries the flag. Owners of earlier versions also do so by the age of a record.
	WritesBehindByFlagOnly bool `msgpack:"f"`
	// Witnesses are the processes without whose consent the owner of their epoch runs no write-behind. If they did not
	// consent, all placements were in the store when the record was written, and are from then on, whatever the flag
	// says. A claim takes over those of the previous owner, whose epoch they name. Owners of earlier versions name none.
	Witnesses witness.Quorum `msgpack:"v"`
	// LaterJobs tells about jobs accepted while it was not known what earlier owners had started. A claim takes over that
	// of the previous owner. Owners of earlier versions name none.
	LaterJobs LaterJobs `msgpack:"y"`
	// LeaseWitnesses are workers without most of which the owner of their epoch, and those that take them over, neither act
	// nor count leases anew later than ConfirmationTimeout after the store's last confirmation. A claim takes over those of the
	// previous owner. Owners of earlier versions name none, and may do so without them.
	LeaseWitnesses witness.Quorum `msgpack:"z"`
	// IsOnlyOwner means that no owner before this one acts or renews leases any more.
	IsOnlyOwner bool `msgpack:"o"`
	// ListedWorkers is how many workers the owner's list had, or that of the previous owner as long as it is
	// not known what that one started; 0 when there was no list yet.
	ListedWorkers int `msgpack:"w"`
	// AreWorkersStored means that tasks may run on placements that are not in the store only on workers
	// whose IDs are there, and no long-running tasks. Owners of earlier versions do not store them.
	AreWorkersStored bool `msgpack:"i"`
	// KnownNodes is how many nodes the owner knew; 0 when that is not known.
	KnownNodes int `msgpack:"k"`
	// LeftConns is how many connections to each worker were left open by nodes that were lost before
	// this record was written. KeptConns is how many this owner and its delegates keep open; 0 in
	// records of earlier versions, too.
	LeftConns connbudget.Left `msgpack:"c"`
	KeptConns int             `msgpack:"q"`
	// LeaseBound is how long after the claim of the next owner, or after most nodes have left this one
	// for it, the leases last at most that this owner and those before it have renewed, or that workers have
	// got by the clocks of their earlier incarnations. Owners of
	// earlier versions do not say so: it is 0 then, and as long as their leases may last.
	LeaseBound time.Duration `msgpack:"d"`
	// OwnLeaseBound is LeaseBound without the leases of the workers in Foreign. It is 0 in records of earlier versions,
	// whose successors have to wait for LeaseBound with all workers.
	OwnLeaseBound time.Duration `msgpack:"g"`
	// Foreign are workers whose leases may last longer, as they were given by the clocks of earlier incarnations. A claim
	// takes over those of the previous owner.
	Foreign []leasebound.Bound `msgpack:"h,omitempty"`
	// Silent are workers that do not answer this owner. It renews their leases only after a record
	// without them is in the store. A claim takes over those of the previous owner.
	Silent []leasebound.Bound `msgpack:"x,omitempty"`
	// Outlasted are runs under which a crash of their worker is no evidence that the task crashes its
	// workers. A claim takes over those of the previous owner. Owners of earlier versions hand on none.
	Outlasted []crash.OutlastedRun `msgpack:"r,omitempty"`
}

// LeaseBoundAfter returns the LeaseBound of a claim that replaces a record, which is nil if there is none.
func LeaseBoundAfter(previous *Record) time.Duration {
	if previous == nil {
		return session.OwnLeaseBound
	}
	return previous.LeaseBound
}

// OwnLeaseBoundAfter returns the OwnLeaseBound of a claim that replaces a record, which is nil if there is none.
func OwnLeaseBoundAfter(previous *Record) time.Duration {
	if previous == nil {
		return session.OwnLeaseBound
	}
	return previous.OwnLeaseBound
}

// LaterJobs are the jobs that were accepted in an epoch from Since on. Unless most of the witnesses consented, all placements
// of these were in the store when the record was written, and are from then on, whatever is known of other jobs. The
// zero value says nothing.
type LaterJobs struct {
	_msgpack struct{} `msgpack:",as_array"`

	Since     uint64
	Witnesses witness.Quorum
}

// LeftConnsAfter returns how many connections to each worker lost nodes have left open once the owner
// has ended. areClosed means that the owner is known to have closed its own. A delegate that is lost
// together with the owner adds nothing, as either of them talks to a worker, not both.
func (r *Record) LeftConnsAfter(areClosed bool) connbudget.Left {
	switch {
	case areClosed:
		return r.LeftConns
	case r.KeptConns == 0:
		// An owner of an earlier version keeps up to connbudget.MaxOpen.
		return r.LeftConns.AfterLoss(connbudget.MaxOpen)
	}
	return r.LeftConns.AfterLoss(r.KeptConns)
}

// Age returns the age of the record at that time of day.
func (r *Record) Age(timeOfDay time.Time) time.Duration { return timeOfDay.Round(0).Sub(r.SentAt) }

// ParseRecord decodes a Record.
func ParseRecord(data []byte) (*Record, error) {
	r := &Record{}
	if err := codec.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("owner: cannot decode owner record: %w", err)
	}
	return r, nil
}

// Prefixes of the keys in TopicJobs. The record of a worker has its address. Those with segmentPrefix have parts of the progress
// of large jobs.
const (
	specPrefix     = "j/"
	progressPrefix = "p/"
	segmentPrefix  = "s/"
	// largeSpecPrefix is in place of specPrefix for jobs whose progress is in segments.
	largeSpecPrefix = "J/"
	workerPrefix    = "w/"
	queuePrefix     = "q/"
	customerPrefix  = "c/"
)

// parsePolicies returns the policies that are stored beside the jobs under keys with a prefix. A record
// that cannot be decoded is passed to onBadRecord and left out.
func parsePolicies[P any](records []store.Record, prefix string, onBadRecord func(key string, err error)) []P {
	policies := []P{}
	for i := range records {
		r := &records[i]
		if !strings.HasPrefix(r.Key, prefix) || len(r.Value) == 0 {
			continue
		}
		var p P
		if err := codec.Unmarshal(r.Value, &p); err != nil {
			onBadRecord(r.Key, err)
			continue
		}
		policies = append(policies, p)
	}
	return policies
}

// parseWorkers returns the workers whose IDs are in the store.
func parseWorkers(records []store.Record) []order.WorkerID {
	ids := []order.WorkerID{}
	for i := range records {
		if id, ok := strings.CutPrefix(records[i].Key, workerPrefix); ok && len(records[i].Value) > 0 {
			ids = append(ids, order.WorkerID(id))
		}
	}
	return ids
}

// unknownAddr stands for an address that is not known. Owners of earlier versions wrote no other value.
const unknownAddr = "\x01"

func encodeWorkerAddr(addr netip.AddrPort) []byte {
	if !addr.IsValid() {
		return []byte(unknownAddr)
	}
	return []byte(addr.String())
}

// parseWorkerAddrs returns the addresses of the workers whose IDs are in the store, as far as they are known.
func parseWorkerAddrs(records []store.Record) map[order.WorkerID]netip.AddrPort {
	addrs := map[order.WorkerID]netip.AddrPort{}
	for i := range records {
		id, ok := strings.CutPrefix(records[i].Key, workerPrefix)
		if addr, err := netip.ParseAddrPort(string(records[i].Value)); ok && err == nil {
			addrs[order.WorkerID(id)] = addr
		}
	}
	return addrs
}

// storedJob is a job as it is in the store.
type storedJob struct {
	// spec has only the ID and the customer when the job has ended.
	spec     *work.Spec
	progress *work.Progress
	offset   uint64
}

// parseJobs returns the jobs in the order of their records: those with a spec, then ended jobs of
// which only the progress is stored. A record that cannot be decoded is passed to onBadRecord and
// left out.
func parseJobs(records []store.Record, onBadRecord func(key string, err error)) []*storedJob {
	byID, large := map[string]*storedJob{}, map[string]*storedJob{}
	jobs := []*storedJob{}
	for i := range records {
		r := &records[i]
		id, isOrdinary := strings.CutPrefix(r.Key, specPrefix)
		largeID, isLarge := strings.CutPrefix(r.Key, largeSpecPrefix)
		if !isOrdinary && !isLarge || len(r.Value) == 0 {
			continue
		}
		spec := &work.Spec{}
		if err := codec.Unmarshal(r.Value, spec); err != nil {
			onBadRecord(r.Key, err)
			continue
		}
		k := &storedJob{spec: spec, offset: r.Offset}
		if isLarge {
			large[largeID] = k
			continue
		}
		byID[id] = k
		jobs = append(jobs, k)
	}
	for i := range records {
		r := &records[i]
		id, ok := strings.CutPrefix(r.Key, progressPrefix)
		if !ok || len(r.Value) == 0 {
			continue
		}
		p := &work.Progress{}
		if err := codec.Unmarshal(r.Value, p); err != nil {
			onBadRecord(r.Key, err)
			continue
		}
		if byID[id] == nil && p.State.IsFinal() {
			byID[id] = &storedJob{spec: &work.Spec{ID: work.JobID(id), Customer: p.Customer}, offset: r.Offset}
			jobs = append(jobs, byID[id])
		}
		if k := large[id]; k != nil && byID[id] == nil && p.IsSegmented {
			byID[id] = k
			jobs = append(jobs, k)
		}
		if k := byID[id]; k != nil {
			k.progress = p
		}
	}
	return jobs
}
