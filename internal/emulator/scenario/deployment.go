// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package scenario defines the input of the emulator: deployments and fault schedules, which are read from
// files or, for schedules, drawn at random.
package scenario

import (
	"fmt"
	"os"
	"time"

	"github.com/leverdyke/leverdyke/internal/document"
)

// Bounds of a deployment: the whole emulation runs on one machine.
const (
	maxNodes   = 60
	maxWorkers = 400
	maxTasks   = 500
)

// Deployment describes the emulated cluster and its load.
type Deployment struct {
	Name    string  `yaml:"name"`
	Nodes   Nodes   `yaml:"nodes"`
	Workers Workers `yaml:"workers"`
	// UsesPermissionService means that each step may run only on the workers that a permission service
	// allows.
	UsesPermissionService bool      `yaml:"asksPermission"`
	Jobs                  []JobKind `yaml:"jobs"`
}

// Nodes describes the scheduler's nodes, one on each entry VM.
type Nodes struct {
	Count int `yaml:"count"`
	// CPUShare is the share of one processor that the settings of each node name; 0 means 0.5.
	CPUShare float64 `yaml:"cpuShare"`
}

// Workers describes the backend servers, which are identical.
type Workers struct {
	Count     int   `yaml:"count"`
	MilliCPU  int64 `yaml:"milliCPU"`
	MemoryMiB int64 `yaml:"memoryMiB"`
	// Zones is the number of availability zones over which the workers are spread; 0 means 1.
	Zones int `yaml:"zones"`
}

// JobKind is a kind of job. The load is open: jobs arrive whether or not earlier ones have ended.
type JobKind struct {
	Name string `yaml:"name"`
	// InitialCount is the number of jobs submitted before the fault schedule starts, PerSecond the mean
	// rate of arrivals while it runs.
	InitialCount int     `yaml:"atStart"`
	PerSecond    float64 `yaml:"perSecond"`
	// CancelShare is the share of the jobs that their callers cancel shortly after acceptance.
	CancelShare float64 `yaml:"cancelShare"`
	// Steps run one after the other.
	Steps []Step `yaml:"steps"`
}

// Step is a step of a kind of job.
type Step struct {
	// Tasks is the number of tasks, or its mean if IsTaskCountRandom.
	Tasks int `yaml:"tasks"`
	// IsTaskCountRandom means that the number is drawn for each job from a geometric distribution.
	IsTaskCountRandom bool `yaml:"varies"`
	// MilliCPU and MemoryMiB are what each task needs.
	MilliCPU  int64 `yaml:"milliCPU"`
	MemoryMiB int64 `yaml:"memoryMiB"`
	// Duration is how long each task runs; 0 for long-running tasks.
	Duration time.Duration `yaml:"takes"`
	// IsLongRunning means that its tasks run until the job is cancelled.
	IsLongRunning bool `yaml:"lasts"`
}

// LoadDeployment reads and checks a file. The error is a *document.FieldError if the file's content is
// invalid.
func LoadDeployment(path string) (*Deployment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	d := &Deployment{}
	f, err := document.Decode(path, data, d)
	if err != nil {
		return nil, err
	}
	return d, d.check(f)
}

func (d *Deployment) check(f *document.File) error {
	switch {
	case d.Nodes.Count < 1 || d.Nodes.Count > maxNodes:
		return f.Errorf("count", fmt.Sprintf("1 to %d", maxNodes), "nodes.count is %d", d.Nodes.Count)
	case d.Nodes.CPUShare < 0 || d.Nodes.CPUShare > 1:
		return f.Errorf("cpuShare", "above 0, up to 1", "nodes.cpuShare is %g", d.Nodes.CPUShare)
	case d.Workers.Count < 1 || d.Workers.Count > maxWorkers:
		return f.Errorf("count", fmt.Sprintf("1 to %d", maxWorkers), "workers.count is %d", d.Workers.Count)
	case d.Workers.Zones < 0 || d.Workers.Zones > d.Workers.Count:
		return f.Errorf("zones", fmt.Sprintf("0 to %d, the number of workers", d.Workers.Count), "workers.zones is %d", d.Workers.Zones)
	case d.Workers.MilliCPU < 1:
		return f.Errorf("milliCPU", "1 or more", "workers.milliCPU is %d", d.Workers.MilliCPU)
	case d.Workers.MemoryMiB < 1:
		return f.Errorf("memoryMiB", "1 or more", "workers.memoryMiB is %d", d.Workers.MemoryMiB)
	case len(d.Jobs) == 0:
		return f.Errorf("jobs", "one kind of job or more", "the deployment has no kind of job")
	}
	for i := range d.Jobs {
		if err := d.checkKind(f, &d.Jobs[i]); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) checkKind(f *document.File, k *JobKind) error {
	switch {
	case k.Name == "":
		return f.Errorf("jobs", "a name for each", "a kind of job has no name")
	case k.InitialCount < 0:
		return f.Errorf("atStart", "0 or more", "%s: atStart is %d", k.Name, k.InitialCount)
	case k.PerSecond < 0:
		return f.Errorf("perSecond", "0 or more", "%s: perSecond is %g", k.Name, k.PerSecond)
	case k.CancelShare < 0 || k.CancelShare > 1:
		return f.Errorf("cancelShare", "0 to 1", "%s: cancelShare is %g", k.Name, k.CancelShare)
	case len(k.Steps) == 0:
		return f.Errorf("steps", "one step or more", "%s has no steps", k.Name)
	}
	for i := range k.Steps {
		if err := d.checkStep(f, k.Name, &k.Steps[i]); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) checkStep(f *document.File, kind string, s *Step) error {
	switch {
	case s.Tasks < 1 || s.Tasks > maxTasks:
		return f.Errorf("tasks", fmt.Sprintf("1 to %d", maxTasks), "%s: tasks is %d", kind, s.Tasks)
	case s.MilliCPU < 0 || s.MilliCPU > d.Workers.MilliCPU:
		return f.Errorf("milliCPU", fmt.Sprintf("0 to %d, the capacity of a worker", d.Workers.MilliCPU), "%s: milliCPU is %d", kind, s.MilliCPU)
	case s.MemoryMiB < 0 || s.MemoryMiB > d.Workers.MemoryMiB:
		return f.Errorf("memoryMiB", fmt.Sprintf("0 to %d, the capacity of a worker", d.Workers.MemoryMiB), "%s: memoryMiB is %d", kind, s.MemoryMiB)
	case !s.IsLongRunning && s.Duration <= 0:
		return f.Errorf("takes", "a duration above 0, such as 800ms", "%s: takes is %v", kind, s.Duration)
	case s.IsLongRunning && s.Duration != 0:
		return f.Errorf("takes", "no value if lasts is true", "%s: takes is %v", kind, s.Duration)
	}
	return nil
}
