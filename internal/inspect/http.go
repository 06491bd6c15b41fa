// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package inspect

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// Path is where nodes serve the report, on the port of their metrics.
const Path = "/scheduler"

const (
	// reportTimeout bounds the time for which the owner's loop is waited for.
	reportTimeout = 2 * time.Second
	// maxReportBytes bounds the size of a report that is read.
	maxReportBytes = 16 << 20
)

// NotOwnerError means that the node that was asked is not the owner of the shard.
type NotOwnerError struct {
	// Owner is the name of the owner; empty if the node does not know it.
	Owner string `json:"owner"`
}

// Error returns the text of the error.
func (e *NotOwnerError) Error() string {
	if e.Owner == "" {
		return "inspect: the node is not the owner of the shard and knows none"
	}
	return fmt.Sprintf("inspect: the node is not the owner of the shard: ask %s", e.Owner)
}

// Source makes reports. Its error is a *NotOwnerError on nodes that are not the owner.
type Source interface {
	Inspect(ctx context.Context) (*Report, error)
}

// Handler serves the reports of a source. Nodes that are not the owner answer 409 and name it.
type Handler struct{ Source Source }

// ServeHTTP answers one request.
func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), reportTimeout)
	defer cancel()
	report, err := h.Source.Inspect(ctx)
	w.Header().Set("Content-Type", "application/json")
	other := &NotOwnerError{}
	switch {
	case errors.As(err, &other):
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(other)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		_ = json.NewEncoder(w).Encode(report)
	}
}

// Fetch asks the nodes one after the other until the owner answers. nodes are the addresses at which
// they serve metrics. If none answers, the error has those of all nodes.
func Fetch(ctx context.Context, client *http.Client, nodes []netip.AddrPort) (*Report, error) {
	var failures []error
	for _, node := range nodes {
		report, err := fetchFrom(ctx, client, node)
		if err == nil {
			return report, nil
		}
		failures = append(failures, fmt.Errorf("inspect: %s: %w", node, err))
	}
	return nil, errors.Join(failures...)
}

func fetchFrom(ctx context.Context, client *http.Client, node netip.AddrPort) (*Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.String()+Path, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes))
	switch response.StatusCode {
	case http.StatusOK:
		report := &Report{}
		return report, body.Decode(report)
	case http.StatusConflict:
		other := &NotOwnerError{}
		if err := body.Decode(other); err != nil {
			return nil, err
		}
		return nil, other
	}
	return nil, fmt.Errorf("status %s", response.Status)
}
