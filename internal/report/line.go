// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package report tells from the logs of nodes where the time of jobs went.
package report

import (
	"strconv"
	"strings"
	"time"
)

// fields are the values of a line of the log by their names.
type logFields map[string]string

// parseLine returns the values of a structured line, or nil when it is none.
// Values are quoted as Go quotes strings, or bare up to the next blank.
func parseLine(line string) logFields {
	_, rest, ok := strings.Cut(line, ` event="LD`)
	if !ok {
		return nil
	}
	rest = `event="LD` + rest
	parsed := logFields{}
	for rest != "" {
		name, value, ok := strings.Cut(rest, "=")
		if !ok {
			break
		}
		text := value
		if quoted, err := strconv.QuotedPrefix(value); err == nil {
			if text, err = strconv.Unquote(quoted); err != nil {
				break
			}
			value = value[len(quoted):]
		} else {
			text, value, _ = strings.Cut(value, " ")
		}
		parsed[name] = text
		rest = strings.TrimLeft(value, " ")
	}
	return parsed
}

// duration returns a value that is a duration; 0 when it is none.
func (fields logFields) duration(name string) time.Duration {
	d, err := time.ParseDuration(fields[name])
	if err != nil {
		return 0
	}
	return d
}

// jobOf returns the job that a step or task belongs to.
func jobOf(id string) string {
	job, _, _ := strings.Cut(id, ".")
	return job
}
