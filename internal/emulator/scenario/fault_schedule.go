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

// FaultKind is a kind of fault. Its value is the name of the kind in files.
type FaultKind string

// The kinds of faults. Count is Fault.Count; a fault that has a duration ends by itself after it.
const (
	// NodeKill kills count nodes with SIGKILL, NodeStop stops them gracefully with SIGTERM. The nodes
	// are restarted after the duration.
	NodeKill FaultKind = "node-kill"
	NodeStop FaultKind = "node-stop"
	// NodePause suspends the processes of count nodes for the duration.
	NodePause FaultKind = "node-pause"
	// PowerLoss kills all nodes at the same time and restarts them after the duration.
	PowerLoss FaultKind = "power-loss"
	// StoreBusy makes the store refuse all requests, StoreSilent leave them unanswered, and StoreSlow
	// execute and answer them after a delay, each for the duration.
	StoreBusy   FaultKind = "store-busy"
	StoreSilent FaultKind = "store-silent"
	StoreSlow   FaultKind = "store-slow"
	// StoreLosesReplies makes the store execute the next count appends without answering them.
	StoreLosesReplies FaultKind = "store-loses-answers"
	// WorkerCrash ends count workers for good and adds new ones in their place. WorkerRestart ends count
	// workers and restarts them under the same IDs after the duration.
	WorkerCrash   FaultKind = "worker-crash"
	WorkerRestart FaultKind = "worker-restart"
	// WorkerFailsLongRunning makes count workers fail the long-running tasks that they run, and those
	// that they start within the duration.
	WorkerFailsLongRunning FaultKind = "worker-fails-lasting"
	// WorkerDropsReplies makes count workers carry out their next orders to start without answering.
	// WorkerDelaysStarts does the same, but the orders are carried out only after the duration.
	WorkerDropsReplies FaultKind = "worker-mute"
	WorkerDelaysStarts FaultKind = "worker-holds-up"
	// ZoneDrain drains count availability zones for the duration.
	ZoneDrain FaultKind = "zone-drain"
	// ConfigChange publishes a new version of the configuration.
	ConfigChange FaultKind = "config-change"
)

// faultKinds lists all kinds with the range from which RandomFaultSchedule draws their durations:
// minDuration up to minDuration plus extraDuration. Both are 0 for kinds without a duration.
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
	{ZoneDrain, 6 * time.Second, 4 * time.Second},
	{ConfigChange, 0, 0},
}

// FaultSchedule is the faults that are injected while jobs arrive. The files, the command line and the
// results call it a day.
type FaultSchedule struct {
	Name string `yaml:"name"`
	// Length is how long jobs arrive.
	Length time.Duration `yaml:"length"`
	Faults []Fault       `yaml:"faults"`
}

// Fault is one fault of a schedule.
type Fault struct {
	// At is when it starts, from the start of the schedule.
	At   time.Duration `yaml:"at"`
	Kind FaultKind     `yaml:"kind"`
	// Duration is how long it lasts; 0 for kinds without a duration.
	Duration time.Duration `yaml:"for,omitempty"`
	// Count is the number of nodes, workers or answers that it affects; 0 means one. Some kinds ignore
	// it.
	Count int `yaml:"count,omitempty"`
}

// LoadFaultSchedule reads and checks a file. The error is a *document.FieldError if the file's content is
// invalid.
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

// Save writes a schedule to a file that LoadFaultSchedule can read.
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
		return f.Errorf("length", "above 0, up to 1h", "length is %v", d.Length)
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
		return f.Errorf("for", "a duration above 0, such as 2s", "fault %d: for is %v", i+1, fault.Duration)
	case minDuration == 0 && fault.Duration != 0:
		return f.Errorf("for", "no value, because "+string(fault.Kind)+" has no duration", "fault %d: for is %v", i+1, fault.Duration)
	case fault.Count < 0:
		return f.Errorf("count", "0 or more", "fault %d: count is %d", i+1, fault.Count)
	}
	return nil
}

// durationRange returns the range from which durations of the kind are drawn, as a minimum and what may
// be added to it; false if there is no such kind.
func (k FaultKind) durationRange() (minDuration, extraDuration time.Duration, ok bool) {
	for _, known := range faultKinds {
		if known.kind == k {
			return known.minDuration, known.extraDuration, true
		}
	}
	return 0, 0, false
}

// kindList returns the names of all kinds for an error text.
func kindList() string {
	names := make([]string, len(faultKinds))
	for i := range faultKinds {
		names[i] = string(faultKinds[i].kind)
	}
	return strings.Join(names, ", ")
}

// WithVariedTimes returns a copy of the schedule in which each fault starts at 0.7 to 1.3 times its time,
// within the schedule's length, and lasts 0.5 to 1.5 times as long.
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

// meanFaultInterval is the mean time between the starts of two faults of a random schedule.
const meanFaultInterval = 1200 * time.Millisecond

// RandomFaultSchedule draws faults of all kinds. They may overlap, and start in the first two thirds of
// the schedule, so that its end is mostly free of faults.
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

// WithoutFault returns a copy of the schedule without the fault of the given index.
func (d *FaultSchedule) WithoutFault(i int) *FaultSchedule {
	reduced := &FaultSchedule{Name: d.Name, Length: d.Length, Faults: slices.Clone(d.Faults)}
	reduced.Faults = slices.Delete(reduced.Faults, i, i+1)
	return reduced
}
