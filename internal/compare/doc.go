// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package compare has simulations, in test code only, that compare the placement and queue policies with
// simple baselines. Run them with "make compare".
package compare
