// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package crowd_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	// crowdSize is how many callers a crowd has.
	crowdSize = 400
	// finishing is the share of a crowd's callers that send their body to its end: each eighth.
	finishing = 8
	// bodyBytes is the largest body that the configuration allows.
	bodyBytes  = 262_144
	pieceBytes = 16 << 10
)

// misbehaving is one caller of a crowd.
type misbehaving struct {
	// id is the job that it submits.
	id string
	// pieces is what it sends, one piece after the other.
	pieces [][]byte
	conn   net.Conn
	// status is that of the answer; 0 if there was none.
	status int
	// answer is the body of the answer.
	answer string
}

// crowd is a number of misbehaving callers at one node.
type crowd struct {
	node    *node
	callers []*misbehaving
	// sent is done when each caller has sent its request or found its connection closed; ended when
	// each has been answered or found its connection closed.
	sent, ended sync.WaitGroup
}

// newCrowd lets callers connect to a node, all at once, and send what they have.
func newCrowd(n *node, callers []*misbehaving) *crowd {
	c := &crowd{node: n, callers: callers}
	n.t.Cleanup(c.close)
	for _, m := range callers {
		conn, err := net.Dial("tcp", n.Callers)
		if err != nil {
			n.t.Fatal(err)
		}
		m.conn = conn
	}
	c.sent.Add(len(callers))
	for _, m := range callers {
		c.ended.Go(func() { c.runCaller(m) })
	}
	return c
}

// runCaller sends a caller's request and keeps the connection open until the node answers or closes it.
func (c *crowd) runCaller(m *misbehaving) {
	for _, p := range m.pieces {
		if _, err := m.conn.Write(p); err != nil {
			break
		}
	}
	c.sent.Done()
	if res, err := http.ReadResponse(bufio.NewReader(m.conn), nil); err == nil {
		m.status = res.StatusCode
		text, _ := io.ReadAll(res.Body)
		m.answer = string(text)
		_ = res.Body.Close()
	}
}

// close ends the callers that are still connected.
func (c *crowd) close() {
	for _, m := range c.callers {
		if m.conn != nil {
			_ = m.conn.Close()
		}
	}
	c.ended.Wait()
}

// awaitSent waits until all callers have sent their requests or have been refused.
func (c *crowd) awaitSent() { c.await("the crowd has sent its requests", &c.sent) }

// awaitEnd waits until the node has answered all callers or closed their connections.
func (c *crowd) awaitEnd() { c.await("the node has answered the crowd", &c.ended) }

func (c *crowd) await(what string, wg *sync.WaitGroup) {
	c.node.t.Helper()
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-c.node.Done():
		c.node.t.Fatalf("%s: the process has ended:\n%s", what, c.node.Log())
	case <-time.After(waitTimeout):
		c.node.t.Fatalf("%s: not met within %v", what, waitTimeout)
	}
}

// checkAnswers checks that jobs that were accepted succeed, and that none that was refused has started.
func (c *crowd) checkAnswers() {
	c.node.t.Helper()
	answers := map[int]int{}
	for _, m := range c.callers {
		answers[m.status]++
		switch m.status {
		case http.StatusOK:
			c.node.awaitSuccess(m.id)
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if c.node.site.HasStarted(m.id) {
				c.node.t.Errorf("job %s: got: started, want: never, as it was answered %d", m.id, m.status)
			}
		}
	}
	c.node.t.Logf("answers by status: %v", answers)
}

// encoding returns the header line that says how a body is sent, and the body's bytes in the pieces in
// which they are sent. Unless isWhole, the last byte or the end of the chunks is missing.
type encoding func(body []byte, isWhole bool) (header string, pieces [][]byte)

// withLength sends a body of known length in pieces of at most n bytes.
func withLength(n int) encoding {
	return func(body []byte, isWhole bool) (string, [][]byte) {
		header, pieces := fmt.Sprintf("Content-Length: %d\r\n", len(body)), [][]byte{}
		if !isWhole {
			body = body[:len(body)-1]
		}
		for len(body) > 0 {
			k := min(n, len(body))
			pieces, body = append(pieces, body[:k]), body[k:]
		}
		return header, pieces
	}
}

// inChunks sends a body in chunks of n bytes.
func inChunks(n int) encoding {
	return func(body []byte, isWhole bool) (string, [][]byte) {
		buf := []byte{}
		for len(body) > 0 {
			k := min(n, len(body))
			buf = strconv.AppendInt(buf, int64(k), 16)
			buf = append(buf, "\r\n"...)
			buf = append(buf, body[:k]...)
			buf = append(buf, "\r\n"...)
			body = body[k:]
		}
		if isWhole {
			buf = append(buf, "0\r\n\r\n"...)
		}
		return "Transfer-Encoding: chunked\r\n", [][]byte{buf}
	}
}

// padded returns the body of a job with spaces before its end, so that it has the largest size that
// is allowed.
func padded(body []byte) []byte {
	end := len(body) - 1
	return append(append(bytes.Clone(body[:end]), strings.Repeat(" ", bodyBytes-len(body))...), body[end])
}

// newRequest returns the pieces of a request with a job, whose body is encoded as header and pieces.
func newRequest(id, header string, pieces [][]byte) [][]byte {
	head := "POST " + site.QueuePrefix + id + " HTTP/1.1\r\nHost: " + site.QueueHost + "\r\nContent-Type: application/json\r\n" + header + "\r\n"
	return append([][]byte{[]byte(head)}, pieces...)
}

// largeBodies returns callers of which most stop just short of the end of a body of the largest size,
// and the others send it whole.
func largeBodies(n *node, encode encoding) []*misbehaving {
	body := padded(jobBody)
	header, pieces := encode(body, false)
	_, whole := encode(body, true)
	callers := make([]*misbehaving, crowdSize)
	for i := range callers {
		id := n.newJob()
		callers[i] = &misbehaving{id: id, pieces: newRequest(id, header, pieces)}
		if i%finishing == 0 {
			callers[i].pieces = newRequest(id, header, whole)
		}
	}
	return callers
}

// playLargeBodies sends a crowd of large bodies to a node and checks the node's limits.
func playLargeBodies(t *testing.T, encode encoding) {
	n := newNode(t)
	n.mustServe()
	t.Logf("peak before the crowd: %d MB", n.peakMemoryMb())
	c := newCrowd(n, largeBodies(n, encode))
	c.awaitSent()
	n.mustServe()
	c.awaitEnd()
	c.checkAnswers()
	n.checkLimits()
}

func TestCrowdOfWholeBodiesStaysWithinLimits(t *testing.T) { playLargeBodies(t, withLength(bodyBytes)) }

func TestCrowdOfBodiesInPiecesStaysWithinLimits(t *testing.T) {
	playLargeBodies(t, withLength(pieceBytes))
}

func TestCrowdOfLargeChunksStaysWithinLimits(t *testing.T) { playLargeBodies(t, inChunks(bodyBytes)) }

func TestCrowdOfTinyChunksStaysWithinLimits(t *testing.T) { playLargeBodies(t, inChunks(1)) }

// playRequests lets a crowd send requests that never end to a node and checks the node's limits.
func playRequests(t *testing.T, pieces ...[]byte) {
	n := newNode(t)
	n.mustServe()
	callers := make([]*misbehaving, crowdSize)
	for i := range callers {
		callers[i] = &misbehaving{pieces: pieces}
	}
	c := newCrowd(n, callers)
	c.awaitSent()
	n.mustServe()
	c.awaitEnd()
	n.checkLimits()
}

// Callers that connect and send nothing.
func TestCrowdOfIdleConnectionsStaysWithinLimits(t *testing.T) { playRequests(t) }

// Callers whose headers, as many as fit into the limit, do not end.
func TestCrowdOfUnfinishedHeadersStaysWithinLimits(t *testing.T) {
	const headerBytes = 16 << 10
	header := "A: b\r\n"
	playRequests(t, []byte("POST "+site.QueuePrefix+" HTTP/1.1\r\nHost: "+site.QueueHost+"\r\n"+strings.Repeat(header, headerBytes/len(header))))
}

// Complete bodies of legal size, with as many empty steps as fit into them.
func TestCrowdOfEmptyStepsStaysWithinLimits(t *testing.T) {
	const callerCount = 50
	n := newNode(t)
	n.mustServe()
	start, end := `{"steps":[{}`, `]}`
	steps := (bodyBytes - len(start) - len(end)) / len(`,{}`)
	body := []byte(start + strings.Repeat(`,{}`, steps) + end)
	callers := make([]*misbehaving, callerCount)
	header, pieces := withLength(bodyBytes)(body, true)
	for i := range callers {
		id := fmt.Sprintf("f%015x", i)
		callers[i] = &misbehaving{id: id, pieces: newRequest(id, header, pieces)}
	}
	c := newCrowd(n, callers)
	c.awaitSent()
	n.mustServe()
	c.awaitEnd()
	for _, m := range callers {
		if m.status == http.StatusOK {
			t.Errorf("job with %d empty steps: got: 200, want: a refusal", steps+1)
		}
	}
	n.checkLimits()
}
