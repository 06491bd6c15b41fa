// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

//go:build !race

package integration_test

// isRaceEnabled reports whether the tests, and with them the nodes, run under the race detector.
const isRaceEnabled = false
