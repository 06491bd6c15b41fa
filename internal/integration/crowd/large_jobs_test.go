// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package crowd_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
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

// Jobs of about the largest size that is accepted, which can never run and stay until they are
// cancelled. Several crowds of them come one after the other.
func TestCrowdsOfJobsThatStayStayWithinLimits(t *testing.T) {
	const (
		crowdCount = 4
		stepCount  = 256
	)
	name := strings.Repeat("n", 128)
	steps, earlier := make([]string, stepCount), make([]string, stepCount)
	for i := range steps {
		earlier[i] = fmt.Sprint(i)
		steps[i] = fmt.Sprintf(`{"count":1,"cpu":10,"memMb":1,"estimatedMs":10,"requirements":%q,"image":%q,"dependsOn":[%s]}`, name, name, strings.Join(earlier[:i], ","))
	}
	body := []byte(`{"steps":[` + strings.Join(steps, ",") + `]}`)
	header, pieces := withLength(bodyBytes)(body, true)
	n := newNode(t)
	n.mustServe()
	answers := map[int]int{}
	for i := range crowdCount {
		callers := make([]*misbehaving, crowdSize)
		for k := range callers {
			callers[k] = &misbehaving{pieces: newRequest(fmt.Sprintf("f%07x%08x", i, k), header, pieces)}
		}
		c := newCrowd(n, callers)
		c.awaitSent()
		n.mustServe()
		c.awaitEnd()
		for _, m := range callers {
			answers[m.status]++
			if m.status == http.StatusBadRequest {
				t.Errorf("job of legal size: got: 400 %s, want: accepted or not taken", m.answer)
			}
		}
	}
	t.Logf("answers by status: %v", answers)
	if answers[http.StatusOK] == 0 {
		t.Errorf("accepted jobs: got: 0, want: some")
	}
	n.checkLimits()
}
