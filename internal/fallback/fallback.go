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
	// shortestTimeout bounds a request over all ways until bytes of it move, or
	// timeoutRatio usual answer times if these are longer, up to longestTimeout.
	shortestTimeout = 700 * time.Millisecond
	timeoutRatio    = 4
	longestTimeout  = 1500 * time.Millisecond
	// directPause is how long the direct way is left alone after it failed.
	directPause = 800 * time.Millisecond
	// sampleSize is how many peers are tried at once.
	sampleSize = 6
	// hedgeRatio is how many usual answer times a way may take until the next one
	// is tried beside it, between shortestHedge, which a node that waits for its
	// share of a processor takes, and longestHedge. A slow service is slower still when
	// it is asked by all ways at once.
	hedgeRatio    = 4
	shortestHedge = 40 * time.Millisecond
	longestHedge  = 900 * time.Millisecond
	// againPause is the time between two tries of ways that were tried already: a
	// service that comes back answers new requests only.
	againPause = 200 * time.Millisecond
	// overtakes is how often in a row a peer must be sooner than the direct way until
	// that counts as failed: a single one tells little on a busy node.
	overtakes = 2
	// slowestLink is the rate at which a request is expected to leave at least, in
	// bytes a second.
	slowestLink = 1 << 20
	// answerWeight is the weight of a new answer in the usual answer time, slowerWeight
	// that of one that took longer: a service that turns slow is noticed at once.
	answerWeight = 0.2
	slowerWeight = 0.7
	// outageWindow is how long a failure of all ways counts, backWindow how long
	// the outage counts after its end: the owner's next beat takes half a second.
	outageWindow = 3 * time.Second
	backWindow   = time.Second
)

// Detour is a Doer that goes through peers while the direct way fails. It is
// safe for concurrent use.
type Detour struct {
	direct Doer
	peers  Peers
	clock  clock.Service

	mu sync.Mutex
	// directAt is when the direct way may be tried again; zero while it serves.
	directAt time.Time
	// overtaken counts how often in a row a peer was sooner than the direct way.
	overtaken int
	// lastPeer is the peer by which a request was served last.
	lastPeer string
	// answerTime is how long the service usually takes.
	answerTime time.Duration
	// failedAt is when all ways failed last, servedAt when one worked last, and
	// backAt when one worked again after all had failed.
	failedAt, servedAt, backAt time.Time
}

// New returns a Detour.
func New(direct Doer, peers Peers, c clock.Service) *Detour {
	return &Detour{direct: direct, peers: peers, clock: c}
}

// HasOutage reports whether this node and most others reach each other and none
// of those that were tried reaches the service, or did so until just now.
func (d *Detour) HasOutage() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	isOut := d.failedAt.After(d.servedAt) && now.Sub(d.failedAt) < outageWindow
	return (isOut || now.Sub(d.backAt) < backWindow) && d.peers.IsMajority()
}

// Do sends the request directly, and through peers when that fails or takes
// longer than usual while nothing moves: the same bytes through a peer would only
// fill the link of this node. The first answer of a service that took it counts.
func (d *Detour) Do(ctx context.Context, r *Request) (*Response, error) {
	ctx, cancel := progress.With(ctx, d.timeout()+r.Wait)
	defer cancel()
	return newSearch(ctx, d, r).run()
}

// hedge returns how long a way may take for a request until the next one is tried
// beside it.
func (d *Detour) hedge(r *Request) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	sending := time.Duration(len(r.Body)) * time.Second / slowestLink
	return min(max(hedgeRatio*d.answerTime, shortestHedge)+sending, longestHedge) + r.Wait
}

// stages returns the ways in the order in which they are tried.
func (d *Detour) stages() [][]string {
	names := d.peers.Sample(sampleSize)
	d.mu.Lock()
	defer d.mu.Unlock()
	out := [][]string{}
	if !d.clock.Now().Before(d.directAt) {
		out = append(out, []string{direct})
	}
	if i := slices.Index(names, d.lastPeer); i > 0 {
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
func (d *Detour) noteServed(t *try, wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if d.failedAt.After(d.servedAt) {
		d.backAt = now
	}
	d.servedAt = now
	if t.way == direct {
		d.directAt = time.Time{}
		d.overtaken = 0
	} else {
		d.lastPeer = t.way
	}
	if wait == 0 {
		d.learn(now.Sub(t.began))
	}
}

// Observe takes how long the service took to answer a request that went around the
// Detour.
func (d *Detour) Observe(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learn(took)
}

// learn takes an answer time. The caller holds mu.
func (d *Detour) learn(took time.Duration) {
	weight := answerWeight
	if took > d.answerTime {
		weight = slowerWeight
	}
	d.answerTime += time.Duration(weight * float64(took-d.answerTime))
}

// timeout returns how long nothing may move.
func (d *Detour) timeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(max(timeoutRatio*d.answerTime, shortestTimeout), longestTimeout)
}

// noteOvertaken notes that a peer was sooner than the direct way.
func (d *Detour) noteOvertaken() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.overtaken++; d.overtaken >= overtakes {
		d.directAt = d.clock.Now().Add(directPause)
	}
}

// noteDirectFailed leaves the direct way alone for a while.
func (d *Detour) noteDirectFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directAt = d.clock.Now().Add(directPause)
}

// noteAllFailed notes that no way worked.
func (d *Detour) noteAllFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failedAt = d.clock.Now()
}
