// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/owner"
	"github.com/leverdyke/leverdyke/internal/witness"
)

// Guards against starts ahead of the store of which the witnesses in the newest record do not know.
func TestWriteBehindNeedsConsentOfMostWitnesses(t *testing.T) {
	now := clock.NewFake().Now()
	newGate := func() *owner.WriteBehindGate {
		g := owner.NewWriteBehindGateFrom(&owner.Record{Epoch: 3})
		g.UpdateWithWitnesses(now, false, false, "a", "b", "c")
		g.WriteRecord()
		return g
	}
	for name, tc := range map[string]struct {
		setUp func(g *owner.WriteBehindGate)
		want  bool
	}{
		"the store is quick": {func(g *owner.WriteBehindGate) { g.Consent("a", "b", "c") }, false},
		"nobody consents": {func(g *owner.WriteBehindGate) {
			g.UpdateWithWitnesses(now, false, true, "a", "b", "c")
			g.RequestConsent(now)
		}, false},
		"one consents": {func(g *owner.WriteBehindGate) {
			g.UpdateWithWitnesses(now, false, true, "a", "b", "c")
			g.RequestConsent(now)
			g.Consent("a")
		}, false},
		"most consent": {func(g *owner.WriteBehindGate) {
			g.UpdateWithWitnesses(now, false, true, "a", "b", "c")
			g.RequestConsent(now)
			g.Consent("a", "c")
		}, true},
		"others consent": {func(g *owner.WriteBehindGate) {
			g.UpdateWithWitnesses(now, false, true, "a", "d", "e")
			g.RequestConsent(now)
			g.Consent("d", "e")
		}, false},
		"a record with other witnesses may reach the store": {func(g *owner.WriteBehindGate) {
			g.UpdateWithWitnesses(now, false, true, "a", "d", "e")
			g.SendRecord()
			g.RequestConsent(now)
			g.Consent("a", "b")
		}, false},
		"it may, and these consent, too": {func(g *owner.WriteBehindGate) {
			g.UpdateWithWitnesses(now, false, true, "a", "d", "e")
			g.SendRecord()
			g.RequestConsent(now)
			g.Consent("a", "b", "d")
		}, true},
		"the newest record says that placements are missing": {func(g *owner.WriteBehindGate) {
			g.UpdateWithWitnesses(now, true, true, "a", "b", "c")
			g.WriteRecord()
		}, true},
		"the consent is withdrawn": {func(g *owner.WriteBehindGate) {
			g.UpdateWithWitnesses(now.Add(-time.Minute), false, true, "a", "b", "c")
			g.RequestConsent(now.Add(-time.Minute))
			g.Consent("a", "b", "c")
			g.WithdrawConsent(now, false)
			g.UpdateWithWitnesses(now, false, true, "a", "b", "c")
		}, false},
	} {
		g := newGate()
		tc.setUp(g)
		if got := g.MayWriteBehind(now); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}

// Guards against a consent that is given back while tasks run on placements that only this owner knows.
func TestConsentIsKeptUntilAllPlacementsArePersisted(t *testing.T) {
	now := clock.NewFake().Now()
	g := owner.NewWriteBehindGateFrom(&owner.Record{Epoch: 3})
	g.UpdateWithWitnesses(now, false, false, "a", "b", "c")
	g.WriteRecord()
	g.UpdateWithWitnesses(now, false, true, "a", "b", "c")
	g.RequestConsent(now)
	g.Consent("a", "b")
	for name, tc := range map[string]struct {
		at             time.Time
		hasUnpersisted bool
	}{
		"the store is slow":      {now, false},
		"placements are missing": {now.Add(time.Minute), true},
	} {
		if g.WithdrawConsent(tc.at, tc.hasUnpersisted) {
			t.Errorf("%s: got: withdrawn, want: kept", name)
		}
	}
	if !g.WithdrawConsent(now.Add(time.Minute), false) {
		t.Error("the store is quick and has everything: got: kept, want: withdrawn")
	}
}

// Guards against owners in a row that lose what witnesses know of the first one.
func TestRecordsNamePreviousWitnessesUntilItsStartsAreKnown(t *testing.T) {
	now := clock.NewFake().Now()
	previous := witness.Quorum{Epoch: 2, Witnesses: []string{"a", "b"}}
	g := owner.NewWriteBehindGateFrom(&owner.Record{Epoch: 3, MayHaveUnpersisted: true, Witnesses: previous})
	g.UpdateWithWitnesses(now, true, true, "c", "d")
	if got := g.WriteRecord(); !got.Equal(&previous) {
		t.Errorf("before it is known: got: %v, want: %v", got, previous)
	}
	if g.MayWriteBehind(now) {
		t.Error("write-behind without their consent: got: allowed, want: not allowed")
	}
	g.RequestConsent(now)
	g.Consent("a", "b")
	if !g.MayWriteBehind(now) {
		t.Error("write-behind with their consent: got: not allowed, want: allowed")
	}
	want := witness.Quorum{Epoch: 3, Witnesses: []string{"c", "d"}}
	g.UpdateWithWitnesses(now, false, false)
	if got := g.WriteRecord(); !got.Equal(&previous) {
		t.Errorf("once it is known, before others are linked: got: %v, want: %v", got, previous)
	}
	g.UpdateWithWitnesses(now, false, false, "c", "d")
	if got := g.WriteRecord(); !got.Equal(&want) {
		t.Errorf("once it is known: got: %v, want: %v", got, want)
	}
	g.UpdateWithWitnesses(now, true, false, "c", "d")
	if got := g.WriteRecord(); !got.IsEmpty() {
		t.Errorf("with missing placements: got: %v, want: none", got)
	}
}

// Guards against a task that runs twice: the loop finds that write-behind is allowed under a record without witnesses, and the
// next record, which may be composed before the loop starts anything, names witnesses that were not asked.
func TestNextRecordNamesNoWitnessesThatDoNotKnowOfWriteBehind(t *testing.T) {
	now := clock.NewFake().Now()
	// As a claim after a record without witnesses, or a record of an owner to which nobody was linked.
	g := owner.NewWriteBehindGateFrom(&owner.Record{Epoch: 3, MayHaveUnpersisted: true})
	g.UpdateWithWitnesses(now, false, true, "a", "b", "c")
	isAllowed := g.MayWriteBehind(now)
	if q := g.WriteRecord(); isAllowed && !q.IsEmpty() {
		t.Errorf("write-behind allowed without consent, then a record: got: %v, want: no witnesses", q)
	}
}
