// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package session_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/order"
	"github.com/leverdyke/leverdyke/internal/session"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A lease ends 4.5 s after its owner was confirmed, by the worker's clock, which may be 2 % slow. The
// owner must not count it as expired before that, or a task would run twice.
func TestLeaseExpiresByTheSlowestClock(t *testing.T) {
	l := session.Lease{}
	l.ObserveClock(order.WorkerTime(100*sec), begin)
	if got, want := l.Renew(begin.Add(sec)), order.WorkerTime(105500*ms); got != want {
		t.Errorf("end of the lease: got: %v, want: %v", got, want)
	}
	for after, want := range map[time.Duration]bool{5500 * ms: false, 5900 * ms: false, 6100 * ms: true} {
		if got := l.HasExpired(begin.Add(after)); got != want {
			t.Errorf("expired %v after the clock was read: got: %v, want: %v", after, got, want)
		}
	}
}

// A successor counts the leases of an owner from its own claim, which is not before that owner was last
// confirmed. Leases that ran longer, because they were renewed late or by a slow clock, would let a task run
// twice.
func TestLeasesEndInTimeAfterTheirOwnerWasConfirmed(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 77))
		rate := 1 - 0.02*rng.Float64()
		clockAt := func(at time.Duration) order.WorkerTime {
			return order.WorkerTime(time.Hour + time.Duration(rate*float64(at)))
		}
		l, deadline, confirmedAt := session.Lease{}, order.WorkerTime(0), time.Duration(0)
		for now := time.Duration(0); now < 20*sec; now += time.Duration(rng.Int64N(int64(2 * sec))) {
			if rng.IntN(4) > 0 {
				l.ObserveClock(clockAt(now), begin.Add(now+time.Duration(rng.Int64N(int64(50*ms)))))
			}
			if rng.IntN(3) > 0 {
				confirmedAt = max(confirmedAt, now-time.Duration(rng.Int64N(int64(4*sec))))
			}
			if !l.LastHeardAt().IsZero() {
				deadline = l.Renew(begin.Add(confirmedAt))
			}
		}
		if deadline > clockAt(confirmedAt+session.OwnLeaseBound) {
			t.Fatalf("seed %d: last lease: got: until %v, want: at most %v after the owner was confirmed", seed, time.Duration(deadline-clockAt(confirmedAt)), session.OwnLeaseBound)
		}
	}
}

// Answers may overtake one another, so that an older clock arrives after a newer one. It must
// not turn the clock back, and no renewal may end before an earlier one: workers do not shorten
// leases.
func TestReorderedClocksDoNotShortenTheLease(t *testing.T) {
	l := session.Lease{}
	l.ObserveClock(order.WorkerTime(100*sec), begin)
	first := l.Renew(begin.Add(3 * sec))
	l.ObserveClock(order.WorkerTime(101*sec), begin.Add(3*sec))
	l.ObserveClock(order.WorkerTime(50*sec), begin.Add(4*sec))
	if got := l.Clock(); got != order.WorkerTime(101*sec) || !l.LastHeardAt().Equal(begin.Add(3*sec)) {
		t.Errorf("clock: got: %v at %v, want: 1m41s at 3s", time.Duration(got), l.LastHeardAt().Sub(begin))
	}
	if got := l.Renew(begin.Add(3 * sec)); got < first {
		t.Errorf("second renewal: got: %v, want: at least %v", got, first)
	}
}

// A previous owner may have renewed the worker's lease for longer than this owner did. What it
// started there may run until that lease has expired, too.
func TestLeasesOfPreviousOwnersAreAwaited(t *testing.T) {
	l := session.Lease{}
	if l.HasExpired(begin.Add(time.Hour)) {
		t.Error("a worker that never answered: got: its lease has expired, want: there was none")
	}
	l.RecordOtherLeases(begin.Add(20 * sec))
	l.RecordOtherLeases(begin.Add(10 * sec))
	l.ObserveClock(order.WorkerTime(sec), begin)
	l.Renew(begin)
	for after, want := range map[time.Duration]bool{19 * sec: false, 21 * sec: true} {
		if got := l.HasExpired(begin.Add(after)); got != want {
			t.Errorf("expired after %v: got: %v, want: %v", after, got, want)
		}
	}
}

// A clock that runs behind its last value is that of a newer incarnation. The end of the lease that was sent
// lies far ahead of it, so that its lease may last for 10 s, the longest that workers accept.
func TestLeaseGivenByAnEarlierClockIsAwaited(t *testing.T) {
	for clock, want := range map[order.WorkerTime]time.Duration{
		0: 4980 * ms, order.WorkerTime(sec): 11700 * ms, order.WorkerTime(99800 * ms): 4980 * ms, order.WorkerTime(101 * sec): 4940 * ms,
	} {
		l := session.Lease{}
		l.ObserveClock(order.WorkerTime(100*sec), begin)
		l.Renew(begin)
		l.ObserveAnswerClock(clock, begin.Add(sec))
		if got := l.ExpiresAt().Sub(begin); got < want-600*ms || got > want {
			t.Errorf("clock of 100 s, then of %v: expired after: got: %v, want: %v at most, and not much less", time.Duration(clock), got, want)
		}
	}
}

// A worker whose clock begins at 0 with each incarnation may restart soon after its last start.
// Its answers must not be taken for those of the earlier incarnation: its clock is behind by the
// time for which the worker was down.
func TestClockOfANewerIncarnationIsImplausible(t *testing.T) {
	l := session.Lease{}
	l.ObserveClock(order.WorkerTime(150*ms), begin)
	for name, tc := range map[string]struct {
		clock  time.Duration
		sentAt time.Duration
		want   bool
	}{
		"none":                           {0, sec, false},
		"the same incarnation":           {1160 * ms, sec, true},
		"the same incarnation, 2 % slow": {1135 * ms, sec, true},
		"a newer one, down for 0.3s":     {870 * ms, sec, false},
		"sent before the last answer":    {140 * ms, -20 * ms, true},
	} {
		if got := l.IsPlausibleClock(order.WorkerTime(tc.clock), begin.Add(tc.sentAt)); got != tc.want {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}

// The clock of a newer incarnation may be far ahead. Taken for this incarnation's, it would make
// this one seem to have answered after it had ended.
func TestClockTooFarAheadIsOfAnotherIncarnation(t *testing.T) {
	for clock, want := range map[time.Duration]bool{102 * sec: true, 102500 * ms: true, 103 * sec: false, 500 * time.Hour: false} {
		l := session.Lease{}
		l.ObserveClock(order.WorkerTime(100*sec), begin)
		now := begin.Add(2 * sec)
		if got := l.ObserveAnswerClock(order.WorkerTime(clock), now); got != want || l.LastHeardAt().Equal(now) != want {
			t.Errorf("2 s after 100 s, %v: got: %v, last answer at %v, want: %v", clock, got, l.LastHeardAt().Sub(begin), want)
		}
	}
}

// A worker reports an end again until it is confirmed. Accepted twice, it would be
// handled twice.
func TestEndIsAcceptedOnce(t *testing.T) {
	e := session.Ends{}
	for i, tc := range []struct {
		number uint64
		want   bool
	}{{1, true}, {1, false}, {3, true}, {3, false}, {2, true}, {2, false}, {1, false}} {
		if got := e.AcceptEnd(tc.number); got != tc.want {
			t.Errorf("end %d, number %d: got: %v, want: %v", i, tc.number, got, tc.want)
		}
	}
	e.MarkEndsStored(2)
	if e.AreEndsStored() {
		t.Error("with 2 of 3 stored: got: all stored, want: not")
	}
	e.MarkEndsStored(3)
	if !e.AreEndsStored() || e.LastAcceptedEnd() != 3 {
		t.Errorf("with 3 stored: got: %v of %d, want: all of 3", e.AreEndsStored(), e.LastAcceptedEnd())
	}
}

// Guards against an end that is passed over, and then confirmed, because a later one was accepted
// before it.
func TestNoEndIsConfirmedBeyondOneThatIsMissing(t *testing.T) {
	e := session.Ends{}
	e.BeginListing(41, false)
	for _, number := range []uint64{43, 41, 45} {
		e.AcceptEnd(number)
	}
	if got := e.LastAcceptedEnd(); got != 41 {
		t.Errorf("42 is missing: got: all up to %d, want: up to 41", got)
	}
	e.MarkEndsStored(41)
	if e.AreEndsStored() {
		t.Error("43 and 45 are not confirmed: got: all stored, want: not")
	}
	if !e.AcceptEnd(42) || e.LastAcceptedEnd() != 43 {
		t.Errorf("42 was accepted: got: all up to %d, want: up to 43", e.LastAcceptedEnd())
	}
}

// A worker that has forgotten ends, confirmed by another owner, never reports them again. Waiting
// for them would keep it from forgetting any other.
func TestForgottenEndsAreNotAwaited(t *testing.T) {
	e := session.Ends{}
	e.BeginListing(1, true)
	e.AcceptEnd(1)
	e.AcceptEnd(7)
	e.BeginListing(5, false)
	if got := e.LastAcceptedEnd(); got != 1 {
		t.Errorf("a listing that may lack ends begins with 5: got: all up to %d, want: up to 1", got)
	}
	e.BeginListing(5, true)
	if got := e.LastAcceptedEnd(); got != 4 {
		t.Errorf("a complete listing begins with 5: got: all up to %d, want: up to 4", got)
	}
	e.BeginListing(0, true)
	if got := e.LastAcceptedEnd(); got != 7 {
		t.Errorf("a complete listing has no end: got: all up to %d, want: up to 7", got)
	}
}

// A listing that was overtaken by a newer one shows an outdated state.
func TestOvertakenListingIsIgnored(t *testing.T) {
	s := session.Session{}
	for i, tc := range []struct {
		clock order.WorkerTime
		want  bool
	}{{5, true}, {4, false}, {5, true}, {6, true}} {
		if got := s.AcceptListing(tc.clock, begin.Add(time.Duration(i)*sec)); got != tc.want {
			t.Errorf("listing %d: got: %v, want: %v", i, got, tc.want)
		}
	}
	if s.ListedClock() != 6 || !s.ListedAt().Equal(begin.Add(3*sec)) {
		t.Errorf("newest: got: %v at %v, want: 6 at 3s", s.ListedClock(), s.ListedAt().Sub(begin))
	}
}

// A worker that has not answered for a while may have restarted. By the numbers of its earlier
// incarnation it would forget ends that it has not reported, and these tasks would run twice.
func TestEndsAreConfirmedOnlyRightAfterAnAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		after  time.Duration
		misses int
		want   uint64
	}{
		"just answered":        {10 * ms, 0, 7},
		"answered a while ago": {300 * ms, 0, 0},
		"it did not answer":    {10 * ms, 1, 0},
		"silent for a while":   {sec, 3, 0},
	} {
		s := session.Session{}
		s.RecordAnswer(1, begin)
		s.AcceptListing(1, begin)
		s.MarkEndsStored(7)
		for range tc.misses {
			s.CountMiss(begin)
		}
		if got := s.ConfirmableEnd(begin.Add(tc.after)); got != tc.want {
			t.Errorf("%s: got: %d, want: %d", name, got, tc.want)
		}
	}
}

// A poll that confirms ends may be delayed and reach a newer incarnation, which would forget
// ends that it has not reported. So no more polls confirm than are needed.
func TestAcknowledgedEndsAreNotConfirmedAgain(t *testing.T) {
	s := session.Session{}
	s.RecordAnswer(1, begin)
	s.AcceptListing(1, begin)
	for i, tc := range []struct{ stored, forgotten, want uint64 }{{0, 0, 0}, {3, 0, 3}, {3, 3, 0}, {5, 3, 5}, {5, 5, 0}} {
		s.MarkEndsStored(tc.stored)
		s.MarkEndsForgotten(tc.forgotten)
		if got := s.ConfirmableEnd(begin); got != tc.want {
			t.Errorf("step %d: got: %d, want: %d", i, got, tc.want)
		}
	}
}

// A single lost answer must not make a worker silent, and a silent worker must not be polled
// without a pause.
func TestWorkerIsSilentAfterTwoMisses(t *testing.T) {
	s := session.Session{}
	pauses := []time.Duration{0, 200 * ms, 400 * ms, 800 * ms, sec, sec}
	for i, want := range pauses {
		s.BeginLongPoll(begin)
		if s.MayLongPoll(begin) || !s.IsLongPolling() || s.LongPollAge(begin.Add(ms)) != ms {
			t.Errorf("long poll %d: got: another may be sent, want: one is in flight", i)
		}
		s.EndLongPoll()
		s.CountMiss(begin)
		if got := s.IsSilent(); got != (i > 0) {
			t.Errorf("silent after %d misses: got: %v, want: %v", i+1, got, i > 0)
		}
		if !s.MayLongPoll(begin.Add(want)) || want > 0 && s.MayLongPoll(begin.Add(want-ms)) {
			t.Errorf("pause after %d misses: want: %v", i+1, want)
		}
	}
	s.RecordAnswer(1, begin)
	if s.IsSilent() || s.HasMissed() {
		t.Error("when it answers: got: silent, want: not")
	}
}

// Answers may be lost, so that an immediate poll is repeated. A worker that answers none must
// not be flooded with them.
func TestImmediatePollsInFlightAreBounded(t *testing.T) {
	p := session.Polls{}
	sent := 0
	for i := range 20 {
		if p.TryImmediatePoll(begin.Add(time.Duration(i) * 50 * ms)) {
			sent++
		}
	}
	if sent != 4 || !p.WantsImmediatePoll() {
		t.Errorf("sent in 1 s without answers: got: %d, want: 4, and one more wanted", sent)
	}
	p.EndImmediatePoll()
	if !p.TryImmediatePoll(begin.Add(2*sec)) || p.WantsImmediatePoll() {
		t.Error("after an answer: got: none sent, want: one")
	}
}

// A newer incarnation may get the end of a lease by the earlier clock until it refuses such messages: counted from
// sooner, its tasks would run twice, counted from later, they would wait for nothing.
func TestForeignLeaseIsAwaitedFromWhenItsEndsAreRefused(t *testing.T) {
	for name, tc := range map[string]struct{ fencedAt, want time.Duration }{
		"never":               {0, 22700 * ms},
		"soon":                {200 * ms, 10900 * ms},
		"after the last ones": {15 * sec, 22700 * ms},
	} {
		l := session.Lease{}
		l.RecordForeignLeases(begin.Add(12*sec + session.AnyLeaseBound))
		if tc.fencedAt > 0 {
			l.FenceForeignLeases(begin.Add(tc.fencedAt))
		}
		if got := l.ExpiresAt().Sub(begin); got != tc.want {
			t.Errorf("%s: expires after: got: %v, want: %v", name, got, tc.want)
		}
	}
}
