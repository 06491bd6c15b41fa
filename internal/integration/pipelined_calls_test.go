// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/leverdyke/leverdyke/internal/standin"
	"github.com/leverdyke/leverdyke/internal/standin/native"
	"github.com/leverdyke/leverdyke/internal/standin/site"
)

// Guards against requests that a node has read whole and never answers, because the answer before them closes the
// connection of a node that stops.
func TestSiteStoppingNodeAnswersPipelinedRequests(t *testing.T) {
	c := newSiteCluster(t, 3, site.Options{})
	n := c.follower()
	conn, err := net.Dial("tcp", n.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	c.Store.SetMode(site.StoreSilent)
	if _, err := io.WriteString(conn, c.submission("00000000000000a1")+c.submission("00000000000000a2")); err != nil {
		t.Fatal(err)
	}
	c.signal(n, syscall.SIGTERM)
	c.await("the node stops", func() bool { return !n.IsReady(t.Context()) })
	c.Store.SetMode(site.StoreUp)
	answers := bufio.NewReader(conn)
	for i := range 2 {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("answer to request %d of 2: got: %v, want: a complete answer", i+1, err)
		}
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatalf("answer to request %d of 2: got: %v, want: a complete answer", i+1, err)
		}
	}
}

// submission returns the request that submits a job of one small task, as it is sent over a connection.
func (c *siteCluster) submission(id string) string {
	c.t.Helper()
	const body = `{"spec":"","steps":[{"count":1,"cpu":500,"memMb":200,"estimatedMs":100}]}`
	if err := c.RegisterJob(id, []byte(body)); err != nil {
		c.t.Fatal(err)
	}
	return strings.Join([]string{
		"POST " + site.QueuePrefix + id + " HTTP/1.1", "Host: " + site.QueueHost, fmt.Sprintf("Content-Length: %d", len(body)), "", body,
	}, "\r\n")
}

// follower returns a node that does not own the shard.
func (c *siteCluster) follower() *site.Node {
	c.t.Helper()
	owner := c.owner()
	for _, n := range c.nodes {
		if n != owner {
			return n
		}
	}
	c.t.Fatal("got: no follower, want: one")
	return nil
}

// Guards against the same at a node of the other platform.
func TestPlannedStopAnswersPipelinedRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "")
	n := c.Nodes[0]
	conn, err := net.Dial("tcp", n.Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request := strings.Join([]string{"POST /s/search/long HTTP/1.1", "Host: x", native.DelayHeader + ": 1500", "Content-Length: 1", "", "x"}, "\r\n")
	if _, err := io.WriteString(conn, request+request); err != nil {
		t.Fatal(err)
	}
	if !standin.Await(waitTimeout, func() bool { return hasRequestInProgress(c, 0) }) {
		t.Fatal("the first request is not in progress")
	}
	n.Signal(syscall.SIGTERM)
	answers := bufio.NewReader(conn)
	for i := range 2 {
		resp, err := http.ReadResponse(answers, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			t.Fatalf("answer to request %d of 2: got: %v, want: a complete answer", i+1, err)
		}
	}
	if !n.Wait(waitTimeout) {
		t.Fatal("the node does not stop after SIGTERM")
	}
}
