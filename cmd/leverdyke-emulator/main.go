// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command leverdyke-emulator runs days, which are sequences of load and faults, on a deployment: it runs
// real nodes as processes and emulates the workers, the store, the permission service and the callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/command"
	"github.com/leverdyke/leverdyke/internal/emulator/runner"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, exitOnSecondSignal)
	command.Exit(newRoot().ExecuteContext(ctx))
}

// exitCodeInterrupted is the exit code that shells expect of a process ended by SIGINT: 128 + 2.
const exitCodeInterrupted = 130

// exitOnSecondSignal waits for a second signal, then kills the nodes and exits without waiting for the day to end.
func exitOnSecondSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	runner.KillAll()
	os.Exit(exitCodeInterrupted)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use: "leverdyke-emulator", Short: "Plays days with faults on a deployment, and checks the promises from outside", Version: leverdyke.Version,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(newRun(), newHunt(), newCheck())
	return root
}

// defaultBinary returns the path of the node's program in the directory of this one.
func defaultBinary() string {
	path, err := os.Executable()
	if err != nil {
		return "leverdyked"
	}
	return filepath.Join(filepath.Dir(path), "leverdyked")
}
