// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command leverdyke-emulator plays days on a deployment: nodes of the product as processes, and
// workers, store, permission service and callers of its own.
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
	"github.com/leverdyke/leverdyke/internal/emulator/play"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, exitOnSecondSignal)
	command.Exit(newRoot().ExecuteContext(ctx))
}

// exitSignalled is what shells expect of a process that a signal has ended.
const exitCodeInterrupted = 130

// endAtSecond waits for a second signal and ends the nodes and this process at once.
func exitOnSecondSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	play.KillAll()
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

// defaultBinary is the node's program beside this one.
func defaultBinary() string {
	path, err := os.Executable()
	if err != nil {
		return "leverdyked"
	}
	return filepath.Join(filepath.Dir(path), "leverdyked")
}
