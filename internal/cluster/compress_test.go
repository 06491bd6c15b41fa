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
func manyRoutes(count int) []byte {
	out := &bytes.Buffer{}
	out.WriteString(`{"version":7,"routes":[`)
	for i := range count {
		name := fmt.Sprintf("%08x", uint32(i)*2654435761)
		fmt.Fprintf(out, `{"name":"r-%s","host":"%s.example","pathPrefix":"/%s/","priority":1,"service":"kaba98a","maxAttempts":2,"stretch":1.5},`, name, name[:4], name[4:])
	}
	out.WriteString(`{}]}`)
	return out.Bytes()
}

func TestAConfigurationIsPacked(t *testing.T) {
	data := manyRoutes(5600)
	packed := cluster.Pack(data)
	got, err := cluster.Unpack(packed)
	if err != nil || !bytes.Equal(got, data) {
		t.Errorf("unpacked: got: %d bytes, %v, want: the %d packed", len(got), err, len(data))
	}
	// The names of routes do not shrink.
	if want := len(data) / 5; len(packed) > want {
		t.Errorf("packed: got: %d bytes of %d, want: %d at most", len(packed), len(data), want)
	}
}

func TestUnpackRefusesWhatIsNoConfiguration(t *testing.T) {
	bomb := &bytes.Buffer{}
	w := gzip.NewWriter(bomb)
	for range 17 {
		if _, err := w.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	good := cluster.Pack(manyRoutes(10))
	for name, packed := range map[string][]byte{"foreign": []byte("{}"), "cut": good[:len(good)/2], "too large": bomb.Bytes()} {
		if got, err := cluster.Unpack(packed); err == nil {
			t.Errorf("%s: got: %d bytes, want: an error", name, len(got))
		}
	}
}
