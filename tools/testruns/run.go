// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"

	"github.com/leverdyke/leverdyke/internal/testruns"
)

// run runs a command that writes the events of go test -json, prints the results and keeps the events
// in a file. It fails if the command does.
func run(file string, command []string) error {
	kept, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("testruns: %w", err)
	}
	c := exec.Command(command[0], command[1:]...)
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	if err != nil {
		return fmt.Errorf("testruns: %w", err)
	}
	if err := c.Start(); err != nil {
		return fmt.Errorf("testruns: %w", err)
	}
	readErr := testruns.ReadEvents(io.TeeReader(out, kept), testruns.NewPrinter(os.Stdout).Add)
	if readErr != nil {
		_, _ = io.Copy(os.Stdout, out)
	}
	return errors.Join(c.Wait(), readErr, kept.Close())
}
