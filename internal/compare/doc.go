// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package compare measures the policies against simple baselines, in test code
// alone: run it with "make compare".
package compare
