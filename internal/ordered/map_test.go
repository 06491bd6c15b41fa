// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package ordered_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leverdyke/leverdyke/internal/ordered"
)

func keys(m *ordered.Map[string, int]) []string {
	out := []string{}
	for k := range m.All() {
		out = append(out, k)
	}
	return out
}

func TestKeysAreInInsertionOrder(t *testing.T) {
	m := &ordered.Map[string, int]{}
	for i, k := range []string{"c", "a", "b", "a"} {
		m.Set(k, i)
	}
	m.Delete("c")
	m.Set("c", 4)
	m.Delete("none")
	if got, want := keys(m), []string{"a", "b", "c"}; !slices.Equal(got, want) || m.Len() != 3 {
		t.Errorf("got: %v, want: %v", got, want)
	}
	if v, ok := m.Find("a"); v != 3 || !ok {
		t.Errorf("a: got: %d, %v, want: 3, true", v, ok)
	}
	if v, ok := m.Find("none"); v != 0 || ok {
		t.Errorf("none: got: %d, %v, want: 0, false", v, ok)
	}
	m.Clear()
	if m.Len() != 0 || len(keys(m)) != 0 || m.Get("a") != 0 {
		t.Errorf("cleared: got: %v, want: none", keys(m))
	}
}

// A key that is deleted during an iteration is not visited, and one that is added is.
func TestMapMayChangeDuringIteration(t *testing.T) {
	m := &ordered.Map[string, int]{}
	for _, k := range []string{"a", "b", "c", "d"} {
		m.Set(k, 0)
	}
	visited := []string{}
	for k := range m.All() {
		visited = append(visited, k)
		m.Delete("a")
		m.Delete("b")
		if k == "c" {
			m.Set("e", 0)
		}
	}
	if want := []string{"a", "c", "d", "e"}; !slices.Equal(visited, want) {
		t.Errorf("got: %v, want: %v", visited, want)
	}
}

func TestAllFromStartsAfterSkippedKeys(t *testing.T) {
	m := &ordered.Map[string, int]{}
	for range m.AllFrom(3) {
		t.Error("got: a key of an empty map, want: none")
	}
	for _, k := range []string{"a", "b", "c"} {
		m.Set(k, 0)
	}
	for skipped, want := range [][]string{{"a", "b", "c"}, {"b", "c", "a"}, {"c", "a", "b"}, {"a", "b", "c"}} {
		got := []string{}
		for k := range m.AllFrom(skipped) {
			got = append(got, k)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%d skipped: got: %v, want: %v", skipped, got, want)
		}
	}
}

// After any sequence of changes it has the same contents as a built-in map.
func TestMapHasTheContentsOfABuiltInMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	m, want := &ordered.Map[int, int]{}, map[int]int{}
	for i := range 10_000 {
		k := rng.IntN(50)
		switch rng.IntN(5) {
		case 0, 1:
			m.Set(k, i)
			want[k] = i
		case 2, 3:
			m.Delete(k)
			delete(want, k)
		case 4:
			if rng.IntN(100) == 0 {
				m.Clear()
				clear(want)
			}
		}
		if got := maps.Collect(m.All()); !maps.Equal(got, want) || m.Len() != len(want) {
			t.Fatalf("after %d changes: got: %v, want: %v", i, got, want)
		}
	}
}
