// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxConfigBytes is the maximum decompressed size of a configuration from a peer, in bytes. No node
// reads a larger one from the store, whose responses are limited to 16 MB (maxResponseBytes in
// platform/direct.go). Without the limit, one frame could decompress to more than the memory of a
// node, which is 184 MB on the smallest VM of the grown offices.
const maxConfigBytes = 16 << 20

// compress compresses a configuration. Its routes are similar and compress well. It then needs only
// a fraction of the time on the slowest link (10 Mbit/s), where it would otherwise delay
// heartbeats.
func compress(data []byte) []byte {
	out := &bytes.Buffer{}
	// No error is possible: the level is valid, and writes to a bytes.Buffer do not fail.
	w, _ := gzip.NewWriterLevel(out, gzip.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// decompress reverses compress. It fails for data of more than maxConfigBytes.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("cluster: compressed configuration from a peer has no valid header: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("cluster: cannot decompress configuration from a peer: %w", err)
	}
	if len(data) > maxConfigBytes {
		return nil, fmt.Errorf("cluster: configuration from a peer is larger than %d bytes after decompression", maxConfigBytes)
	}
	return data, nil
}
