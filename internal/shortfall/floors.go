// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package shortfall

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
)

// Floors are the least shares of what is owed that a day has to earn. 0 means that there is none.
type Floors struct {
	// Day holds for the whole day, Kind for each kind of request with a twentieth of the requests.
	Day, Kind float64
}

var (
	tableLine = regexp.MustCompile(`^\s*\[+\s*([\w.]+)\s*\]+`)
	nameLine  = regexp.MustCompile(`^\s*name\s*=\s*"([^"]*)"`)
	goalLine  = regexp.MustCompile(`^\s*goal\s*=.*\bfloor\s*=\s*([0-9.]+)`)
	kindsLine = regexp.MustCompile(`^\s*floor_classes\s*=\s*\[\s*([0-9.]+)`)
)

// ReadFloors returns the floors of the days of a site file, by the name of the day. It reads only the
// lines of the tables "day" that it needs.
func ReadFloors(site io.Reader) (map[string]Floors, error) {
	out, name, isDay := map[string]Floors{}, "", false
	lines := bufio.NewScanner(site)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Text()
		if m := tableLine.FindStringSubmatch(line); m != nil {
			isDay, name = m[1] == "day", ""
		}
		if !isDay {
			continue
		}
		if m := nameLine.FindStringSubmatch(line); m != nil {
			name = m[1]
			out[name] = Floors{}
		}
		if name == "" {
			continue
		}
		f := out[name]
		if err := parseFloor(goalLine, line, &f.Day); err != nil {
			return nil, fmt.Errorf("shortfall: day %s: %w", name, err)
		}
		if err := parseFloor(kindsLine, line, &f.Kind); err != nil {
			return nil, fmt.Errorf("shortfall: day %s: %w", name, err)
		}
		out[name] = f
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("shortfall: %w", err)
	}
	return out, nil
}

func parseFloor(pattern *regexp.Regexp, line string, floor *float64) error {
	m := pattern.FindStringSubmatch(line)
	if m == nil {
		return nil
	}
	f, err := strconv.ParseFloat(m[1], 64)
	if err != nil {
		return err
	}
	*floor = f
	return nil
}
