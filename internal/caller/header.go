// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package caller

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/worker"
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// copyHeader copies the headers except those that apply to one connection, and except the verdict
// and the grant, which only this node may set.
func copyHeader(to, from http.Header) {
	connectionHeaders := []string{}
	for _, line := range from.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			connectionHeaders = append(connectionHeaders, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range from {
		if slices.Contains(hopByHopHeaders, name) || slices.Contains(connectionHeaders, name) || name == leverdyke.VerdictHeader || name == worker.GrantHeader {
			continue
		}
		to[name] = append([]string{}, values...)
	}
}

func setGrant(h http.Header, k worker.Key) {
	h.Set(worker.GrantHeader, fmt.Sprintf("%s/%d", k.Task.Job, k.Attempt))
}
