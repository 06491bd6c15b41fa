// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package detour reaches a service through peers when it turns this node away
// and serves others.
package detour

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/clock"
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
func (r *Response) isServed() bool {
	return r.Status != http.StatusServiceUnavailable && r.Status != http.StatusTooManyRequests
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
	// tryTimeout bounds one way: a slow store takes 0.4 s.
	tryTimeout = 700 * time.Millisecond
	// directPause is how long the direct way is left alone after it failed.
	directPause = 800 * time.Millisecond
	// sampleSize is how many peers are tried at once.
	sampleSize = 6
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
	// directAt is when the direct way may be tried again.
	directAt time.Time
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

// attempt is what became of one way.
type attempt struct {
	response *Response
	err      error
}

func (a attempt) isServed() bool { return a.err == nil && a.response.isServed() }

// isOpen reports whether the request may have been or may be carried out.
func (a attempt) isOpen() bool {
	if a.err == nil {
		return false
	}
	_, isUnsent := a.err.(*UnsentError)
	return !isUnsent
}

// Do sends the request directly, or through peers when that fails.
func (d *Detour) Do(ctx context.Context, r *Request) (*Response, error) {
	tried := []attempt{}
	if d.isDirectDue() {
		a := try(ctx, r, d.direct.Do)
		if a.isServed() {
			d.note(true, true)
			return a.response, nil
		}
		d.note(false, true)
		tried = append(tried, a)
	}
	found, more := d.viaPeers(ctx, r)
	if found != nil {
		d.note(true, false)
		return found.response, nil
	}
	d.note(false, false)
	tried = append(tried, more...)
	return verdict(tried)
}

// verdict returns the answer when no way worked: open if any try is.
func verdict(tried []attempt) (*Response, error) {
	for _, a := range tried {
		if a.isOpen() {
			return nil, a.err
		}
	}
	for _, a := range tried {
		if a.err == nil {
			return a.response, nil
		}
	}
	if len(tried) > 0 {
		return nil, tried[0].err
	}
	return nil, &UnsentError{fmt.Errorf("no way to the service is open")}
}

func try(ctx context.Context, r *Request, do func(context.Context, *Request) (*Response, error)) attempt {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout+r.Wait)
	defer cancel()
	response, err := do(ctx, r)
	return attempt{response, err}
}

// viaPeers tries a few peers at once and returns the first that is served.
func (d *Detour) viaPeers(ctx context.Context, r *Request) (*attempt, []attempt) {
	names := d.peers.Sample(sampleSize)
	results := make(chan attempt, len(names))
	for _, name := range names {
		go d.runVia(ctx, name, r, results)
	}
	failed := make([]attempt, 0, len(names))
	for range names {
		a := <-results
		if a.isServed() {
			return &a, nil
		}
		failed = append(failed, a)
	}
	return nil, failed
}

func (d *Detour) runVia(ctx context.Context, peer string, r *Request, results chan<- attempt) {
	results <- try(ctx, r, func(ctx context.Context, r *Request) (*Response, error) { return d.peers.Via(ctx, peer, r) })
}

func (d *Detour) isDirectDue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.clock.Now().Before(d.directAt)
}

func (d *Detour) note(isServed, isDirect bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	switch {
	case isServed:
		if d.failedAt.After(d.servedAt) {
			d.backAt = now
		}
		d.servedAt = now
	case isDirect:
		d.directAt = now.Add(directPause)
	default:
		d.failedAt = now
	}
}
