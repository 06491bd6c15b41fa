// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/cluster"
	"github.com/leverdyke/leverdyke/internal/codec"
	"github.com/leverdyke/leverdyke/internal/store/fakestore"
)

// Guards against nodes of an earlier version that cannot link to this one: a message is an array of fields, and has a fixed
// length.
func TestHelloOfAnEarlierVersionIsUnderstood(t *testing.T) {
	log := fakestore.NewLog()
	// The node cannot become the owner.
	log.SetDown(true)
	n := newNode(t, log, "n0", "1")
	earlier := struct {
		Name        string
		Zone        string
		Addr        netip.AddrPort
		Incarnation string
		Age         time.Duration
		Strength    float64
		Workers     int
	}{"n1", "z", netip.MustParseAddrPort("127.0.0.1:7"), "2", time.Second, 1, 0}
	body, err := codec.MarshalCompact(&earlier)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := n.HandleCall(t.Context(), nil, "hello", body); err != nil {
		t.Errorf("the greeting of a node of the commit before this one: got: %v, want: welcome", err)
	}
}

// Guards against an owner that takes what a follower of an earlier version replies for a report of its fitness.
func TestReplyOfAnEarlierVersionIsNoReportOfFitness(t *testing.T) {
	log := fakestore.NewLog()
	// The node cannot become the owner.
	log.SetDown(true)
	n := newNode(t, log, "n0", "1")
	// A kind that this version does not know either.
	reply, err := n.HandleCall(t.Context(), nil, "unknown", nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := codec.MarshalCompact(reply)
	if err != nil {
		t.Fatal(err)
	}
	if err := codec.Unmarshal(body, &cluster.FitnessReport{}); err == nil {
		t.Error("got: a report of fitness, want: an error")
	}
}
