// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/link"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/witness"
)

// consentTimeout bounds the wait for the answer of a witness. Round trips within a region take milliseconds.
const consentTimeout = 500 * time.Millisecond

// witnesses are the followers that consent to the owner's write-behind.
type witnesses struct{ n *Node }

// Candidates returns the incarnations of followers to name as witnesses, as many as witness.CountOf tells. There are as many of
// each availability zone as possible, so that the loss of one zone leaves most of them.
func (w *witnesses) Candidates() []string {
	usable := slices.DeleteFunc(w.n.peers.all(), func(p peer) bool { return !p.isWitness || p.isLeaving })
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
	for _, c := range candidates[:witness.CountOf(len(candidates))] {
		out = append(out, c.incarnation)
	}
	return out
}

// SendConsentRequests asks followers to consent, and this process itself if it is a witness of the previous owner.
func (w *witnesses) SendConsentRequests(processes []string, epoch, round uint64, given func(process string)) {
	for _, p := range w.n.peers.all() {
		if slices.Contains(processes, p.hello.Incarnation) {
			go w.runConsentRequest(p, consentRequest{epoch, round}, given)
		}
	}
	if own := w.n.options.Incarnation; slices.Contains(processes, own) && w.n.giveConsent(epoch, round) {
		given(own)
	}
}

// runConsentRequest asks one follower to consent.
func (w *witnesses) runConsentRequest(p peer, r consentRequest, given func(process string)) {
	ctx, cancel := context.WithTimeout(w.n.ctx, consentTimeout)
	defer cancel()
	reply := &consentReply{}
	if err := p.conn.Call(ctx, kindConsent, r, reply); err == nil && reply.IsGiven {
		given(p.hello.Incarnation)
	}
}

// SendConsentWithdrawal tells the followers and this process that their consent is not needed any more.
func (w *witnesses) SendConsentWithdrawal(epoch, round uint64) {
	for _, p := range w.n.peers.all() {
		p.conn.Notify(kindWithdraw, consentRequest{epoch, round})
	}
	w.n.withdrawConsent(epoch, round)
}

// testify makes this process refuse its consent to all owners before an epoch, and returns the highest epoch to which it has
// consented.
func (n *Node) testify(epoch uint64) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.witness.Testify(epoch)
}

// handleConsentRequest handles the request of an owner to consent to write-behind.
func (n *Node) handleConsentRequest(body []byte) (any, error) {
	r := consentRequest{}
	if err := codec.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	return consentReply{n.giveConsent(r.Epoch, r.Round)}, nil
}

// giveConsent reports whether this process consents to the write-behind of an owner.
func (n *Node) giveConsent(epoch, round uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.witness.GiveConsent(epoch, round)
}

// handleConsentWithdrawal handles the message of an owner that it does not need the consent any more.
func (n *Node) handleConsentWithdrawal(body []byte) {
	r := consentRequest{}
	if codec.Unmarshal(body, &r) == nil {
		n.withdrawConsent(r.Epoch, r.Round)
	}
}

func (n *Node) withdrawConsent(epoch, round uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.witness.WithdrawConsent(epoch, round)
}

// handleTestimony handles what a follower says as a witness.
func (n *Node) handleTestimony(from *link.Conn, body []byte) {
	t := testimony{}
	if codec.Unmarshal(body, &t) != nil {
		return
	}
	n.mu.Lock()
	o := n.owner
	n.mu.Unlock()
	if process := n.peers.setWitness(from); o != nil && process != "" {
		o.WitnessTestified(owner.Testimony{Process: process, Epoch: t.Epoch, ConsentedEpoch: t.ConsentedEpoch})
	}
}

// checkReplaced finds out whether a greeting shows that the process of the previous owner has been replaced. The greeting may be
// an old one, so the address is asked.
func (n *Node) checkReplaced(o *owner.Owner, h *hello) {
	if previous := o.Replaced(h.Name, h.Addr, h.Incarnation); previous != nil {
		go n.runReplacedCheck(o, previous)
	}
}

// runReplacedCheck asks at the address of the previous owner which process answers there.
func (n *Node) runReplacedCheck(o *owner.Owner, previous *owner.Record) {
	conn, end := n.connect(previous, dialTimeout)
	if conn != nil {
		conn.Close()
	}
	if end == endedReplaced {
		o.PreviousEnded()
	}
}
