// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package shortfall

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Play is the part of the report of a played day that is needed here.
type Play struct {
	// Worth is the benefit less prices, and Served the benefit, as shares of what is owed.
	Worth  float64 `json:"G"`
	Served float64 `json:"served"`
	Kinds  []Kind  `json:"classes"`
	// Breaks has the broken rules by their names. Short and Missed name figures that the bench itself
	// finds too low.
	// Their form is not known, only that they are empty if nothing is wrong.
	Breaks json.RawMessage `json:"breaks"`
	Short  json.RawMessage `json:"short"`
	Missed json.RawMessage `json:"missed"`
}

// Kind is what became of a kind of request.
type Kind struct {
	Name   string `json:"name"`
	Asked  int    `json:"n"`
	InTime int    `json:"in_aim"`
	Late   int    `json:"late"`
	// Refused were answered so at last; Failed are all others that were owed and not served.
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	NotOwed int     `json:"not_owed"`
	Worth   float64 `json:"worth"`
}

// Owed returns how many requests were to be served, and Served how many were.
func (k *Kind) Owed() int { return max(k.Asked-k.NotOwed, 0) }

// Served returns how many requests were served in time or late.
func (k *Kind) Served() int { return k.InTime + k.Late }

// Share returns the share of the requests to be served that were served, in time or late.
func (k *Kind) Share() float64 { return float64(k.Served()) / float64(max(k.Owed(), 1)) }

// ParsePlay parses the report file of a play.
func ParsePlay(data []byte) (*Play, error) {
	p := &Play{}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("shortfall: report: %w", err)
	}
	if len(p.Kinds) == 0 {
		return nil, errors.New("shortfall: report: has no kinds of requests")
	}
	return p, nil
}
