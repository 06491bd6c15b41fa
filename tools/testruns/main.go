// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command testruns runs parts of the tests and checks that the parts make up all of them. The
// Makefile uses it.
//
//	testruns run FILE go test -json ARGS...   runs tests, prints their results and keeps the events in FILE
//	testruns check FILE...                    checks that each test was played in exactly one of the runs
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := execute(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func execute(args []string) error {
	if len(args) >= 3 && args[0] == "run" {
		return run(args[1], args[2:])
	}
	if len(args) >= 2 && args[0] == "check" {
		return check(args[1:])
	}
	return fmt.Errorf("testruns: usage: testruns run FILE COMMAND... | testruns check FILE")
}
