// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package policy reads the configuration that operators publish: the offices'
// weights, the teams' quotas, templates, drained workers; and it turns job
// files and templates into jobs.
package policy

import (
	"regexp"
	"strings"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/document"
)

// The prefixes of the documents' names.
const (
	OfficePrefix   = "office/"
	TeamPrefix     = "team/"
	TemplatePrefix = "template/"
	DrainPrefix    = "drain/"
)

// MaxDocBytes is the longest document that is accepted.
const MaxDocBytes = 16 << 10

// Office is how an office weighs its aims.
type Office struct {
	// Waiting and Packing are from 0 to 1.
	Waiting float64 `yaml:"waiting"`
	Packing float64 `yaml:"packing"`
}

// Team is a team's office and quota.
type Team struct {
	// Office names an office's document.
	Office string `yaml:"office"`
	// Quota is the most that the team uses at once in one region.
	Quota leverdyke.Resources `yaml:"quota"`
}

// Drain is an operator's word on a worker.
type Drain struct {
	// IsDrained means that the worker gets nothing new.
	IsDrained bool `yaml:"drained"`
}

// Template is a job with parameters.
type Template struct {
	// Params has the default of each parameter; an empty one has to be given.
	Params map[string]string `yaml:"params"`
	// Job is the text of a job file in which ${name} stands for a parameter.
	Job string `yaml:"job"`
}

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	paramPattern = regexp.MustCompile(`\$\{([a-z0-9_]+)\}`)
)

const nameAllowed = "lower-case letters, digits, '-' and '.', at most 63"

// IsName reports whether s may name a team, a template, a service or a worker.
func IsName(s string) bool { return namePattern.MatchString(s) }

// Check refuses a document that may not be published. file names it in errors.
func Check(doc, file string, body []byte) error {
	if len(body) > MaxDocBytes {
		return &document.FieldError{File: file, Problem: "is too long", Allowed: "16 KiB"}
	}
	kind, name, _ := strings.Cut(doc, "/")
	if !IsName(name) {
		return &document.FieldError{File: file, Key: doc, Problem: "is no document's name", Allowed: "office/NAME, team/NAME, template/NAME or drain/WORKER; NAME of " + nameAllowed}
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
	case DrainPrefix:
		_, err := document.Decode(file, body, &Drain{})
		return err
	}
	return &document.FieldError{File: file, Key: doc, Problem: "is no kind of document", Allowed: "office/, team/, template/, drain/"}
}

// ParseOffice reads an office's document.
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

// ParseTeam reads a team's document.
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

// ParseTemplate reads a template's document.
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
			return nil, f.Errorf("params", "a default, or an empty string, for each ${...}", "${%s} is not among them", m[1])
		}
	}
	return t, nil
}

// Set is the configuration in force. It belongs to one goroutine.
type Set struct {
	offices   map[string]*Office
	teams     map[string]*Team
	templates map[string]*Template
	drained   map[string]bool
}

// NewSet returns an empty configuration.
func NewSet() *Set {
	return &Set{offices: map[string]*Office{}, teams: map[string]*Team{}, templates: map[string]*Template{}, drained: map[string]bool{}}
}

// Put brings a document into force. What is in the log was checked before it
// was appended; a document that cannot be read leaves the earlier one in force.
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
		d := &Drain{}
		if _, err := document.Decode(doc, body, d); err != nil {
			return err
		}
		s.drained[name] = d.IsDrained
	}
	return nil
}

func put[T any](m map[string]*T, name, doc string, body []byte, parse func(string, []byte) (*T, error)) error {
	v, err := parse(doc, body)
	if err != nil {
		return err
	}
	m[name] = v
	return nil
}

// IsDrained reports whether an operator has drained the worker.
func (s *Set) IsDrained(worker string) bool { return s.drained[worker] }

// Team returns a team's document, or nil.
func (s *Set) Team(name string) *Team { return s.teams[name] }

// Office returns the document of a team's office, or nil.
func (s *Set) Office(team string) *Office {
	t := s.teams[team]
	if t == nil {
		return nil
	}
	return s.offices[t.Office]
}

// Template returns a template, or nil.
func (s *Set) Template(name string) *Template { return s.templates[name] }

// Clear forgets all documents.
func (s *Set) Clear() { *s = *NewSet() }
