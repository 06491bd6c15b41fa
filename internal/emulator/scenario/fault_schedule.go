// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package scenario

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/leverdyke/leverdyke/internal/document"
)

// Kind is a kind of fault.
type FaultKind string

// The kinds. Those that name a time end by themselves after it.
const (
	// NodeKill ends nodes at once, NodeStop as planned; both start again after the time.
	NodeKill FaultKind = "node-kill"
	NodeStop FaultKind = "node-stop"
	// NodePause lets nodes stand still.
	NodePause FaultKind = "node-pause"
	// PowerLoss ends all nodes at once; they start again after the time.
	PowerLoss FaultKind = "power-loss"
	// StoreBusy makes the store refuse all, StoreSilent answer nothing, StoreSlow take long.
	StoreBusy   FaultKind = "store-busy"
	StoreSilent FaultKind = "store-silent"
	StoreSlow   FaultKind = "store-slow"
	// StoreLosesAnswers makes the next count appends be done and not answered.
	StoreLosesReplies FaultKind = "store-loses-answers"
	// WorkerCrash ends workers; others take their places. WorkerRestart starts them again after the
	// time, under their IDs.
	WorkerCrash   FaultKind = "worker-crash"
	WorkerRestart FaultKind = "worker-restart"
	// WorkerFailsLasting makes workers fail the tasks that last which they run and start.
	WorkerFailsLongRunning FaultKind = "worker-fails-lasting"
	// WorkerMute makes workers carry out the next orders to start without an answer,
	// WorkerHoldsUp the time later.
	WorkerDropsReplies FaultKind = "worker-mute"
	WorkerDelaysStarts FaultKind = "worker-holds-up"
	// ConfigChange publishes a new version of the configuration.
	ConfigChange FaultKind = "config-change"
)

// kinds are all of them, and how long each lasts at least and at most where it is drawn; 0 for those
// that take no time.
var faultKinds = []struct {
	kind                       FaultKind
	minDuration, extraDuration time.Duration
}{
	{NodeKill, 300 * time.Millisecond, 3 * time.Second},
	{NodeStop, 300 * time.Millisecond, 2 * time.Second},
	{NodePause, 300 * time.Millisecond, 4 * time.Second},
	{PowerLoss, 300 * time.Millisecond, time.Second},
	{StoreBusy, 300 * time.Millisecond, 3 * time.Second},
	{StoreSilent, 300 * time.Millisecond, 3 * time.Second},
	{StoreSlow, 300 * time.Millisecond, 4 * time.Second},
	{StoreLosesReplies, 0, 0},
	{WorkerCrash, 0, 0},
	{WorkerRestart, 300 * time.Millisecond, 1500 * time.Millisecond},
	{WorkerFailsLongRunning, 500 * time.Millisecond, 4 * time.Second},
	{WorkerDropsReplies, 0, 0},
	{WorkerDelaysStarts, 2 * time.Second, 3 * time.Second},
	{ConfigChange, 0, 0},
}

// Day is what happens while jobs come.
type FaultSchedule struct {
	Name string `yaml:"name"`
	// Length is how long jobs come.
	Length time.Duration `yaml:"length"`
	Faults []Fault       `yaml:"faults"`
}

// Fault is one fault of a day.
type Fault struct {
	// At is when it begins, from the begin of the day.
	At   time.Duration `yaml:"at"`
	Kind FaultKind     `yaml:"kind"`
	// For is how long it lasts.
	Duration time.Duration `yaml:"for,omitempty"`
	// Count is how many nodes, workers or answers it is about; 0 means one.
	Count int `yaml:"count,omitempty"`
}

// LoadDay reads a file. The error is a *document.FieldError where the file is at fault.
func LoadFaultSchedule(path string) (*FaultSchedule, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	d := &FaultSchedule{}
	f, err := document.Decode(path, data, d)
	if err != nil {
		return nil, err
	}
	return d, d.check(f)
}

// Save writes a day as LoadDay reads it.
func (d *FaultSchedule) Save(path string) error {
	data, err := yaml.Marshal(d)
	if err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	return nil
}

func (d *FaultSchedule) check(f *document.File) error {
	if d.Length <= 0 || d.Length > time.Hour {
		return f.Errorf("length", "over 0, up to 1h", "length is %v", d.Length)
	}
	for i := range d.Faults {
		if err := d.Faults[i].check(f, i, d.Length); err != nil {
			return err
		}
	}
	slices.SortStableFunc(d.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return nil
}

func (fault *Fault) check(f *document.File, i int, length time.Duration) error {
	minDuration, _, ok := fault.Kind.durationRange()
	switch {
	case !ok:
		return f.Errorf("kind", kindList(), "fault %d: kind is %q", i+1, fault.Kind)
	case fault.At < 0 || fault.At > length:
		return f.Errorf("at", fmt.Sprintf("0s to %v, the day's length", length), "fault %d: at is %v", i+1, fault.At)
	case minDuration > 0 && fault.Duration <= 0:
		return f.Errorf("for", "a duration over 0, as 2s", "fault %d: for is %v", i+1, fault.Duration)
	case minDuration == 0 && fault.Duration != 0:
		return f.Errorf("for", "none, as "+string(fault.Kind)+" takes no time", "fault %d: for is %v", i+1, fault.Duration)
	case fault.Count < 0:
		return f.Errorf("count", "0 or more", "fault %d: count is %d", i+1, fault.Count)
	}
	return nil
}

// times returns how long faults of the kind last when they are drawn, at least and by how much more;
// false when there is no such kind.
func (k FaultKind) durationRange() (minDuration, extraDuration time.Duration, ok bool) {
	for _, known := range faultKinds {
		if known.kind == k {
			return known.minDuration, known.extraDuration, true
		}
	}
	return 0, 0, false
}

func kindList() string {
	names := make([]string, len(faultKinds))
	for i := range faultKinds {
		names[i] = string(faultKinds[i].kind)
	}
	return strings.Join(names, ", ")
}

// Vary returns the day with other moments and lengths, by a seed.
func (d *FaultSchedule) WithVariedTimes(rng *rand.Rand) *FaultSchedule {
	varied := &FaultSchedule{Name: d.Name, Length: d.Length, Faults: slices.Clone(d.Faults)}
	for i := range varied.Faults {
		f := &varied.Faults[i]
		f.At = min(time.Duration(float64(f.At)*(0.7+0.6*rng.Float64())), d.Length)
		f.Duration = time.Duration(float64(f.Duration) * (0.5 + rng.Float64()))
	}
	slices.SortStableFunc(varied.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return varied
}

// meanPause is the mean time between two faults of a day that is drawn.
const meanFaultInterval = 1200 * time.Millisecond

// Draw draws a day from all kinds: overlapping faults for most of its length, and calm at its end.
func RandomFaultSchedule(name string, length time.Duration, rng *rand.Rand) *FaultSchedule {
	d := &FaultSchedule{Name: name, Length: length}
	end := length * 2 / 3
	for at := time.Second; at < end; at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)) {
		k := faultKinds[rng.IntN(len(faultKinds))]
		f := Fault{At: at.Round(time.Millisecond), Kind: k.kind, Count: 1 + rng.IntN(2)}
		if k.minDuration > 0 {
			f.Duration = (k.minDuration + time.Duration(rng.Int64N(int64(k.extraDuration)))).Round(time.Millisecond)
		}
		d.Faults = append(d.Faults, f)
	}
	return d
}

// Without returns the day without one of its faults.
func (d *FaultSchedule) WithoutFault(i int) *FaultSchedule {
	reduced := &FaultSchedule{Name: d.Name, Length: d.Length, Faults: slices.Clone(d.Faults)}
	reduced.Faults = slices.Delete(reduced.Faults, i, i+1)
	return reduced
}
