// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxConfigBytes bounds a configuration that a peer sent compressed, in bytes
// unpacked. No node reads a larger one in the store, whose answers are bounded by
// 16 MB (maxAnswerBytes in platform/direct.go); and what a frame holds can unpack to
// more than the memory of a node: 184 MB on the smallest VM of the grown offices.
const maxConfigBytes = 16 << 20

// pack compresses a configuration: its routes are alike, so that it crosses the
// weakest link (10 Mbit/s) in a fraction of the time, and holds up no beats.
func compress(data []byte) []byte {
	out := &bytes.Buffer{}
	// Neither a buffer nor this level can fail.
	w, _ := gzip.NewWriterLevel(out, gzip.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// unpack reads what pack wrote.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("cluster: packed configuration: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("cluster: packed configuration: %w", err)
	}
	if len(data) > maxConfigBytes {
		return nil, fmt.Errorf("cluster: packed configuration: more than %d bytes", maxConfigBytes)
	}
	return data, nil
}
