// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package fallback sends requests to a service and falls back to sending them through peers when
// the service rejects this node but serves others, or does not answer this node. A request may
// therefore be executed more than once. Callers send only requests that are safe to repeat, either
// because the service makes them idempotent or because the request carries a precondition.
package fallback

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/progress"
)

// Request is an HTTP request to the service.
type Request struct {
	Method string
	// Path includes the query.
	Path string
	Body []byte
	// Wait is how long the service may delay its answer (long poll).
	Wait time.Duration
}

// Response is the service's answer.
type Response struct {
	Status int
	Body   []byte
}

// isServed reports whether the service accepted the request. Otherwise it rejected the request
// without executing it, which does not mean that it rejects the same request on another path.
func (r *Response) isServed() bool {
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInsufficientStorage:
		return false
	}
	return true
}

// UnsentError means that the request was not sent, so that it was certainly not executed.
type UnsentError struct{ Err error }

// Error returns the error text.
func (e *UnsentError) Error() string { return fmt.Sprintf("fallback: request not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// Doer sends a request to the service. After an error other than *UnsentError it is uncertain
// whether the request was executed.
type Doer interface {
	Do(ctx context.Context, r *Request) (*Response, error)
}

// Peers are the nodes that can send a request on behalf of this one.
type Peers interface {
	// Sample returns the names of up to n linked peers, chosen anew at each call.
	Sample(n int) []string
	// Via sends a request through a peer, with the results of Doer.Do.
	Via(ctx context.Context, peer string, r *Request) (*Response, error)
	// IsMajority reports whether this node and its linked peers are a majority of the nodes that
	// this node has known since asOf, of which there are at least minNodes.
	IsMajority(asOf time.Time, minNodes int) bool
}

const (
	// A request times out on all its paths when no bytes move for idleTimeoutFactor times the usual
	// latency, limited to minIdleTimeout and maxIdleTimeout.
	minIdleTimeout    = 700 * time.Millisecond
	idleTimeoutFactor = 4
	maxIdleTimeout    = 1500 * time.Millisecond
	// directBackoff is how long the direct path is not used after it failed.
	directBackoff = 800 * time.Millisecond
	// peerSampleSize is how many peers are sampled for a request.
	peerSampleSize = 6
	// The hedge delay is how long a request may take on the paths tried so far until the next ones
	// are tried in parallel: hedgeDelayFactor times the usual latency, limited to minHedgeDelay and
	// maxHedgeDelay. A busy node may wait for minHedgeDelay just to get a share of a processor. A
	// slow service becomes slower still when it gets the same request on all paths at once.
	hedgeDelayFactor = 4
	minHedgeDelay    = 40 * time.Millisecond
	maxHedgeDelay    = 900 * time.Millisecond
	// retryInterval is the time between two retries on the direct path after all paths were tried.
	// Retries are needed because a service that recovers answers only new requests.
	retryInterval = 200 * time.Millisecond
	// maxDirectOvertakes is how many times in a row a peer must be faster than the direct path
	// until that counts as a failure of the direct path. A single time proves little on a busy
	// node.
	maxDirectOvertakes = 2
	// minUploadBytesPerSecond is the lowest rate at which a request body is expected to be sent. The
	// time that this takes is added to the hedge delay.
	minUploadBytesPerSecond = 1 << 20
	// latencyWeight is the weight of a new latency in the usual latency, and risingLatencyWeight
	// its weight when it is the higher of the two, so that a service that becomes slow is noticed
	// at once.
	latencyWeight       = 0.2
	risingLatencyWeight = 0.7
	// outageWindow is how long a failure on all paths counts as an outage. recoveryWindow is how
	// long the outage still counts after it ended, because the owner's next heartbeat takes half a
	// second.
	outageWindow   = 3 * time.Second
	recoveryWindow = time.Second
)

// Client is a Doer that sends requests through peers while the direct path fails. It is safe for
// concurrent use.
type Client struct {
	direct Doer
	peers  Peers
	clock  clock.Service

	mu sync.Mutex
	// directRetryAt is when the direct path may be used again. It is zero or past while the path
	// works.
	directRetryAt time.Time
	// directOvertakes counts how many times in a row a peer was faster than the direct path.
	directOvertakes int
	// lastServingPeer is the peer through which a request was served last.
	lastServingPeer string
	// usualLatency is a weighted moving average of the time that the service takes to answer.
	usualLatency time.Duration
	// allFailedAt is when a request last failed on all paths, lastServedAt when one was last
	// served, and recoveredAt when one was served again after a failure on all paths.
	allFailedAt, lastServedAt, recoveredAt time.Time
}

// New returns a Client that sends requests by direct, or through peers as a fallback.
func New(direct Doer, peers Peers, c clock.Service) *Client {
	return &Client{direct: direct, peers: peers, clock: c}
}

// HasOutage reports whether the service has an outage: this node and most others reach each other,
// but a request has failed on all paths that were tried, or did so until a moment ago. The others are
// those that were known when the service was last seen to work, at asOf, at least minNodes in all: a
// node that is cut off forgets them.
func (d *Client) HasOutage(asOf time.Time, minNodes int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	isFailing := d.allFailedAt.After(d.lastServedAt) && now.Sub(d.allFailedAt) < outageWindow
	return (isFailing || now.Sub(d.recoveredAt) < recoveryWindow) && d.peers.IsMajority(asOf, minNodes)
}

// Do sends the request directly. It also sends it through peers when the direct path fails, or
// takes longer than usual while no bytes move. While bytes move, a copy through a peer would only
// fill this node's link with the same bytes. The first answer from a service that accepted the
// request is returned.
func (d *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	ctx, cancel := progress.WithTimeout(ctx, d.idleTimeout()+r.Wait)
	defer cancel()
	return newHedgedRequest(ctx, d, r).run()
}

// hedgeDelay returns how long a request may take on the paths tried so far until the next ones are
// tried in parallel.
func (d *Client) hedgeDelay(r *Request) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	uploadTime := time.Duration(len(r.Body)) * time.Second / minUploadBytesPerSecond
	return min(max(hedgeDelayFactor*d.usualLatency, minHedgeDelay)+uploadTime, maxHedgeDelay) + r.Wait
}

// stages returns the paths in the order in which they are tried; the paths of one stage are tried
// in parallel. The direct path comes first unless it backs off, then the peer that served last if
// it is in the sample, then the other peers.
func (d *Client) stages() [][]string {
	names := d.peers.Sample(peerSampleSize)
	d.mu.Lock()
	defer d.mu.Unlock()
	out := [][]string{}
	if !d.clock.Now().Before(d.directRetryAt) {
		out = append(out, []string{directPath})
	}
	if i := slices.Index(names, d.lastServingPeer); i > 0 {
		names[0], names[i] = names[i], names[0]
	}
	if len(names) > 0 {
		out = append(out, names[:1])
	}
	if len(names) > 1 {
		out = append(out, names[1:])
	}
	return out
}

// recordServed records that a request was served. The latency of a long poll is not recorded, as it
// includes the service's wait.
func (d *Client) recordServed(t *attempt, wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if d.allFailedAt.After(d.lastServedAt) {
		d.recoveredAt = now
	}
	d.lastServedAt = now
	if t.path == directPath {
		d.directRetryAt = time.Time{}
		d.directOvertakes = 0
	} else {
		d.lastServingPeer = t.path
	}
	if wait == 0 {
		d.updateUsualLatency(now.Sub(t.startedAt))
	}
}

// ObserveLatency records the service's latency for a request that was not sent through this Client.
func (d *Client) ObserveLatency(latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateUsualLatency(latency)
}

// updateUsualLatency adds a latency to the moving average. The caller holds mu.
func (d *Client) updateUsualLatency(latency time.Duration) {
	weight := latencyWeight
	if latency > d.usualLatency {
		weight = risingLatencyWeight
	}
	d.usualLatency += time.Duration(weight * float64(latency-d.usualLatency))
}

// idleTimeout returns for how long a request may go without any bytes moving.
func (d *Client) idleTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(max(idleTimeoutFactor*d.usualLatency, minIdleTimeout), maxIdleTimeout)
}

// recordOvertaken records that a peer was faster than the direct path.
func (d *Client) recordOvertaken() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.directOvertakes++; d.directOvertakes >= maxDirectOvertakes {
		d.directRetryAt = d.clock.Now().Add(directBackoff)
	}
}

// recordDirectFailed starts the backoff of the direct path.
func (d *Client) recordDirectFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directRetryAt = d.clock.Now().Add(directBackoff)
}

// recordAllFailed records that a request failed on all paths.
func (d *Client) recordAllFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allFailedAt = d.clock.Now()
}
