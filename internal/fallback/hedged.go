// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package fallback

import (
	"context"
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke/internal/progress"
)

// directPath is the name of the way that goes through no peer.
const directPath = ""

// attempt is a request on one way, with what became of it.
type attempt struct {
	path      string
	startedAt time.Time
	response  *Response
	err       error
}

func (t *attempt) isServed() bool { return t.err == nil && t.response.isServed() }

// isUncertain reports whether the request may have been or may be carried out.
func (t *attempt) isUncertain() bool {
	if t.err == nil {
		return false
	}
	_, isUnsent := t.err.(*UnsentError)
	return !isUnsent
}

// hedgedRequest sends one request by one way after the other until one is served. One
// goroutine uses it.
type hedgedRequest struct {
	ctx     context.Context
	client  *Client
	request *Request
	// stages are the ways that were not tried yet.
	stages [][]string
	// results has the tries that are over; it never blocks, as it has room for all.
	results chan *attempt
	// inFlight counts the tries that are not over, directInFlight those of the direct way.
	inFlight, directInFlight int
	failedAttempts           []*attempt
	// movedBytes is how many bytes had movedBytes when ways were tried last.
	movedBytes int64
}

// maxAttempts bounds the tries of one request: each way once, and the direct way
// again each againPause.
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
	s.client.noteAllFailed()
	return finalResult(s.failedAttempts)
}

// hasProgressed reports whether bytes of the request or of an answer have moved since
// it was asked last.
func (s *hedgedRequest) hasProgressed() bool {
	before := s.movedBytes
	s.movedBytes = progress.Bytes(s.ctx)
	return s.movedBytes > before
}

// handleResult notes how a try ended and reports whether it was served. A direct way that
// is still without an answer then has been overtaken by a peer that began later.
func (s *hedgedRequest) handleResult(t *attempt) bool {
	s.inFlight--
	if t.path == directPath {
		s.directInFlight--
	}
	if !t.isServed() {
		s.failedAttempts = append(s.failedAttempts, t)
		if t.path == directPath {
			s.client.noteDirectFailed()
		}
		return false
	}
	s.client.noteServed(t, s.request.Wait)
	if s.directInFlight > 0 && t.path != directPath {
		s.client.noteOvertaken()
	}
	return true
}

// startNextStage tries the ways of the startNextStage stage, or the direct way again when all have
// been tried.
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

// runAttempt does one try.
func (s *hedgedRequest) runAttempt(path string) {
	t := &attempt{path: path, startedAt: s.client.clock.Now()}
	if path == directPath {
		t.response, t.err = s.client.direct.Do(s.ctx, s.request)
	} else {
		t.response, t.err = s.client.peers.Via(s.ctx, path, s.request)
	}
	s.results <- t
}

// finalResult returns the answer when no way worked: open if any try is.
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
	return nil, &UnsentError{fmt.Errorf("no way to the service is open")}
}
