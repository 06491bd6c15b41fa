// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

const (
	// ticksPerSecond is the unit of the times in /proc/PID/stat.
	ticksPerSecond = 100
	// userField and systemField are the indexes of the user and system time in /proc/PID/stat, counted
	// from the field after the name in brackets.
	userField   = 11
	systemField = 12
	kibPerMiB   = 1024
)

// CPU returns the processor time that the node's process has used, in seconds.
func (n *Node) CPU() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.Pid()))
	if err != nil {
		return 0, fmt.Errorf("standin: %w", err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, fmt.Errorf("standin: /proc/%d/stat has no user and system time", n.Pid())
	}
	ticks := 0.0
	for _, i := range []int{userField, systemField} {
		v, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return 0, fmt.Errorf("standin: %w", err)
		}
		ticks += v
	}
	return ticks / ticksPerSecond, nil
}

// RSS returns the resident memory of the node's process, in MiB.
func (n *Node) RSS() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.Pid()))
	if err != nil {
		return 0, fmt.Errorf("standin: %w", err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		rest, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		if err != nil {
			return 0, fmt.Errorf("standin: %w", err)
		}
		return kib / kibPerMiB, nil
	}
	return 0, fmt.Errorf("standin: /proc/%d/status has no VmRSS line", n.Pid())
}
