// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package shortfall

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// Hunt plays days of sites with several seeds.
type Hunt struct {
	// Bench is the program that plays days.
	Bench string
	Sites []string
	// Days are names of days of the sites, or paths of files that have one day each.
	Days  []string
	Seeds []uint64
	// Dir is where the report and the output of each play are kept. A play whose report is there
	// already is not played again.
	Dir string
	// AtOnce is how many plays run at once.
	AtOnce int
	// Why is the reason that the bench writes into its journal.
	Why string
}

// day is a day of a site with a seed.
type day struct {
	site, name string
	seed       uint64
	floors     Floors
}

func (d *day) String() string {
	return fmt.Sprintf("%s %s seed %d", baseName(d.site), baseName(d.name), d.seed)
}

func baseName(file string) string { return strings.TrimSuffix(filepath.Base(file), fileSuffix) }

// fileSuffix tells the path of a file with a day from the name of a day.
const fileSuffix = ".toml"

// file returns the path of a file of the play.
func (h *Hunt) file(d *day, suffix string) string {
	return filepath.Join(h.Dir, strings.NewReplacer(" seed ", "-", " ", "-").Replace(d.String())+suffix)
}

// Run plays all days and returns their results in the order of sites, days and seeds. The error names
// the days that could not be played; the results of the others are returned.
func (h *Hunt) Run(ctx context.Context) ([]*Result, error) {
	days, err := h.days()
	if err != nil {
		return nil, err
	}
	results, failures := make([]*Result, len(days)), make([]error, len(days))
	var wait sync.WaitGroup
	next := make(chan int)
	for range max(h.AtOnce, 1) {
		wait.Go(func() {
			for i := range next {
				results[i], failures[i] = h.play(ctx, &days[i])
			}
		})
	}
	for i := range days {
		next <- i
	}
	close(next)
	wait.Wait()
	played := []*Result{}
	for _, r := range results {
		if r != nil {
			played = append(played, r)
		}
	}
	return played, errors.Join(failures...)
}

func (h *Hunt) days() ([]day, error) {
	out := []day{}
	for _, site := range h.Sites {
		floors, err := floorsOf(site)
		if err != nil {
			return nil, err
		}
		for _, name := range h.Days {
			// The day of a file has no floors but those of sizes.
			if _, ok := floors[name]; !ok && !strings.HasSuffix(name, fileSuffix) {
				return nil, fmt.Errorf("shortfall: %s has no day %s", site, name)
			}
			for _, seed := range h.Seeds {
				out = append(out, day{site: site, name: name, seed: seed, floors: floors[name]})
			}
		}
	}
	return out, nil
}

func floorsOf(site string) (map[string]Floors, error) {
	f, err := os.Open(site)
	if err != nil {
		return nil, fmt.Errorf("shortfall: %w", err)
	}
	defer func() { _ = f.Close() }()
	return ReadFloors(f)
}

// play plays a day, unless it has been played, and reads its files.
func (h *Hunt) play(ctx context.Context, d *day) (*Result, error) {
	if _, err := os.Stat(h.file(d, ".report")); err != nil {
		if err := h.runBench(ctx, d); err != nil {
			return nil, fmt.Errorf("shortfall: %s: %w", d, err)
		}
	}
	data, err := os.ReadFile(h.file(d, ".report"))
	if err != nil {
		return nil, fmt.Errorf("shortfall: %s: %w", d, err)
	}
	p, err := ParsePlay(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", d, err)
	}
	output, err := os.Open(h.file(d, ".out"))
	if err != nil {
		return nil, fmt.Errorf("shortfall: %s: %w", d, err)
	}
	defer func() { _ = output.Close() }()
	log, err := ReadLog(output)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", d, err)
	}
	return NewResult(d.String(), p, log.Sizes(p.Kinds), d.floors), nil
}

func (h *Hunt) runBench(ctx context.Context, d *day) error {
	output, err := os.Create(h.file(d, ".out"))
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.CommandContext(ctx, h.Bench, "run", d.site, d.name, "--vary", "--seed", strconv.FormatUint(d.seed, 10), "--jobs", "1",
		"--report", h.file(d, ".report"), "--log", "all", "--why", h.Why)
	command.Stdout, command.Stderr = output, output
	return command.Run()
}

// ParseSeeds parses a list of seeds and ranges of them, such as "3,11-14".
func ParseSeeds(text string) ([]uint64, error) {
	out := []uint64{}
	for part := range strings.SplitSeq(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		from, errFrom := strconv.ParseUint(first, 10, 63)
		to, errTo := strconv.ParseUint(last, 10, 63)
		if errFrom != nil || errTo != nil || to < from || to-from >= maxSeeds {
			return nil, fmt.Errorf("shortfall: seeds %q: want numbers and ranges such as 3,11-14, of at most %d seeds each", text, maxSeeds)
		}
		for seed := from; seed <= to; seed++ {
			out = append(out, seed)
		}
	}
	return out, nil
}

// maxSeeds is the largest range of seeds.
const maxSeeds = 1000
