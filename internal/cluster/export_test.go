// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/owner"
)

// FailureDetector gives tests access to a failureDetector.
type FailureDetector struct{ w failureDetector }

// Reset starts to observe an owner.
func (o *FailureDetector) Reset(now time.Time) { o.w.reset(now) }

// RecordHeartbeat records a heartbeat with the number and the age of the owner's newest record.
func (o *FailureDetector) RecordHeartbeat(now time.Time, record uint64, age time.Duration) {
	o.w.recordHeartbeat(now, ownerHeartbeat{Record: record, RecordAge: age})
}

// IsSilent reports whether the last heartbeat was received too long ago.
func (o *FailureDetector) IsSilent(now time.Time) bool { return o.w.isSilent(now) }

// RemainingWait returns how much longer to wait for the record after the newest one.
func (o *FailureDetector) RemainingWait(now time.Time, newest uint64, storeLatency time.Duration) time.Duration {
	return o.w.remainingWait(now, newest, storeLatency)
}

// Successors returns the names of the peers that this owner would hand over to, the best candidate
// first.
func (n *Node) Successors() []string {
	out := []string{}
	for _, p := range n.peers.successorCandidates() {
		out = append(out, p.hello.Name)
	}
	return out
}

// HasNewerPeer reports whether a peer is known to have a newer configuration than this node.
func (n *Node) HasNewerPeer() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newerPeer != nil
}

// HandleClaim handles the claim request of an owner that has stopped.
func (n *Node) HandleClaim(ctx context.Context, epoch uint64) error {
	_, err := n.handleClaim(ctx, claimRequest{Epoch: epoch})
	return err
}

// FollowOverLink follows an owner over a link, and returns when the node no longer follows it.
func (n *Node) FollowOverLink(conn *link.Conn, r *owner.Record) { n.followOverLink(conn, r) }

// IsFollowing reports whether the node has a link to an owner.
func (n *Node) IsFollowing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownerLink != nil
}

// MayHaveUnpersisted reports whether this node owns the shard and tasks may run on placements that
// are not in the store.
func (n *Node) MayHaveUnpersisted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner != nil && n.owner.MayHaveUnpersisted()
}

// RecordOwnerHeartbeat records a heartbeat of the owner of that epoch, which says whether tasks may run
// on placements that are not in the store.
func (n *Node) RecordOwnerHeartbeat(epoch uint64, mayHaveUnpersisted bool) {
	n.handleOwnerHeartbeat(n.ownerLink, ownerHeartbeat{Epoch: epoch, MayHaveUnpersisted: mayHaveUnpersisted})
}

// HasAllPlacements reports whether an owner with that record persists the placement of each task
// before it starts it, as far as this node knows.
func (n *Node) HasAllPlacements(r *owner.Record) bool { return n.hasAllPlacements(r) }

// Compress compresses a configuration.
func Compress(data []byte) []byte { return compress(data) }

// Decompress reverses Compress.
func Decompress(compressed []byte) ([]byte, error) { return decompress(compressed) }

// Compressed returns the compressed configuration that is sent to peers.
func (n *Node) Compressed() []byte { return n.activeConfig().Compressed }

// Fitness gives tests access to a fitness.
type Fitness struct{ f fitness }

// BecomeOwner records that the node became the owner.
func (f *Fitness) BecomeOwner(now time.Time) { f.f.ownedAt = now }

// HandOver records that the shard was handed over because its owner was unfit.
func (f *Fitness) HandOver(now time.Time) { f.f.handedOverAt = now }

// IsUnfit reports whether an owner with this lag should hand over.
func (f *Fitness) IsUnfit(lag float64, isWeak bool, now time.Time) bool {
	return f.f.isUnfit(lag, isWeak, now)
}

// Succeed records that the node was asked to claim the shard from an unfit owner.
func (f *Fitness) Succeed(now time.Time) { f.f.succeed(now) }

// FitnessReport is what a node reports of its fitness.
type FitnessReport = fitnessReply

// Report returns what the node tells an owner that may hand over to it.
func (f *Fitness) Report(lag float64, now time.Time) FitnessReport { return f.f.report(lag, now) }

// Decide returns which of the nodes the owner hands over to; none if it goes on.
func (f *Fitness) Decide(lag, strength float64, isWeak bool, strengths []float64, reports []*FitnessReport, now time.Time) []int {
	fitter, isNow := f.f.decide(ownerFitness{lag, strength, f.f.isSlow(lag, now), isWeak}, strengths, reports, now)
	if !isNow {
		return nil
	}
	return fitter
}

// Peers gives tests access to the peers of an owner.
type Peers struct{ p *peers }

// NewPeers returns no peers.
func NewPeers(c clock.Service) *Peers { return &Peers{newPeers(c)} }

// Add adds a peer that has made a link and has answered a probe.
func (p *Peers) Add(name string, c *link.Conn) {
	p.AddUnverified(name, c)
	p.p.endProbe(c, p.p.beginProbes(false), true)
}

// AddUnverified adds a peer that has made a link.
func (p *Peers) AddUnverified(name string, c *link.Conn) { p.p.add(hello{Name: name}, c) }

// Heartbeat records a heartbeat of the follower with that link.
func (p *Peers) Heartbeat(c *link.Conn) { p.p.recordHeartbeat(c, followerHeartbeat{}) }

// ProbeRound is a round of probes.
type ProbeRound = probeRound

// BeginProbes returns how many peers are to be probed, and their round. With isDue the peers that have not answered lately
// are among them.
func (p *Peers) BeginProbes(isDue bool) (count int, r ProbeRound) {
	r = p.p.beginProbes(isDue)
	return len(r.conns), r
}

// ProbeAnswered records the answer to a probe of a round.
func (p *Peers) ProbeAnswered(c *link.Conn, r ProbeRound) { p.p.endProbe(c, r, true) }

// MajorityAnsweredAt returns when the last probes were sent that most nodes have answered.
func (p *Peers) MajorityAnsweredAt(asOf time.Time, minNodes int) time.Time {
	return p.p.majorityAnsweredAt(asOf, minNodes)
}

// Remove removes the peer with that link.
func (p *Peers) Remove(c *link.Conn) { p.p.remove(c) }

// IsMajority reports whether this node and its peers are the majority.
func (p *Peers) IsMajority(asOf time.Time, minNodes int) bool { return p.p.IsMajority(asOf, minNodes) }

// CloseSilent closes the links of silent peers and returns their names.
func (p *Peers) CloseSilent() []string { return p.p.closeSilent() }

// MaxSilentHeartbeats is after how many calls of CloseSilent a link is closed.
const MaxSilentHeartbeats = maxSilentHeartbeats

// HandleOwnerHeartbeat handles a heartbeat of the owner over the current link to it.
func (n *Node) HandleOwnerHeartbeat() {
	n.mu.Lock()
	conn := n.ownerLink
	n.mu.Unlock()
	n.handleOwnerHeartbeat(conn, ownerHeartbeat{Epoch: 1})
}

// ClosedOwner gives tests access to a closedOwner.
type ClosedOwner struct{ c closedOwner }

// LinkClosed records that the owner of that epoch closed its link.
func (o *ClosedOwner) LinkClosed(epoch uint64) { o.c.linkClosed(epoch) }

// Linked records a link to the owner of that epoch.
func (o *ClosedOwner) Linked(epoch uint64) { o.c.linked(epoch) }

// Is reports whether the owner of that epoch has closed its connections.
func (o *ClosedOwner) Is(epoch uint64) bool { return o.c.is(epoch) }

// HasMajority reports whether this node and its verified peers are the majority of at least minNodes nodes.
func (n *Node) HasMajority(minNodes int) bool { return n.peers.IsMajority(time.Time{}, minNodes) }
