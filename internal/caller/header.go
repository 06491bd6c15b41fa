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

// hopHeaders are of one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// copyHeader copies all that is not of the connection, nor the verdict, which
// is this node's to give.
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
