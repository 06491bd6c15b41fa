// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package policy parses and checks the documents that operators publish (the
// placement weights of offices, the quotas of teams, job templates, drained
// workers and drained availability zones) and the job files that they submit.
package policy

import (
	"regexp"
	"strings"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/document"
)

// The prefixes of document names, such as "team/NAME".
const (
	OfficePrefix   = "office/"
	TeamPrefix     = "team/"
	TemplatePrefix = "template/"
	DrainPrefix    = "drain/"
	ZonePrefix     = "zone/"
)

// MaxDocBytes is the largest size of a document that Check accepts.
const MaxDocBytes = 16 << 10

// Office is the document of an office, a group of teams. It weighs two
// goals of placement against each other.
type Office struct {
	// Waiting and Packing are weights from 0 to 1. The larger Waiting is, the more
	// a task is placed where much capacity remains free; the larger Packing is,
	// the more it is placed where little remains.
	Waiting float64 `yaml:"waiting"`
	Packing float64 `yaml:"packing"`
}

// Team is the document of a team.
type Team struct {
	// Office is the name of the team's office, whose weights apply to its jobs.
	Office string `yaml:"office"`
	// Quota is the most resources that the team may use at once in one region.
	Quota leverdyke.Resources `yaml:"quota"`
}

// Drain is the document by which an operator drains a worker or an availability
// zone.
type Drain struct {
	// IsDrained means that no new tasks are placed on the worker, or on any worker
	// of the zone.
	IsDrained bool `yaml:"drained"`
}

// Template is the document of a job template: a job file with parameters.
type Template struct {
	// Params has the default value of each parameter. If it is empty, the job
	// file must give a value.
	Params map[string]string `yaml:"params"`
	// Job is the text of a job file in which ${name} is replaced by the value of
	// the parameter, and ${customer} by the customer of the job file.
	Job string `yaml:"job"`
}

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	paramPattern = regexp.MustCompile(`\$\{([a-z0-9_]+)\}`)
)

const nameAllowed = "lower-case letters, digits, '-' and '.', at most 63"

// IsName reports whether s is a valid name of a document, a team, a region, a
// customer or a service.
func IsName(s string) bool { return namePattern.MatchString(s) }

// Check returns an error if the document must not be published. doc is its name
// with the prefix; file is the file name that errors give.
func Check(doc, file string, body []byte) error {
	if len(body) > MaxDocBytes {
		return &document.FieldError{File: file, Problem: "is too long", Allowed: "16 KiB"}
	}
	kind, name, _ := strings.Cut(doc, "/")
	if !IsName(name) {
		return &document.FieldError{File: file, Key: doc, Problem: "is no document's name", Allowed: "office/NAME, team/NAME, template/NAME, drain/WORKER or zone/NAME; NAME of " + nameAllowed}
	}
	switch kind + "/" {
	case OfficePrefix:
		_, err := ParseOffice(file, body)
		return err
	case TeamPrefix:
		_, err := ParseTeam(file, body)
		return err
	case TemplatePrefix:
		_, err := ParseTemplate(file, body)
		return err
	case DrainPrefix, ZonePrefix:
		_, err := ParseDrain(file, body)
		return err
	}
	return &document.FieldError{File: file, Key: doc, Problem: "is no kind of document", Allowed: "office/, team/, template/, drain/, zone/"}
}

// ParseOffice parses and checks the document of an office.
func ParseOffice(file string, body []byte) (*Office, error) {
	o := &Office{}
	f, err := document.Decode(file, body, o)
	if err != nil {
		return nil, err
	}
	if o.Waiting < 0 || o.Waiting > 1 {
		return nil, f.Errorf("waiting", "0 to 1", "%v is out of range", o.Waiting)
	}
	if o.Packing < 0 || o.Packing > 1 {
		return nil, f.Errorf("packing", "0 to 1", "%v is out of range", o.Packing)
	}
	if o.Waiting+o.Packing == 0 {
		return nil, f.Errorf("waiting", "at least one of waiting and packing above 0", "both weights are 0 or missing")
	}
	return o, nil
}

// ParseTeam parses and checks the document of a team.
func ParseTeam(file string, body []byte) (*Team, error) {
	t := &Team{}
	f, err := document.Decode(file, body, t)
	if err != nil {
		return nil, err
	}
	if !IsName(t.Office) {
		return nil, f.Errorf("office", nameAllowed, "%q is missing or no name", t.Office)
	}
	if err := checkResources(f, "quota", t.Quota); err != nil {
		return nil, err
	}
	if t.Quota.Slots < 1 {
		return nil, f.Errorf("quota.slots", "1 or more", "%d is out of range", t.Quota.Slots)
	}
	return t, nil
}

// checkResources checks that each resource is from 0 to 2^40. key is the path of
// the resources in the file.
func checkResources(f *document.File, key string, r leverdyke.Resources) error {
	for _, d := range []struct {
		name  string
		value int64
	}{{"milli_cpu", r.MilliCPU}, {"memory_mib", r.MemoryMiB}, {"accelerators", r.Accelerators}, {"slots", r.Slots}} {
		if d.value < 0 || d.value > 1<<40 {
			return f.Errorf(key+"."+d.name, "0 or more", "%d is out of range", d.value)
		}
	}
	return nil
}

// ParseTemplate parses and checks the document of a template. The job file in it
// is only checked once its parameters have values.
func ParseTemplate(file string, body []byte) (*Template, error) {
	t := &Template{}
	f, err := document.Decode(file, body, t)
	if err != nil {
		return nil, err
	}
	if strings.TrimSpace(t.Job) == "" {
		return nil, f.Errorf("job", "the text of a job file", "is missing")
	}
	for _, m := range paramPattern.FindAllStringSubmatch(t.Job, -1) {
		if _, ok := t.Params[m[1]]; !ok && m[1] != "customer" {
			return nil, f.Errorf("params", "a default, or an empty string, for each ${...}", "${%s} is used in the job but not declared in params", m[1])
		}
	}
	return t, nil
}

// ParseDrain parses the drain document of a worker or an availability zone.
func ParseDrain(file string, body []byte) (*Drain, error) {
	d := &Drain{}
	_, err := document.Decode(file, body, d)
	return d, err
}

// Set is the current version of all documents. It is not safe for concurrent use.
type Set struct {
	offices   map[string]*Office
	teams     map[string]*Team
	templates map[string]*Template
	// drained and drainedZones have the drain documents of workers and of zones.
	drained, drainedZones map[string]bool
}

// NewSet returns a set without documents.
func NewSet() *Set {
	return &Set{offices: map[string]*Office{}, teams: map[string]*Team{}, templates: map[string]*Template{}, drained: map[string]bool{}, drainedZones: map[string]bool{}}
}

// Put replaces a document by a new version. Documents are checked before they are
// appended to the log; if one nevertheless cannot be parsed, Put returns an error
// and the previous version stays.
func (s *Set) Put(doc string, body []byte) error {
	kind, name, _ := strings.Cut(doc, "/")
	switch kind + "/" {
	case OfficePrefix:
		return put(s.offices, name, doc, body, ParseOffice)
	case TeamPrefix:
		return put(s.teams, name, doc, body, ParseTeam)
	case TemplatePrefix:
		return put(s.templates, name, doc, body, ParseTemplate)
	case DrainPrefix:
		return putDrain(s.drained, name, doc, body)
	case ZonePrefix:
		return putDrain(s.drainedZones, name, doc, body)
	}
	return nil
}

// putDrain parses a drain document and stores whether it drains what it names.
func putDrain(m map[string]bool, name, doc string, body []byte) error {
	d, err := ParseDrain(doc, body)
	if err != nil {
		return err
	}
	m[name] = d.IsDrained
	return nil
}

// put parses a document and stores it in m under its name without the prefix.
func put[T any](m map[string]*T, name, doc string, body []byte, parse func(string, []byte) (*T, error)) error {
	v, err := parse(doc, body)
	if err != nil {
		return err
	}
	m[name] = v
	return nil
}

// IsDrained reports whether a document drains the worker.
func (s *Set) IsDrained(worker string) bool { return s.drained[worker] }

// IsZoneDrained reports whether a document drains the availability zone.
func (s *Set) IsZoneDrained(zone string) bool { return s.drainedZones[zone] }

// Team returns the document of a team, or nil if there is none.
func (s *Set) Team(name string) *Team { return s.teams[name] }

// Office returns the document of the office of a team, or nil if there is none.
func (s *Set) Office(team string) *Office {
	t := s.teams[team]
	if t == nil {
		return nil
	}
	return s.offices[t.Office]
}

// Template returns the document of a template, or nil if there is none.
func (s *Set) Template(name string) *Template { return s.templates[name] }

// Clear removes all documents.
func (s *Set) Clear() { *s = *NewSet() }
