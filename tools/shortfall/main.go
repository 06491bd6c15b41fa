// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command shortfall plays days with other luck and compares what was served, by kind of request and by
// size, with the least that has to be.
//
//	shortfall -bench PROGRAM -days trouble-1,scale-1 -seeds 11-14 -keep DIR SITE...
//
// It exits with 5 if anything is below its floor.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"

	"github.com/leverdyke/leverdyke/internal/shortfall"
)

// The exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
	exitShort  = 5
)

func main() {
	h, err := parse(os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	isShort, err := run(h)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	case isShort:
		os.Exit(exitShort)
	}
}

func parse(args []string) (*shortfall.Hunt, error) {
	h, flags := &shortfall.Hunt{}, flag.NewFlagSet("shortfall", flag.ContinueOnError)
	flags.StringVar(&h.Bench, "bench", "", "program that plays days")
	flags.StringVar(&h.Dir, "keep", "", "directory for the reports and outputs of the plays; what is there is not played again")
	flags.IntVar(&h.AtOnce, "at-once", 1, "how many plays run at once")
	flags.StringVar(&h.Why, "why", "hunt for shortfalls", "reason for the bench's journal")
	days := flags.String("days", "", "names of the days, separated by commas")
	seeds := flags.String("seeds", "1", "seeds, such as 3,11-14")
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	var err error
	if h.Seeds, err = shortfall.ParseSeeds(*seeds); err != nil {
		return nil, err
	}
	h.Sites, h.Days = flags.Args(), strings.Split(*days, ",")
	if h.Bench == "" || h.Dir == "" || *days == "" || len(h.Sites) == 0 {
		return nil, errors.New("shortfall: want -bench, -keep, -days and site files")
	}
	return h, nil
}

// run plays the days and reports whether anything was below its floor.
func run(h *shortfall.Hunt) (bool, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	results, err := h.Run(ctx)
	isShort := false
	for _, r := range results {
		if err := r.Write(os.Stdout); err != nil {
			return false, err
		}
		fmt.Println()
		isShort = isShort || r.IsShort()
	}
	if err := shortfall.WriteWorst(os.Stdout, results); err != nil {
		return false, err
	}
	return isShort, err
}
