// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package reserve_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/reserve"
)

const second = time.Second

func accelerators(n int64) leverdyke.Resources { return leverdyke.Resources{Accelerators: n} }

func occupant(n int64, endsIn time.Duration) reserve.Occupant {
	return reserve.Occupant{Resources: accelerators(n), EndsIn: endsIn}
}

func preemptible(n int64, endsIn, cost time.Duration) reserve.Occupant {
	return reserve.Occupant{Resources: accelerators(n), EndsIn: endsIn, IsPreemptible: true, PreemptionCost: cost}
}

func TestPlan(t *testing.T) {
	whole := reserve.Request{Count: 1, Need: accelerators(8), StopTime: 400 * time.Millisecond}
	two := whole
	two.Count = 2
	gang := two
	gang.IsGang = true
	patient := whole
	patient.MaxWait = 6 * second
	for name, c := range map[string]struct {
		request reserve.Request
		workers []reserve.Worker
		want    []reserve.Placement
	}{
		"an empty worker goes before one that is still in use": {
			whole,
			[]reserve.Worker{
				{Free: accelerators(4), MaxTasks: 1, Occupants: []reserve.Occupant{occupant(4, second)}},
				{Free: accelerators(8), MaxTasks: 1},
			},
			[]reserve.Placement{{Worker: 1}},
		},
		"the worker that is empty first": {
			whole,
			[]reserve.Worker{
				{Free: accelerators(6), MaxTasks: 1, Occupants: []reserve.Occupant{occupant(1, second), occupant(1, 3*second)}},
				{MaxTasks: 1, Occupants: []reserve.Occupant{occupant(8, 2*second)}},
			},
			[]reserve.Placement{{Worker: 1, ReadyIn: 2 * second}},
		},
		"a task is preempted if that gains more time than it costs": {
			whole,
			[]reserve.Worker{{Free: accelerators(7), MaxTasks: 1, Occupants: []reserve.Occupant{preemptible(1, 5*second, second)}}},
			[]reserve.Placement{{ReadyIn: 400 * time.Millisecond, Preempted: []int{0}}},
		},
		"no task is preempted for one that may wait": {
			patient,
			[]reserve.Worker{
				{Free: accelerators(7), MaxTasks: 1, Occupants: []reserve.Occupant{preemptible(1, 9*second, second)}},
				{Free: accelerators(7), MaxTasks: 1, Occupants: []reserve.Occupant{preemptible(1, 5*second, second)}},
			},
			[]reserve.Placement{{Worker: 1, ReadyIn: 5 * second}},
		},
		"a task is preempted for one that may wait, but not for that long": {
			patient,
			[]reserve.Worker{{Free: accelerators(7), MaxTasks: 1, Occupants: []reserve.Occupant{preemptible(1, 7*second, second)}}},
			[]reserve.Placement{{ReadyIn: 400 * time.Millisecond, Preempted: []int{0}}},
		},
		"a task that ends soon is not preempted": {
			whole,
			[]reserve.Worker{{Free: accelerators(7), MaxTasks: 1, Occupants: []reserve.Occupant{preemptible(1, second, second)}}},
			[]reserve.Placement{{ReadyIn: second}},
		},
		"no task is preempted beside one that has to end first anyway": {
			whole,
			[]reserve.Worker{{Free: accelerators(6), MaxTasks: 1, Occupants: []reserve.Occupant{
				occupant(1, 5*second), preemptible(1, 5*second, second),
			}}},
			[]reserve.Placement{{ReadyIn: 5 * second}},
		},
		"fewer placements than tasks": {
			two,
			[]reserve.Worker{{Free: accelerators(8), MaxTasks: 1}},
			[]reserve.Placement{{}},
		},
		"a gang gets all or none": {
			gang,
			[]reserve.Worker{{Free: accelerators(8), MaxTasks: 1}},
			nil,
		},
		"a gang preempts nothing where it has to wait for another member anyway": {
			gang,
			[]reserve.Worker{
				{Free: accelerators(7), MaxTasks: 1, Occupants: []reserve.Occupant{preemptible(1, 5*second, second)}},
				{MaxTasks: 1, Occupants: []reserve.Occupant{occupant(8, 6*second)}},
			},
			[]reserve.Placement{{ReadyIn: 5 * second}, {Worker: 1, ReadyIn: 6 * second}},
		},
		"a gang preempts what it would have to wait for": {
			gang,
			[]reserve.Worker{
				{Free: accelerators(7), MaxTasks: 1, Occupants: []reserve.Occupant{preemptible(1, 7*second, second)}},
				{MaxTasks: 1, Occupants: []reserve.Occupant{occupant(8, 6*second)}},
			},
			[]reserve.Placement{{ReadyIn: 400 * time.Millisecond, Preempted: []int{0}}, {Worker: 1, ReadyIn: 6 * second}},
		},
		"two tasks on one worker": {
			reserve.Request{Count: 2, Need: accelerators(4)},
			[]reserve.Worker{{Free: accelerators(4), MaxTasks: 2, Occupants: []reserve.Occupant{occupant(4, second)}}},
			[]reserve.Placement{{}, {ReadyIn: second}},
		},
		"at most MaxTasks on a worker": {
			reserve.Request{Count: 2, Need: accelerators(4)},
			[]reserve.Worker{{Free: accelerators(8), MaxTasks: 1}},
			[]reserve.Placement{{}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := reserve.Plan(&c.request, c.workers)
			if len(got) != len(c.want) {
				t.Fatalf("got: %+v, want: %+v", got, c.want)
			}
			for i := range got {
				same := got[i].Worker == c.want[i].Worker && got[i].ReadyIn == c.want[i].ReadyIn && reflect.DeepEqual(got[i].Preempted, c.want[i].Preempted)
				if !same {
					t.Errorf("placement %d: got: %+v, want: %+v", i, got[i], c.want[i])
				}
			}
		})
	}
}
