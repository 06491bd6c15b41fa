// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package policy_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/document"
	"github.com/leverdyke/leverdyke/internal/policy"
)

const validJob = `team: filings
kind: batch
tasks: 2
each: {milli_cpu: 100, memory_mib: 10}
run_time: 5s
`

func findTemplate(name string) *policy.Template {
	if name != "nightly" {
		return nil
	}
	return &policy.Template{
		Params: map[string]string{"tasks": "3", "run_time": ""},
		Job:    "team: filings\nkind: batch\ncustomer: ${customer}\ntasks: ${tasks}\neach: {milli_cpu: 100, memory_mib: 10}\nrun_time: ${run_time}\n",
	}
}

func TestTemplateIsFilledInForACustomer(t *testing.T) {
	spec, err := policy.ParseJob("j.yaml", []byte("template: nightly\ncustomer: bergamo-12\nparams: {run_time: 7s}\n"), "id", "r1", findTemplate)
	if err != nil {
		t.Fatal(err)
	}
	if spec.Customer != "bergamo-12" || spec.Tasks != 3 || spec.RunTime.String() != "7s" || spec.Class != leverdyke.ClassNormal || spec.Each.Slots != 1 {
		t.Errorf("got: %+v, want: the template's job", spec)
	}
}

// An operator must see which key of a job file is invalid and what is allowed
// there. Values of template parameters must not be able to add keys to the job.
func TestInvalidJobsAreRefusedWithTheKeyAtFault(t *testing.T) {
	replace := func(old, text string) string { return strings.Replace(validJob, old, text, 1) }
	for name, c := range map[string]struct{ text, key string }{
		"unknown key":         {validJob + "prio: 9\n", "prio"},
		"no team":             {replace("team: filings\n", ""), "team"},
		"bad kind":            {replace("kind: batch", "kind: cron"), "kind"},
		"no tasks":            {replace("tasks: 2\n", ""), "tasks"},
		"too many tasks":      {replace("tasks: 2", "tasks: 20001"), "tasks"},
		"no processors":       {replace("milli_cpu: 100, ", ""), "each.milli_cpu"},
		"negative memory":     {replace("memory_mib: 10", "memory_mib: -10"), "each.memory_mib"},
		"no run time":         {replace("run_time: 5s\n", ""), "run_time"},
		"bad class":           {validJob + "class: soon\n", "class"},
		"a batch as service":  {validJob + "service: x\n", "service"},
		"params for nothing":  {validJob + "params: {a: b}\n", "params"},
		"unknown template":    {"template: weekly\n", "template"},
		"unknown parameter":   {"template: nightly\nparams: {colour: red}\n", "params.colour"},
		"missing parameter":   {"template: nightly\n", "params.run_time"},
		"parameter with YAML": {"template: nightly\nparams: {run_time: \"7s\\nonce: true\"}\n", "params.run_time"},
	} {
		_, err := policy.ParseJob("j.yaml", []byte(c.text), "id", "r1", findTemplate)
		field := &document.FieldError{}
		if !errors.As(err, &field) || field.Key != c.key || field.Allowed == "" {
			t.Errorf("%s: got: %v, want: an error at %q that says what is allowed", name, err, c.key)
		}
	}
}

// A document is checked only before it is published: an invalid one in the log
// would be ignored by every node.
func TestInvalidDocumentsAreRefused(t *testing.T) {
	for name, c := range map[string]struct{ doc, text string }{
		"no kind":              {"colour/red", "a: b\n"},
		"no name":              {"team/Bad_Name", "office: head\n"},
		"weight over 1":        {"office/head", "waiting: 2\n"},
		"no weight":            {"office/head", "waiting: 0\n"},
		"unknown key":          {"team/t", "office: head\nquota: {slots: 1, cores: 3}\n"},
		"no slots":             {"team/t", "office: head\nquota: {milli_cpu: 1}\n"},
		"no office":            {"team/t", "quota: {slots: 1}\n"},
		"undeclared parameter": {"template/t", "job: \"tasks: ${n}\"\n"},
		"no job":               {"template/t", "params: {}\n"},
		"too long":             {"office/head", strings.Repeat("#", policy.MaxDocBytes+1)},
		"two documents":        {"office/head", "waiting: 1\n---\nwaiting: 1\n"},
	} {
		field := &document.FieldError{}
		if err := policy.Check(c.doc, "f.yaml", []byte(c.text)); !errors.As(err, &field) {
			t.Errorf("%s: got: %v, want: a field error", name, err)
		}
	}
}

func FuzzParseJob(f *testing.F) {
	f.Add([]byte(validJob))
	f.Add([]byte("template: nightly\nparams: {run_time: 7s}\n"))
	f.Add([]byte("each: {{}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		spec, err := policy.ParseJob("f", data, "id", "r1", findTemplate)
		if err == nil && (spec.Tasks < 1 || spec.Team == "" || spec.Each.MilliCPU < 1) {
			t.Errorf("got: %+v, want: refused", spec)
		}
	})
}
