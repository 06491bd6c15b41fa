// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package report reads the logs of nodes and computes from their events how much time jobs
// spent in each stage, from their submission to their end.
package report

import (
	"strconv"
	"strings"
	"time"
)

// Fields has the values of a log line by their keys.
type Fields map[string]string

// ParseLine returns the keys and values of the log line of an event, or nil for any other
// line. A value is either a quoted Go string or extends to the next space.
func ParseLine(line string) Fields {
	_, rest, ok := strings.Cut(line, ` event="LD`)
	if !ok {
		return nil
	}
	rest = `event="LD` + rest
	parsed := Fields{}
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

// Duration returns the value of a key as a duration, or 0 if it is missing or not a
// duration.
func (fields Fields) Duration(name string) time.Duration {
	d, err := time.ParseDuration(fields[name])
	if err != nil {
		return 0
	}
	return d
}

// jobOf returns the ID of the job to which a step or task belongs: the part of its ID before
// the first dot.
func jobOf(id string) string {
	job, _, _ := strings.Cut(id, ".")
	return job
}
