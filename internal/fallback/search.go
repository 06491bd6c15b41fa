// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package fallback

import (
	"context"
	"fmt"
	"time"

	"github.com/leverdyke/leverdyke/internal/progress"
)

// direct is the name of the way that goes through no peer.
const direct = ""

// try is a request on one way, with what became of it.
type try struct {
	way      string
	began    time.Time
	response *Response
	err      error
}

func (t *try) isServed() bool { return t.err == nil && t.response.isServed() }

// isOpen reports whether the request may have been or may be carried out.
func (t *try) isOpen() bool {
	if t.err == nil {
		return false
	}
	_, isUnsent := t.err.(*UnsentError)
	return !isUnsent
}

// search sends one request by one way after the other until one is served. One
// goroutine uses it.
type search struct {
	ctx     context.Context
	detour  *Detour
	request *Request
	// stages are the ways that were not tried yet.
	stages [][]string
	// results has the tries that are over; it never blocks, as it has room for all.
	results chan *try
	// open counts the tries that are not over, openDirect those of the direct way.
	open, openDirect int
	failed           []*try
	// moved is how many bytes had moved when ways were tried last.
	moved int64
}

// maxTries bounds the tries of one request: each way once, and the direct way
// again each againPause.
const maxTries = 64

func newSearch(ctx context.Context, d *Detour, r *Request) *search {
	return &search{ctx: ctx, detour: d, request: r, stages: d.stages(), results: make(chan *try, maxTries)}
}

func (s *search) run() (*Response, error) {
	pause := s.detour.hedge(s.request)
	s.next()
	timer := s.detour.clock.After(pause)
	for s.open > 0 {
		select {
		case t := <-s.results:
			if s.take(t) {
				return t.response, nil
			}
			if s.open == 0 && len(s.stages) > 0 {
				s.next()
			}
		case <-timer:
			if len(s.stages) == 0 {
				pause = againPause
			}
			if !s.hasMoved() {
				s.next()
			}
			timer = s.detour.clock.After(pause)
		}
	}
	s.detour.noteAllFailed()
	return verdict(s.failed)
}

// hasMoved reports whether bytes of the request or of an answer have moved since
// it was asked last.
func (s *search) hasMoved() bool {
	before := s.moved
	s.moved = progress.Bytes(s.ctx)
	return s.moved > before
}

// take notes how a try ended and reports whether it was served. A direct way that
// is still without an answer then has been overtaken by a peer that began later.
func (s *search) take(t *try) bool {
	s.open--
	if t.way == direct {
		s.openDirect--
	}
	if !t.isServed() {
		s.failed = append(s.failed, t)
		if t.way == direct {
			s.detour.noteDirectFailed()
		}
		return false
	}
	s.detour.noteServed(t, s.request.Wait)
	if s.openDirect > 0 && t.way != direct {
		s.detour.noteOvertaken()
	}
	return true
}

// next tries the ways of the next stage, or the direct way again when all have
// been tried.
func (s *search) next() {
	if s.ctx.Err() != nil || len(s.failed)+s.open+sampleSize >= maxTries {
		return
	}
	if len(s.stages) == 0 {
		s.begin(direct)
		return
	}
	for _, way := range s.stages[0] {
		s.begin(way)
	}
	s.stages = s.stages[1:]
}

func (s *search) begin(way string) {
	s.open++
	if way == direct {
		s.openDirect++
	}
	go s.runTry(way)
}

// runTry does one try.
func (s *search) runTry(way string) {
	t := &try{way: way, began: s.detour.clock.Now()}
	if way == direct {
		t.response, t.err = s.detour.direct.Do(s.ctx, s.request)
	} else {
		t.response, t.err = s.detour.peers.Via(s.ctx, way, s.request)
	}
	s.results <- t
}

// verdict returns the answer when no way worked: open if any try is.
func verdict(tried []*try) (*Response, error) {
	for _, t := range tried {
		if t.isOpen() {
			return nil, t.err
		}
	}
	for _, t := range tried {
		if t.err == nil {
			return t.response, nil
		}
	}
	if len(tried) > 0 {
		return nil, tried[0].err
	}
	return nil, &UnsentError{fmt.Errorf("no way to the service is open")}
}
