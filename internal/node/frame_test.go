// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/leverdyke/leverdyke/internal/node"
)

func TestFrameRoundTrip(t *testing.T) {
	buf, err := node.AppendFrame(nil, &node.Message{Heartbeat: &node.Heartbeat{Applied: 7}})
	if err != nil {
		t.Fatal(err)
	}
	m, n, err := node.ReadFrame(bytes.NewReader(buf))
	if err != nil || n != len(buf) || m.Heartbeat == nil || m.Heartbeat.Applied != 7 {
		t.Errorf("got: %+v, %d, %v, want: the heartbeat", m, n, err)
	}
}

// A malformed frame has to give ErrFrame, by which a link distinguishes it from a
// broken connection and reports the peer.
func TestMalformedFrameReturnsErrFrame(t *testing.T) {
	for name, data := range map[string][]byte{
		"no length":        {0, 0, 0, 0},
		"too long":         {0xff, 0xff, 0xff, 0xff},
		"no msgpack":       {0, 0, 0, 1, 0xc1},
		"missing elements": {0, 0, 0, 5, 0xdd, 0xff, 0xff, 0xff, 0xff},
	} {
		if _, _, err := node.ReadFrame(bytes.NewReader(data)); !errors.Is(err, node.ErrFrame) {
			t.Errorf("%s: got: %v, want: %v", name, err, node.ErrFrame)
		}
	}
}

// ReadFrame must neither panic nor allocate what a forged length claims, whatever
// bytes a peer sends.
func FuzzReadFrame(f *testing.F) {
	buf, err := node.AppendFrame(nil, &node.Message{StartRequest: &node.StartRequest{JobShard: "h", Items: []node.StartItem{{Age: 1}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(buf)
	f.Add([]byte{0, 0, 0, 5, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _, _ = node.ReadFrame(bytes.NewReader(data)) })
}
