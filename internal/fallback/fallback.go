// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package fallback reaches a service through peers when it turns this node away
// and serves others, or leaves a request without an answer. A request may so be
// carried out more than once: callers send only what the service or a condition
// in the request makes harmless to repeat.
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

// Request is an HTTP request as it goes to the service.
type Request struct {
	Method string
	// Path has the query.
	Path string
	Body []byte
	// Wait is how long the service may wait before it answers.
	Wait time.Duration
}

// Response is the service's answer.
type Response struct {
	Status int
	Body   []byte
}

// isServed reports whether the service took the request; otherwise it did nothing.
// A refusal says nothing of the same request on another way.
func (r *Response) isServed() bool {
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInsufficientStorage:
		return false
	}
	return true
}

// UnsentError means that the request never left: nothing was done.
type UnsentError struct{ Err error }

// Error returns the text of the error.
func (e *UnsentError) Error() string { return fmt.Sprintf("detour: not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// Doer sends a request to the service. An error other than *UnsentError leaves
// open whether it was carried out.
type Doer interface {
	Do(ctx context.Context, r *Request) (*Response, error)
}

// Peers are the nodes that can send a request for this one.
type Peers interface {
	// Sample returns up to n peers that are linked, others each time.
	Sample(n int) []string
	// Via sends a request through a peer, as Doer.Do does.
	Via(ctx context.Context, peer string, r *Request) (*Response, error)
	// IsMajority reports whether this node and its linked peers are most of those
	// that were linked lately.
	IsMajority() bool
}

const (
	// minIdleTimeout bounds a request over all ways until bytes of it move, or
	// timeoutRatio usual answer times if these are longer, up to longestTimeout.
	minIdleTimeout    = 700 * time.Millisecond
	idleTimeoutFactor = 4
	maxIdleTimeout    = 1500 * time.Millisecond
	// directBackoff is how long the direct way is left alone after it failed.
	directBackoff = 800 * time.Millisecond
	// peerSampleSize is how many peers are tried at once.
	peerSampleSize = 6
	// hedgeDelayFactor is how many usual answer times a way may take until the next one
	// is tried beside it, between shortestHedge, which a node that waits for its
	// share of a processor takes, and longestHedge. A slow service is slower still when
	// it is asked by all ways at once.
	hedgeDelayFactor = 4
	minHedgeDelay    = 40 * time.Millisecond
	maxHedgeDelay    = 900 * time.Millisecond
	// retryInterval is the time between two tries of ways that were tried already: a
	// service that comes back answers new requests only.
	retryInterval = 200 * time.Millisecond
	// maxDirectOvertakes is how often in a row a peer must be sooner than the direct way until
	// that counts as failed: a single one tells little on a busy node.
	maxDirectOvertakes = 2
	// minUploadBytesPerSecond is the rate at which a request is expected to leave at least, in
	// bytes a second.
	minUploadBytesPerSecond = 1 << 20
	// latencyWeight is the weight of a new answer in the usual answer time, slowerWeight
	// that of one that took longer: a service that turns slow is noticed at once.
	latencyWeight       = 0.2
	risingLatencyWeight = 0.7
	// outageWindow is how long a failure of all ways counts, backWindow how long
	// the outage counts after its end: the owner's next beat takes half a second.
	outageWindow   = 3 * time.Second
	recoveryWindow = time.Second
)

// Client is a Doer that goes through peers while the direct way fails. It is
// safe for concurrent use.
type Client struct {
	direct Doer
	peers  Peers
	clock  clock.Service

	mu sync.Mutex
	// directRetryAt is when the direct way may be tried again; zero while it serves.
	directRetryAt time.Time
	// directOvertakes counts how often in a row a peer was sooner than the direct way.
	directOvertakes int
	// lastServingPeer is the peer by which a request was served last.
	lastServingPeer string
	// usualLatency is how long the service usually takes.
	usualLatency time.Duration
	// allFailedAt is when all ways failed last, lastServedAt when one worked last, and
	// recoveredAt when one worked again after all had failed.
	allFailedAt, lastServedAt, recoveredAt time.Time
}

// New returns a Detour.
func New(direct Doer, peers Peers, c clock.Service) *Client {
	return &Client{direct: direct, peers: peers, clock: c}
}

// HasOutage reports whether this node and most others reach each other and none
// of those that were tried reaches the service, or did so until just now.
func (d *Client) HasOutage() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	isFailing := d.allFailedAt.After(d.lastServedAt) && now.Sub(d.allFailedAt) < outageWindow
	return (isFailing || now.Sub(d.recoveredAt) < recoveryWindow) && d.peers.IsMajority()
}

// Do sends the request directly, and through peers when that fails or takes
// longer than usual while nothing moves: the same bytes through a peer would only
// fill the link of this node. The first answer of a service that took it counts.
func (d *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	ctx, cancel := progress.WithTimeout(ctx, d.idleTimeout()+r.Wait)
	defer cancel()
	return newHedgedRequest(ctx, d, r).run()
}

// hedgeDelay returns how long a way may take for a request until the next one is tried
// beside it.
func (d *Client) hedgeDelay(r *Request) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	uploadTime := time.Duration(len(r.Body)) * time.Second / minUploadBytesPerSecond
	return min(max(hedgeDelayFactor*d.usualLatency, minHedgeDelay)+uploadTime, maxHedgeDelay) + r.Wait
}

// stages returns the ways in the order in which they are tried.
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

// noteServed notes an answer by a way.
func (d *Client) noteServed(t *attempt, wait time.Duration) {
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

// ObserveLatency takes how long the service took to answer a request that went around the
// Detour.
func (d *Client) ObserveLatency(latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateUsualLatency(latency)
}

// updateUsualLatency takes an answer time. The caller holds mu.
func (d *Client) updateUsualLatency(latency time.Duration) {
	weight := latencyWeight
	if latency > d.usualLatency {
		weight = risingLatencyWeight
	}
	d.usualLatency += time.Duration(weight * float64(latency-d.usualLatency))
}

// idleTimeout returns how long nothing may move.
func (d *Client) idleTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(max(idleTimeoutFactor*d.usualLatency, minIdleTimeout), maxIdleTimeout)
}

// noteOvertaken notes that a peer was sooner than the direct way.
func (d *Client) noteOvertaken() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.directOvertakes++; d.directOvertakes >= maxDirectOvertakes {
		d.directRetryAt = d.clock.Now().Add(directBackoff)
	}
}

// noteDirectFailed leaves the direct way alone for a while.
func (d *Client) noteDirectFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directRetryAt = d.clock.Now().Add(directBackoff)
}

// noteAllFailed notes that no way worked.
func (d *Client) noteAllFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allFailedAt = d.clock.Now()
}
