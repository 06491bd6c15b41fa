// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"slices"
	"strings"
	"time"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/document"
)

// MaxTasks is the largest number of tasks that a job file may ask for.
const MaxTasks = 20000

// JobFile is the content of a job file. It either refers to a template, with
// Template, Params, Customer and Region, or has all fields of the job itself.
type JobFile struct {
	Template string            `yaml:"template"`
	Params   map[string]string `yaml:"params"`

	Team        string              `yaml:"team"`
	Customer    string              `yaml:"customer"`
	Region      string              `yaml:"region"`
	Kind        leverdyke.Kind      `yaml:"kind"`
	Class       leverdyke.Class     `yaml:"class"`
	Tasks       int                 `yaml:"tasks"`
	Each        leverdyke.Resources `yaml:"each"`
	RunTime     time.Duration       `yaml:"run_time"`
	Deadline    time.Duration       `yaml:"deadline"`
	IsOnce      bool                `yaml:"once"`
	MaxFailures int                 `yaml:"max_failures"`
	Service     string              `yaml:"service"`
	Request     leverdyke.Resources `yaml:"request"`
	RequestOnce bool                `yaml:"request_once"`
}

// ParseJob parses and checks a job file and returns the specification of the job
// id. findTemplate returns a template, or nil if there is none. region is the
// region of the job if the file names none.
func ParseJob(file string, body []byte, id, region string, findTemplate func(name string) *Template) (*leverdyke.JobSpec, error) {
	j := &JobFile{}
	f, err := document.Decode(file, body, j)
	if err != nil {
		return nil, err
	}
	if j.Template == "" {
		if len(j.Params) > 0 {
			return nil, f.Errorf("params", "only with a template", "parameters are given, but no template")
		}
		return j.spec(f, id, region)
	}
	return expandTemplate(f, j, id, region, findTemplate)
}

// expandTemplate replaces the parameters in the template that j names and parses
// the result as a job file. Values with YAML syntax or line breaks are refused,
// because they could add or change keys of the template's job.
func expandTemplate(f *document.File, j *JobFile, id, region string, findTemplate func(name string) *Template) (*leverdyke.JobSpec, error) {
	t := findTemplate(j.Template)
	if t == nil {
		return nil, f.Errorf("template", "a published template", "there is no template named %q", j.Template)
	}
	names := []string{}
	for name := range t.Params {
		names = append(names, name)
	}
	slices.Sort(names)
	for name := range j.Params {
		if !slices.Contains(names, name) {
			return nil, f.Errorf("params."+name, strings.Join(names, ", "), "the template has no such parameter")
		}
	}
	pairs := []string{"${customer}", j.Customer}
	for _, name := range names {
		value := j.Params[name]
		if value == "" {
			value = t.Params[name]
		}
		if value == "" {
			return nil, f.Errorf("params."+name, "a value", "the template needs it and has no default")
		}
		if strings.ContainsAny(value, "\n\r#:{}[]&*!|>'\"%@`") {
			return nil, f.Errorf("params."+name, "one word or number", "%q has characters that could change the keys of the template's job", value)
		}
		pairs = append(pairs, "${"+name+"}", value)
	}
	inner := &JobFile{}
	file, err := document.Decode("template/"+j.Template, []byte(strings.NewReplacer(pairs...).Replace(t.Job)), inner)
	if err != nil {
		return nil, err
	}
	if inner.Template != "" {
		return nil, file.Errorf("template", "a job without a template", "a template cannot use a template")
	}
	if inner.Customer == "" {
		inner.Customer = j.Customer
	}
	if j.Region != "" {
		inner.Region = j.Region
	}
	return inner.spec(file, id, region)
}

// spec sets the defaults of a job file without a template, checks it and returns
// the specification of the job.
func (j *JobFile) spec(f *document.File, id, region string) (*leverdyke.JobSpec, error) {
	j.setDefaults(region)
	for _, check := range []func(*document.File) error{j.checkNames, j.checkKind, j.checkSizes, j.checkService} {
		if err := check(f); err != nil {
			return nil, err
		}
	}
	return &leverdyke.JobSpec{
		ID: id, Team: j.Team, Customer: j.Customer, Region: j.Region, Kind: j.Kind, Class: j.Class, Tasks: j.Tasks,
		Each: j.Each, RunTime: j.RunTime, Deadline: j.Deadline, IsOnce: j.IsOnce, MaxFailures: j.MaxFailures,
		Service: j.Service, Request: j.Request, IsRequestOnce: j.RequestOnce,
	}, nil
}

func (j *JobFile) setDefaults(region string) {
	if j.Region == "" {
		j.Region = region
	}
	if j.Class == "" {
		j.Class = leverdyke.ClassNormal
	}
	if j.Each.Slots == 0 {
		j.Each.Slots = 1
	}
	if j.Service != "" && j.Request.Slots == 0 {
		j.Request.Slots = 1
	}
}

func (j *JobFile) checkNames(f *document.File) error {
	for _, n := range []struct{ key, value string }{{"team", j.Team}, {"region", j.Region}} {
		if !IsName(n.value) {
			return f.Errorf(n.key, nameAllowed, "%q is missing or no name", n.value)
		}
	}
	if j.Customer != "" && !IsName(j.Customer) {
		return f.Errorf("customer", nameAllowed, "%q is not a valid name", j.Customer)
	}
	return nil
}

func (j *JobFile) checkKind(f *document.File) error {
	kinds := []leverdyke.Kind{leverdyke.KindService, leverdyke.KindBatch, leverdyke.KindGang}
	if !slices.Contains(kinds, j.Kind) {
		return f.Errorf("kind", "service, batch, all-at-once", "%q is missing or not a kind of job", j.Kind)
	}
	classes := []leverdyke.Class{leverdyke.ClassUrgent, leverdyke.ClassNormal, leverdyke.ClassBatch}
	if !slices.Contains(classes, j.Class) {
		return f.Errorf("class", "urgent, normal, batch", "%q is not a class", j.Class)
	}
	if j.Kind == leverdyke.KindService && j.IsOnce {
		return f.Errorf("once", "false for a service", "a service starts its tasks again when they end")
	}
	if j.Kind != leverdyke.KindService && j.RunTime <= 0 {
		return f.Errorf("run_time", "a duration above 0, such as 30s", "%v is missing or out of range", j.RunTime)
	}
	return nil
}

func (j *JobFile) checkSizes(f *document.File) error {
	if j.Tasks < 1 || j.Tasks > MaxTasks {
		return f.Errorf("tasks", "1 to 20000", "%d is missing or out of range", j.Tasks)
	}
	if err := checkResources(f, "each", j.Each); err != nil {
		return err
	}
	if j.Each.MilliCPU < 1 {
		return f.Errorf("each.milli_cpu", "1 or more", "%d is missing or out of range", j.Each.MilliCPU)
	}
	if j.Each.MemoryMiB < 1 {
		return f.Errorf("each.memory_mib", "1 or more", "%d is missing or out of range", j.Each.MemoryMiB)
	}
	if j.Deadline < 0 {
		return f.Errorf("deadline", "0 or more", "%v is out of range", j.Deadline)
	}
	if j.MaxFailures < 0 || j.MaxFailures > 10000 {
		return f.Errorf("max_failures", "0 to 10000", "%d is out of range", j.MaxFailures)
	}
	return checkResources(f, "request", j.Request)
}

func (j *JobFile) checkService(f *document.File) error {
	if j.Service == "" {
		return nil
	}
	if j.Kind != leverdyke.KindService {
		return f.Errorf("service", "only with kind: service", "callers cannot reach a job of kind %s", j.Kind)
	}
	if !IsName(j.Service) {
		return f.Errorf("service", nameAllowed, "%q is not a valid name", j.Service)
	}
	return nil
}
