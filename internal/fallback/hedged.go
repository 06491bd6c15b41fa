// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package fallback

import (
	"context"
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke/internal/progress"
)

// directPath is the name of the path that uses no peer.
const directPath = ""

// attempt is a request on one path, with its result.
type attempt struct {
	path      string
	startedAt time.Time
	response  *Response
	err       error
}

func (t *attempt) isServed() bool { return t.err == nil && t.response.isServed() }

// isUncertain reports whether the request may have been executed or may still be.
func (t *attempt) isUncertain() bool {
	if t.err == nil {
		return false
	}
	_, isUnsent := t.err.(*UnsentError)
	return !isUnsent
}

// hedgedRequest sends one request on one path after the other, in parallel once the hedge delay has
// passed, until one attempt is served. It is used by a single goroutine.
type hedgedRequest struct {
	ctx     context.Context
	client  *Client
	request *Request
	// stages are the paths not tried yet.
	stages [][]string
	// results receives the finished attempts. Its buffer holds all possible attempts, so that
	// sending never blocks.
	results chan *attempt
	// inFlight counts the attempts without a result, and directInFlight those of them on the direct
	// path.
	inFlight, directInFlight int
	failedAttempts           []*attempt
	// movedBytes is the number of bytes that had moved when hasProgressed was called last.
	movedBytes int64
}

// maxAttempts bounds the attempts of one request: one on each path, and a retry on the direct path
// each retryInterval.
const maxAttempts = 64

func newHedgedRequest(ctx context.Context, d *Client, r *Request) *hedgedRequest {
	return &hedgedRequest{ctx: ctx, client: d, request: r, stages: d.stages(), results: make(chan *attempt, maxAttempts)}
}

func (s *hedgedRequest) run() (*Response, error) {
	delay := s.client.hedgeDelay(s.request)
	s.startNextStage()
	timer := s.client.clock.After(delay)
	for s.inFlight > 0 {
		select {
		case t := <-s.results:
			if s.handleResult(t) {
				return t.response, nil
			}
			if s.inFlight == 0 && len(s.stages) > 0 {
				s.startNextStage()
			}
		case <-timer:
			if len(s.stages) == 0 {
				delay = retryInterval
			}
			if !s.hasProgressed() {
				s.startNextStage()
			}
			timer = s.client.clock.After(delay)
		}
	}
	s.client.recordAllFailed()
	return finalResult(s.failedAttempts)
}

// hasProgressed reports whether bytes of the request or of an answer have moved since the previous
// call.
func (s *hedgedRequest) hasProgressed() bool {
	before := s.movedBytes
	s.movedBytes = progress.Bytes(s.ctx)
	return s.movedBytes > before
}

// handleResult processes a finished attempt and reports whether it was served. If a peer served the
// request while an attempt on the direct path has no result, the peer has overtaken the direct
// path, although it began later.
func (s *hedgedRequest) handleResult(t *attempt) bool {
	s.inFlight--
	if t.path == directPath {
		s.directInFlight--
	}
	if !t.isServed() {
		s.failedAttempts = append(s.failedAttempts, t)
		if t.path == directPath {
			s.client.recordDirectFailed()
		}
		return false
	}
	s.client.recordServed(t, s.request.Wait)
	if s.directInFlight > 0 && t.path != directPath {
		s.client.recordOvertaken()
	}
	return true
}

// startNextStage starts attempts on the paths of the next stage, or on the direct path again when
// all paths have been tried.
func (s *hedgedRequest) startNextStage() {
	if s.ctx.Err() != nil || len(s.failedAttempts)+s.inFlight+peerSampleSize >= maxAttempts {
		return
	}
	if len(s.stages) == 0 {
		s.start(directPath)
		return
	}
	for _, path := range s.stages[0] {
		s.start(path)
	}
	s.stages = s.stages[1:]
}

func (s *hedgedRequest) start(path string) {
	s.inFlight++
	if path == directPath {
		s.directInFlight++
	}
	go s.runAttempt(path)
}

// runAttempt sends the request on one path.
func (s *hedgedRequest) runAttempt(path string) {
	t := &attempt{path: path, startedAt: s.client.clock.Now()}
	if path == directPath {
		t.response, t.err = s.client.direct.Do(s.ctx, s.request)
	} else {
		t.response, t.err = s.client.peers.Via(s.ctx, path, s.request)
	}
	s.results <- t
}

// finalResult returns the result when no attempt was served. If any attempt is uncertain, its error
// is returned, as the request may have been executed. Otherwise a rejection by the service takes
// precedence over an error.
func finalResult(attempts []*attempt) (*Response, error) {
	for _, t := range attempts {
		if t.isUncertain() {
			return nil, t.err
		}
	}
	for _, t := range attempts {
		if t.err == nil {
			return t.response, nil
		}
	}
	if len(attempts) > 0 {
		return nil, attempts[0].err
	}
	return nil, &UnsentError{fmt.Errorf("no path to the service is available")}
}
