// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command leverdyke is the operators' client of a leverdyke cluster.
package main

import (
	"github.com/leverdyke/leverdyke/internal/cli"
	"github.com/leverdyke/leverdyke/internal/command"
)

func main() { command.Exit(cli.NewRoot().Execute()) }
