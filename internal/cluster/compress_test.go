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

// manyRoutes is a configuration with routes as the operators write them.
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

func TestAConfigurationIsCompressed(t *testing.T) {
	data := configWithRoutes(5600)
	compressed := cluster.Compress(data)
	got, err := cluster.Decompress(compressed)
	if err != nil || !bytes.Equal(got, data) {
		t.Errorf("unpacked: got: %d bytes, %v, want: the %d packed", len(got), err, len(data))
	}
	// The names of routes do not shrink.
	if want := len(data) / 5; len(compressed) > want {
		t.Errorf("packed: got: %d bytes of %d, want: %d at most", len(compressed), len(data), want)
	}
}

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
