// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/witness"
)

// consentTimeout bounds the wait for the answer of a witness. Round trips within a region take milliseconds.
const consentTimeout = 500 * time.Millisecond

// witnesses are the followers that consent to the owner's write-behind.
type witnesses struct{ n *Node }

// Candidates returns the incarnations of followers that can be witnesses. There are as many of each availability zone as
// possible, so that the loss of one zone leaves most of them.
func (w *witnesses) Candidates() []string {
	usable := slices.DeleteFunc(w.n.peers.usable(), func(p peer) bool { return !p.hello.IsWitness })
	type candidate struct {
		incarnation, zone string
		// rank is its place among those of its zone.
		rank int
	}
	ofZone := map[string]int{}
	candidates := make([]candidate, len(usable))
	for i := range usable {
		h := &usable[i].hello
		candidates[i] = candidate{h.Incarnation, h.Zone, ofZone[h.Zone]}
		ofZone[h.Zone]++
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.zone, b.zone))
	})
	out := []string{}
	for _, c := range candidates[:min(len(candidates), witness.MaxWitnesses)] {
		out = append(out, c.incarnation)
	}
	return out
}

// Request asks followers to consent.
func (w *witnesses) Request(processes []string, epoch, round uint64, given func(process string)) {
	for _, p := range w.linked(processes) {
		go w.runRequest(p, consentRequest{epoch, round}, given)
	}
}

// runRequest asks one follower to consent.
func (w *witnesses) runRequest(p peer, r consentRequest, given func(process string)) {
	ctx, cancel := context.WithTimeout(w.n.ctx, consentTimeout)
	defer cancel()
	reply := &consentReply{}
	if err := p.conn.Call(ctx, kindConsent, r, reply); err == nil && reply.IsGiven {
		given(p.hello.Incarnation)
	}
}

// Withdraw tells followers that their consent is not needed any more.
func (w *witnesses) Withdraw(processes []string, epoch, round uint64) {
	for _, p := range w.linked(processes) {
		p.conn.Notify(kindWithdraw, consentRequest{epoch, round})
	}
}

// linked returns those of the processes that are linked to this node.
func (w *witnesses) linked(processes []string) []peer {
	return slices.DeleteFunc(w.n.peers.all(), func(p peer) bool { return !slices.Contains(processes, p.hello.Incarnation) })
}

// testify makes this process refuse its consent to all owners before an epoch, and returns the highest epoch to which it has
// consented.
func (n *Node) testify(epoch uint64) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.witness.Testify(epoch)
}

// handleConsent handles the request of an owner to consent to write-behind.
func (n *Node) handleConsent(body []byte) (any, error) {
	r := consentRequest{}
	if err := codec.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return consentReply{n.witness.Consent(r.Epoch, r.Round)}, nil
}

// handleWithdraw handles the message of an owner that it does not need the consent any more.
func (n *Node) handleWithdraw(body []byte) {
	r := consentRequest{}
	if codec.Unmarshal(body, &r) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.witness.Withdraw(r.Epoch, r.Round)
}
