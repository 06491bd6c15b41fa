// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package crowd_test

import (
	"bytes"
	"testing"
)

// Complete bodies of legal size whose text is part of the job.
func TestCrowdOfLargeJobsStaysWithinLimits(t *testing.T) {
	n := newNode(t)
	n.mustServe()
	body := bytes.Replace(jobBody, []byte(`"count"`), []byte(`"image":"`+string(bytes.Repeat([]byte("x"), bodyBytes-len(jobBody)-11))+`","count"`), 1)
	header, pieces := withLength(bodyBytes)(body, true)
	callers := make([]*misbehaving, crowdSize)
	for i := range callers {
		id := n.newJob()
		callers[i] = &misbehaving{id: id, pieces: newRequest(id, header, pieces)}
	}
	c := newCrowd(n, callers)
	c.awaitSent()
	n.mustServe()
	c.awaitEnd()
	c.checkAnswers()
	n.checkLimits()
}
