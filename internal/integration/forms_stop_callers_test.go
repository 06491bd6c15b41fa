// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// stopCaller is a caller of one kind. It connects to a node also while that stops.
type stopCaller struct {
	formCaller
	site         *site.Site
	number, jobs int
	lastID       string
}

// stopCallers are the kinds of callers. Each sends one request, or several at once, and reads the answers.
var stopCallers = []func(c *stopCaller){
	(*stopCaller).sendOnNewConnection,
	(*stopCaller).sendOnIdleConnection,
	(*stopCaller).sendInParts,
	(*stopCaller).sendLargeBody,
	(*stopCaller).sendExpectedBody,
	(*stopCaller).sendAhead,
	(*stopCaller).sendAndHalfClose,
	(*stopCaller).sendCancel,
	(*stopCaller).sendQueries,
	(*stopCaller).sendWithoutPause,
}

func (c *stopCaller) run(ctx context.Context, send func(c *stopCaller)) {
	defer c.disconnect()
	for ctx.Err() == nil {
		send(c)
		pause(ctx, time.Duration(c.rng.IntN(5))*time.Millisecond)
	}
}

// connect opens a connection to a random node if there is none.
func (c *stopCaller) connect() bool {
	if c.conn != nil {
		return true
	}
	c.node = c.nodes[c.rng.IntN(len(c.nodes))]
	conn, err := net.DialTimeout("tcp", c.node.Callers, callTimeout)
	if err != nil {
		return false
	}
	c.conn, c.answers = conn, bufio.NewReader(conn)
	return true
}

// submission returns the method, the path and the body of a new job.
func (c *stopCaller) submission() (string, string, []byte) {
	c.jobs++
	id := fmt.Sprintf("b%07x%08x", c.number, c.jobs)
	body, err := json.Marshal(map[string]any{"spec": "", "steps": []jobStep{smallStep(1, 50)}})
	if err != nil || c.site.RegisterJob(id, body) != nil {
		return http.MethodGet, site.QueuePrefix + id, nil
	}
	c.lastID = id
	return http.MethodPost, site.QueuePrefix + id, body
}

// text returns a request as text. Its header lines may be empty.
func text(method, path, lines string, body []byte) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n%s", method, path, site.QueueHost, lines, len(body), body)
}

// write sends a part of a request. It reports whether the connection took it.
func (c *stopCaller) write(part string) bool {
	_ = c.conn.SetDeadline(time.Now().Add(2 * callTimeout))
	if _, err := io.WriteString(c.conn, part); err != nil {
		c.disconnect()
		return false
	}
	return true
}

// read reads the answer to a request whose last byte was sent at a time, and returns its status, 0 if there was none.
func (c *stopCaller) read(method string, sent time.Time) int {
	c.calls.requests.Add(1)
	_ = c.conn.SetDeadline(time.Now().Add(2 * callTimeout))
	status, _, isOpen, err := readAnswer(c.answers)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.calls.unanswered.Add(1)
	case err != nil:
		c.calls.addCut(fmt.Sprintf("%d %s", c.number, method), c.node.Name, time.Since(sent), err)
	case method == http.MethodPost && status == http.StatusOK:
		c.site.RecordAccepted(c.lastID)
		c.calls.accept(c.lastID)
	case status/100 == 5:
		c.calls.refused.Add(1)
	}
	if err != nil || !isOpen {
		c.disconnect()
	}
	return status
}

// send sends a request at once and reads its answer.
func (c *stopCaller) send(method, path, lines string, body []byte) {
	if c.connect() && c.write(text(method, path, lines, body)) {
		c.read(method, time.Now())
	}
}

func (c *stopCaller) sendOnNewConnection() {
	method, path, body := c.submission()
	c.send(method, path, "", body)
	c.disconnect()
}

// sendOnIdleConnection sends on an open connection after a pause of up to 1 s.
func (c *stopCaller) sendOnIdleConnection() {
	time.Sleep(time.Duration(c.rng.IntN(1000)) * time.Millisecond)
	method, path, body := c.submission()
	c.send(method, path, "", body)
}

// sendWithoutPause queries again and again on an open connection.
func (c *stopCaller) sendWithoutPause() { c.send(http.MethodGet, site.QueuePrefix, "", nil) }

// sendInParts sends a submission in parts over 0.2 to 2 s.
func (c *stopCaller) sendInParts() {
	method, path, body := c.submission()
	c.sendParts(method, text(method, path, "", body))
}

func (c *stopCaller) sendParts(method, request string) {
	parts := 2 + c.rng.IntN(5)
	d := time.Duration(200+c.rng.IntN(1800)) * time.Millisecond / time.Duration(parts-1)
	if !c.connect() {
		return
	}
	for i := range parts {
		if i > 0 {
			time.Sleep(d)
		}
		if !c.write(request[i*len(request)/parts : (i+1)*len(request)/parts]) {
			return
		}
	}
	c.read(method, time.Now())
}

// sendLargeBody sends a submission of 200 kB, which is refused, at once or in parts.
func (c *stopCaller) sendLargeBody() {
	request := text(http.MethodPost, fmt.Sprintf("%sc%07x%08x", site.QueuePrefix, c.number, 0), "", []byte(`{"spec":"`+strings.Repeat("x", 200_000)+`"}`))
	if c.rng.IntN(2) == 0 {
		c.sendParts(http.MethodPost+" large", request)
	} else if c.connect() && c.write(request) {
		c.read(http.MethodPost+" large", time.Now())
	}
}

// sendExpectedBody sends the body after it was told to.
func (c *stopCaller) sendExpectedBody() {
	method, path, body := c.submission()
	headers, _, _ := strings.Cut(text(method, path, "Expect: 100-continue\r\n", body), "\r\n\r\n")
	if !c.connect() || !c.write(headers+"\r\n\r\n") {
		return
	}
	sent := time.Now()
	line, err := c.answers.Peek(len("HTTP/1.1 100"))
	if err == nil && string(line) == "HTTP/1.1 100" {
		for end := ""; err == nil && end != "\r\n"; {
			end, err = c.answers.ReadString('\n')
		}
		if err != nil || !c.write(string(body)) {
			c.disconnect()
			return
		}
		sent = time.Now()
	}
	c.read(method, sent)
}

// sendAhead sends four requests at once.
func (c *stopCaller) sendAhead() {
	requests := ""
	for range 4 {
		requests += text(http.MethodGet, site.QueuePrefix+"00000000000000ff", "", nil)
	}
	if !c.connect() || !c.write(requests) {
		return
	}
	sent := time.Now()
	for range 4 {
		if c.read(http.MethodGet+" ahead", sent); c.conn == nil {
			return
		}
	}
}

// sendAndHalfClose closes the sending direction behind its request.
func (c *stopCaller) sendAndHalfClose() {
	method, path, body := c.submission()
	if !c.connect() || !c.write(text(method, path, "", body)) {
		return
	}
	sent := time.Now()
	if half, ok := c.conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	c.read(method, sent)
	c.disconnect()
}

// sendCancel submits a job and cancels it.
func (c *stopCaller) sendCancel() {
	method, path, body := c.submission()
	c.send(method, path, "", body)
	if c.connect() && c.write(text(http.MethodDelete, path, "", nil)) && c.read(http.MethodDelete, time.Now()) == http.StatusOK {
		c.site.RecordCancel(c.lastID)
	}
}

// sendQueries asks for the state of jobs.
func (c *stopCaller) sendQueries() {
	c.send(http.MethodGet, fmt.Sprintf("%sb%07x%08x", site.QueuePrefix, c.rng.IntN(2), 1+c.rng.IntN(5)), "X-Deadline-Ms: 10000\r\n", nil)
}
