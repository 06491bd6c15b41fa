// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package listen_test

import (
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/leverdyke/leverdyke/internal/listen"
)

// An address that is in use must be an error of Open itself, not one that only the channel
// of Failed receives later.
func TestOpenFailsOnAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if err := listen.NewGroup().Open(&http.Server{}, netip.MustParseAddrPort(l.Addr().String()), nil); err == nil {
		t.Error("got: nil, want: an error")
	}
}

// Guards against an orderly shutdown that is reported as a failure: Serve returns
// http.ErrServerClosed after Close, which is no error.
func TestClosingServerReportsNoFailure(t *testing.T) {
	g := listen.NewGroup()
	s := &http.Server{}
	if err := g.Open(s, netip.MustParseAddrPort("127.0.0.1:0"), nil); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	select {
	case err := <-g.Failed():
		t.Errorf("got: %v, want: none", err)
	default:
	}
}
