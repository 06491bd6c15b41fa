// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import "time"

const (
	// maxLag is the lag (see owner.Owner.Lag, the share of time for which the owner was kept from
	// running) from which an owner hands over. A healthy owner of 350 workers reaches 0.18 in load
	// bursts.
	maxLag = 0.25
	// lagGracePeriod is how long the lag of a new owner is ignored. At first it reads all jobs and
	// polls all workers, and the lag that this causes does not mean that the node is too slow.
	lagGracePeriod = 3 * time.Second
	// minHandoverInterval is the minimum time between two handovers because of an unfit owner,
	// also when they are by different nodes. When the load is too high for every node, a handover
	// does not help, and each new owner places no tasks at first.
	minHandoverInterval = 10 * time.Second
	// weakAskInterval is the time until an owner that is only weak asks again, where no stronger node was fitter.
	weakAskInterval = time.Second
	// maxBackoff is how often that time doubles at most.
	maxBackoff = 4
	// fitterLagShare is the share of an owner's lag up to which the lag of a node is a reason to take it for
	// fitter: an owner has more to do than a follower, and lags more on an equal node.
	fitterLagShare = 0.5
	// unfitMemory is how long a node remembers how it did as an owner.
	unfitMemory = 3 * time.Minute
)

// fitness decides whether an owner should hand the shard over to another node. The zero value is
// for a node that has not owned the shard and knows of no handover.
type fitness struct {
	// ownedAt is when this node became the owner. handedOverAt is the time of the last handover
	// because of an unfit owner in which this node took part: as the owner that handed over, or as
	// a follower that was asked to claim the shard. The time starts minHandoverInterval on both
	// nodes, so that the shard does not move from node to node when all of them are overloaded.
	ownedAt, handedOverAt time.Time
	// isSuccessor means that in that handover this node was asked to claim.
	isSuccessor bool
	// unhelpful is how many handovers in a row, up to that one, did not help: the next owner was too slow, too.
	unhelpful int
	// unfitLag is the lag with which this node last handed over because it was too slow, and unfitAt when.
	unfitLag float64
	unfitAt  time.Time
	// askedAt is when other nodes were last asked whether they are fitter, and none was.
	askedAt time.Time
}

// isUnfit reports whether an owner with this lag should hand over to a fitter node. isWeak means that a peer is much
// stronger, which is a reason without any lag.
func (f *fitness) isUnfit(lag float64, isWeak bool, now time.Time) bool {
	askInterval := minHandoverInterval
	if isWeak {
		askInterval = weakAskInterval
	}
	if isWithin(f.handedOverAt, minHandoverInterval, now) || isWithin(f.askedAt, askInterval, now) {
		return false
	}
	return isWeak || f.isSlow(lag, now)
}

// isSlow reports whether an owner with this lag is too slow.
func (f *fitness) isSlow(lag float64, now time.Time) bool {
	return lag >= maxLag && now.Sub(f.ownedAt) >= lagGracePeriod
}

// isWithin reports whether a time, if it is set, is less than d ago.
func isWithin(at time.Time, d time.Duration, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) < d
}

// report returns what this node tells an owner that may hand over to it.
func (f *fitness) report(lag float64, now time.Time) fitnessReply {
	r := fitnessReply{Lag: lag}
	if isWithin(f.unfitAt, unfitMemory, now) {
		r.UnfitLag = f.unfitLag
	}
	if isWithin(f.handedOverAt, unfitMemory, now) {
		r.Unhelpful = f.unhelpful
	}
	return r
}

// decide returns which of the nodes that have reported are fitter than this unfit owner, in their order, and whether it should
// hand over to one of them now. reports has nil for nodes that did not answer, strengths how strong each is.
func (f *fitness) decide(own ownerFitness, strengths []float64, reports []*fitnessReply, now time.Time) (fitter []int, isNow bool) {
	for i, r := range reports {
		if r == nil {
			continue
		}
		f.unhelpful = max(f.unhelpful, r.Unhelpful)
		if own.isFitter(strengths[i], *r) {
			fitter = append(fitter, i)
		}
	}
	if len(fitter) == 0 || !own.isWeak && !f.mayRepeat(now) {
		f.askedAt = now
		return fitter, false
	}
	f.handOver(own, now)
	return fitter, true
}

// mayRepeat reports whether an owner that is too slow may hand over already, after handovers that did not help.
func (f *fitness) mayRepeat(now time.Time) bool {
	return !isWithin(f.handedOverAt, minHandoverInterval<<min(f.unhelpful, maxBackoff), now)
}

// handOver records that this node hands over because it is unfit.
func (f *fitness) handOver(own ownerFitness, now time.Time) {
	isRecent := isWithin(f.handedOverAt, unfitMemory, now)
	switch {
	case !isRecent:
		f.unhelpful = 0
	case own.isSlow && f.isSuccessor:
		f.unhelpful++
	}
	if own.isSlow {
		f.unfitLag, f.unfitAt = own.lag, now
	}
	f.handedOverAt, f.isSuccessor = now, false
}

// succeed records that this node was asked to claim the shard from an unfit owner.
func (f *fitness) succeed(now time.Time) {
	if !isWithin(f.handedOverAt, unfitMemory, now) {
		f.unhelpful = 0
	}
	f.handedOverAt, f.isSuccessor = now, true
}

// ownerFitness is what an owner knows of itself when it compares itself with others.
type ownerFitness struct {
	lag, strength float64
	// isSlow means that its lag is too high, isWeak that a peer is much stronger.
	isSlow, isWeak bool
}

// isFitter reports whether there is reason to believe that a node does better as the owner than this one: by its strength,
// its lag now, and the one with which it handed over itself.
func (o ownerFitness) isFitter(strength float64, r fitnessReply) bool {
	lag := max(r.Lag, r.UnfitLag)
	isFaster := lag <= fitterLagShare*o.lag
	if isMuchStronger(strength, o.strength) && (lag < maxLag || isFaster) {
		return true
	}
	return o.isSlow && isFaster && strength*(1-lag) >= o.strength*(1-o.lag)
}

// isMuchStronger reports whether a node is much stronger than another.
func isMuchStronger(strength, than float64) bool { return than < (1-strengthTolerance)*strength }
