// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	// recordBytes and callBytes are record_bytes and call_bytes of the settings.
	recordBytes = 262144
	callBytes   = 2097152
)

// storeLimit is a proxy before the store that refuses what is longer than the settings say.
type storeLimit struct {
	proxy *httputil.ReverseProxy
	// refused counts the refused appends; longest is the length of the longest record.
	refused, longest atomic.Int64
}

// listen returns the address of the proxy.
func (s *storeLimit) listen(store string) (string, error) {
	s.proxy = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("store: %w", err)
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// ServeHTTP refuses an append that is too long, all or nothing, and passes on everything else.
func (s *storeLimit) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/log-append" {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if s.isTooLong(body) {
			s.refused.Add(1)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	s.proxy.ServeHTTP(w, r)
}

func (s *storeLimit) isTooLong(body []byte) bool {
	isLong := len(body) > callBytes
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if int64(n) > s.longest.Load() {
			s.longest.Store(int64(n))
		}
		isLong = isLong || n > recordBytes
		body = body[min(4+n, len(body)):]
	}
	return isLong
}
