// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"github.com/leverdyke/leverdyke/internal/cluster"
)

// configWithRoutes returns a configuration with that many routes, similar to those that operators
// write.
func configWithRoutes(count int) []byte {
	out := &bytes.Buffer{}
	out.WriteString(`{"version":7,"routes":[`)
	for i := range count {
		name := fmt.Sprintf("%08x", uint32(i)*2654435761)
		fmt.Fprintf(out, `{"name":"r-%s","host":"%s.example","pathPrefix":"/%s/","priority":1,"service":"kaba98a","maxAttempts":2,"stretch":1.5},`, name, name[:4], name[4:])
	}
	out.WriteString(`{}]}`)
	return out.Bytes()
}

// Guards against a configuration that changes in transfer, or that takes too long on a slow link
// because it is not compressed well enough.
func TestAConfigurationIsCompressed(t *testing.T) {
	data := configWithRoutes(5600)
	compressed := cluster.Compress(data)
	got, err := cluster.Decompress(compressed)
	if err != nil || !bytes.Equal(got, data) {
		t.Errorf("decompressed: got: %d bytes, %v, want: the %d original bytes", len(got), err, len(data))
	}
	// The names of the routes hardly compress.
	if want := len(data) / 5; len(compressed) > want {
		t.Errorf("compressed: got: %d bytes of %d, want: at most %d", len(compressed), len(data), want)
	}
}

// Guards against data from a peer that is no compressed configuration, that is truncated, or that
// decompresses to more memory than a node has.
func TestDecompressRefusesInvalidData(t *testing.T) {
	oversized := &bytes.Buffer{}
	w := gzip.NewWriter(oversized)
	for range 17 {
		if _, err := w.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	intact := cluster.Compress(configWithRoutes(10))
	for name, compressed := range map[string][]byte{"foreign": []byte("{}"), "cut": intact[:len(intact)/2], "too large": oversized.Bytes()} {
		if got, err := cluster.Decompress(compressed); err == nil {
			t.Errorf("%s: got: %d bytes, want: an error", name, len(got))
		}
	}
}
