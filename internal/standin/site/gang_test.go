// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"slices"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// newSite starts a site with a job a of one step.
func newSite(t *testing.T, step string) (*site.Site, []*site.Worker) {
	t.Helper()
	s, err := site.New(site.Options{Workers: 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if err := s.RegisterJob("a", []byte(`{"spec":"","steps":[`+step+`]}`)); err != nil {
		t.Fatal(err)
	}
	return s, s.Workers()
}

// awaitEnds waits until a worker lists these ends.
func awaitEnds(t *testing.T, w *site.Worker, want ...string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !slices.Equal(w.Ends(), want); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("ends on %s: got: %q, want: %q", w.ID(), w.Ends(), want)
		}
	}
}

func TestGangEndsTogether(t *testing.T) {
	_, workers := newSite(t, `{"count":2,"cpu":100,"memMb":10,"estimatedMs":50,"gangScheduled":true}`)
	workers[0].Start("a.0.0.0", 1, "")
	time.Sleep(100 * time.Millisecond)
	awaitEnds(t, workers[0])
	workers[1].Start("a.0.0.1", 1, "")
	awaitEnds(t, workers[0], "a.0.0.0 done ")
	awaitEnds(t, workers[1], "a.0.0.1 done ")
}

func TestGangIsBrokenByACrash(t *testing.T) {
	_, workers := newSite(t, `{"count":2,"cpu":100,"memMb":10,"estimatedMs":60000,"gangScheduled":true}`)
	workers[0].Start("a.0.0.0", 1, "")
	workers[1].Start("a.0.0.1", 1, "")
	workers[0].Crash()
	awaitEnds(t, workers[1], "a.0.0.1 broken ")
}

func TestMemberOfAGangWaitsForTheOthersInVain(t *testing.T) {
	t.Parallel()
	_, workers := newSite(t, `{"count":2,"cpu":100,"memMb":10,"estimatedMs":50,"gangScheduled":true}`)
	workers[0].Start("a.0.0.0", 1, "")
	awaitEnds(t, workers[0], "a.0.0.0 alone ")
}

func TestForeignCheckpointIsAViolation(t *testing.T) {
	for name, tc := range map[string]struct {
		checkpoint string
		want       int
	}{
		"none":                {"", 0},
		"of no task":          {"0000003200000000", 1},
		"of another length":   {"x", 1},
		"of the same task":    {"00000032" + site.CheckpointOwner("a.0.0.0"), 0},
		"of another, a.0.0.1": {"00000032" + site.CheckpointOwner("a.0.0.1"), 1},
	} {
		t.Run(name, func(t *testing.T) {
			s, workers := newSite(t, `{"count":2,"cpu":100,"memMb":10,"estimatedMs":60,"checkpointing":true}`)
			workers[0].Start("a.0.0.0", 1, tc.checkpoint)
			if got := len(s.Violations()); got != tc.want {
				t.Errorf("violations: got: %d, want: %d", got, tc.want)
			}
		})
	}
}
