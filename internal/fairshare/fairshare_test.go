// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package fairshare_test

import (
	"slices"
	"testing"

	"github.com/leverdyke/leverdyke/internal/fairshare"
	"github.com/leverdyke/leverdyke/internal/work"
)

// A customer counts as over its share only clearly above it, and one of low weight only above the mean.
func TestOverShare(t *testing.T) {
	for name, tc := range map[string]struct {
		usages []fairshare.Usage
		want   []work.CustomerName
	}{
		"no customers":               {nil, nil},
		"a single customer":          {[]fairshare.Usage{{"a", 2, 0.97}}, nil},
		"each its share":             {[]fairshare.Usage{{"a", 2, 0.5}, {"b", 1, 0.25}, {"c", 1, 0.25}}, nil},
		"one far over its share":     {[]fairshare.Usage{{"a", 2, 0.8}, {"b", 1, 0.1}, {"c", 1, 0.1}}, []work.CustomerName{"a"}},
		"slightly over":              {[]fairshare.Usage{{"a", 2, 0.7}, {"b", 1, 0.2}, {"c", 1, 0.1}}, nil},
		"low weight, below the mean": {[]fairshare.Usage{{"a", 30, 0.4}, {"b", 30, 0.3}, {"c", 1, 0.3}}, nil},
		"low weight, above the mean": {[]fairshare.Usage{{"a", 30, 0.3}, {"b", 30, 0.3}, {"c", 1, 0.4}}, []work.CustomerName{"c"}},
	} {
		if got := fairshare.OverShare(tc.usages); !slices.Equal(got, tc.want) {
			t.Errorf("%s: got: %v, want: %v", name, got, tc.want)
		}
	}
}
