// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package settings_test

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/document"
	"github.com/leverdyke/leverdyke/internal/settings"
)

const good = `link: 127.0.0.1:7101
callers: 127.0.0.1:7102
operators: 127.0.0.1:7103
region: r1
zone: r1-z1
peers: ["127.0.0.1:7201"]
log: 127.0.0.1:7000
vm_list: 127.0.0.1:7000
`

func TestDefaults(t *testing.T) {
	n, err := settings.Parse("node.yaml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if n.Lease != 20*time.Second || n.Sync != 20*time.Second/3 || n.PeerAddrs[0].Port() != 7201 {
		t.Errorf("got: %+v, want: the defaults", n)
	}
}

func TestRoutes(t *testing.T) {
	n, err := settings.Parse("node.yaml", []byte(good+"routes: {\"127.0.0.1:7201\": \"127.0.0.1:9999\"}\n"))
	if err != nil {
		t.Fatal(err)
	}
	for link, want := range map[string]string{"127.0.0.1:7201": "127.0.0.1:9999", "127.0.0.1:7202": "127.0.0.1:7202"} {
		if got := n.Route(netip.MustParseAddrPort(link)).String(); got != want {
			t.Errorf("%s: got: %v, want: %v", link, got, want)
		}
	}
}

func TestErrorsNameFileLineKeyAndWhatIsAllowed(t *testing.T) {
	for name, c := range map[string]struct {
		text, key string
		line      int
	}{
		"unknown key":       {good + "colour: red\n", "colour", 9},
		"wrong type":        {good + "max_requests: many\n", "max_requests", 9},
		"wrong duration":    {good + "lease: soon\n", "lease", 9},
		"out of range":      {good + "lease: 1s\n", "lease", 9},
		"sync over half":    {good + "lease: 10s\nsync: 6s\n", "sync", 10},
		"missing":           {strings.Replace(good, "zone: r1-z1\n", "", 1), "zone", 1},
		"no IP number":      {strings.Replace(good, "link: 127.0.0.1:7101", "link: host:7101", 1), "link", 1},
		"bad peer":          {strings.Replace(good, `"127.0.0.1:7201"`, `"peer"`, 1), "peers", 6},
		"bad route":         {good + "routes: {\"127.0.0.1:7201\": gate}\n", "routes", 9},
		"bad route's link":  {good + "routes: {peer: \"127.0.0.1:7201\"}\n", "routes", 9},
		"negative":          {good + "appends_per_second: -1\n", "appends_per_second", 9},
		"memory too little": {good + "memory_limit_mib: 2\n", "memory_limit_mib", 9},
		"no YAML":           {"link: [", "link", 1},
		"empty":             {"", "", 0},
	} {
		_, err := settings.Parse("node.yaml", []byte(c.text))
		field := &document.FieldError{}
		if !errors.As(err, &field) {
			t.Errorf("%s: got: %v, want: a field error", name, err)
			continue
		}
		if field.File != "node.yaml" || field.Key != c.key || (c.line > 0 && field.Line != c.line) || (c.key != "" && field.Allowed == "") {
			t.Errorf("%s: got: %+v, want: key %q on line %d and what is allowed", name, field, c.key, c.line)
		}
	}
}
