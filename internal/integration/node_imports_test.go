// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

// The tests build the node's binary themselves. Without these imports, a change to the node would leave their cached
// results valid.
import (
	_ "github.com/leverdyke/leverdyke/internal/caller"
	_ "github.com/leverdyke/leverdyke/internal/command"
	_ "github.com/leverdyke/leverdyke/internal/nodeserver"
	_ "github.com/leverdyke/leverdyke/internal/settings"
	_ "github.com/leverdyke/leverdyke/platform"
)
