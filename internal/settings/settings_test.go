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

const validSettings = `link: 127.0.0.1:7101
callers: 127.0.0.1:7102
operators: 127.0.0.1:7103
region: r1
zone: r1-z1
peers: ["127.0.0.1:7201"]
log: 127.0.0.1:7000
vm_list: 127.0.0.1:7000
`

func TestDefaults(t *testing.T) {
	node, err := settings.Parse("node.yaml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if node.Lease != 20*time.Second || node.Sync != 20*time.Second/3 || node.PeerAddrs[0].Port() != 7201 {
		t.Errorf("got: %+v, want: the defaults", node)
	}
}

// A link with a route is dialled at the address of the route, any other link at its own.
func TestRouteReplacesAddressOfLink(t *testing.T) {
	node, err := settings.Parse("node.yaml", []byte(validSettings+"routes: {\"127.0.0.1:7201\": \"127.0.0.1:9999\"}\n"))
	if err != nil {
		t.Fatal(err)
	}
	for link, want := range map[string]string{"127.0.0.1:7201": "127.0.0.1:9999", "127.0.0.1:7202": "127.0.0.1:7202"} {
		if got := node.Route(netip.MustParseAddrPort(link)).String(); got != want {
			t.Errorf("%s: got: %v, want: %v", link, got, want)
		}
	}
}

// An operator must find the faulty place from the error alone: each kind of fault must
// give the file, the line, the key and the values that are allowed.
func TestErrorsNameFileLineKeyAndAllowedValues(t *testing.T) {
	for name, test := range map[string]struct {
		text, key string
		line      int
	}{
		"unknown key":       {validSettings + "colour: red\n", "colour", 9},
		"wrong type":        {validSettings + "max_requests: many\n", "max_requests", 9},
		"wrong duration":    {validSettings + "lease: soon\n", "lease", 9},
		"out of range":      {validSettings + "lease: 1s\n", "lease", 9},
		"sync over half":    {validSettings + "lease: 10s\nsync: 6s\n", "sync", 10},
		"missing":           {strings.Replace(validSettings, "zone: r1-z1\n", "", 1), "zone", 1},
		"no IP number":      {strings.Replace(validSettings, "link: 127.0.0.1:7101", "link: host:7101", 1), "link", 1},
		"bad peer":          {strings.Replace(validSettings, `"127.0.0.1:7201"`, `"peer"`, 1), "peers", 6},
		"bad route":         {validSettings + "routes: {\"127.0.0.1:7201\": gate}\n", "routes", 9},
		"bad route's link":  {validSettings + "routes: {peer: \"127.0.0.1:7201\"}\n", "routes", 9},
		"negative":          {validSettings + "appends_per_second: -1\n", "appends_per_second", 9},
		"memory too little": {validSettings + "memory_limit_mib: 2\n", "memory_limit_mib", 9},
		"no YAML":           {"link: [", "link", 1},
		"empty":             {"", "", 0},
	} {
		_, err := settings.Parse("node.yaml", []byte(test.text))
		field := &document.FieldError{}
		if !errors.As(err, &field) {
			t.Errorf("%s: got: %v, want: a field error", name, err)
			continue
		}
		if field.File != "node.yaml" || field.Key != test.key || (test.line > 0 && field.Line != test.line) || (test.key != "" && field.Allowed == "") {
			t.Errorf("%s: got: %+v, want: key %q on line %d and what is allowed", name, field, test.key, test.line)
		}
	}
}
