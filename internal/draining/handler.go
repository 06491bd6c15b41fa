// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package draining

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// handler records the requests of a server's connections and passes them to another handler.
type handler struct{ inner http.Handler }

// ServeHTTP answers a request. If the server drains and nothing has arrived after the request, the answer closes the
// connection.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inner := h.inner
	if inner == nil {
		inner = http.DefaultServeMux
	}
	c, _ := r.Context().Value(contextKey{}).(*conn)
	if c == nil {
		inner.ServeHTTP(w, r)
		return
	}
	c.beginRequest(r.ContentLength)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	// The HTTP server looks at the type of the body in its own request, to see whether the client waits to be told to
	// send it.
	r = r.WithContext(ctx)
	if r.Body != http.NoBody {
		r.Body = &body{r.Body, c}
	}
	a := &answer{ResponseWriter: w, conn: c}
	a.keepContext = context.AfterFunc(c.server.ending, cancel)
	defer a.keepContext()
	inner.ServeHTTP(a, r)
	a.begin()
}

// body is the body of a request, which records that it has been read.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.bodyArrived()
	}
	return n, err
}

// answer decides, when the headers of an answer are sent, whether it closes the connection.
type answer struct {
	http.ResponseWriter
	conn     *conn
	hasBegun bool
	// keepContext prevents the end of the stop from ending the request's context.
	keepContext func() bool
}

// Unwrap returns the writer that http.ResponseController uses.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// begin comes before the headers are sent.
func (a *answer) begin() {
	if a.hasBegun {
		return
	}
	a.hasBegun = true
	a.keepContext()
	if a.conn.isLast() {
		a.Header().Set("Connection", "close")
	}
}

// WriteHeader writes the headers. Those with status 1xx are not the answer's.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.begin()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer's body.
func (a *answer) Write(p []byte) (int, error) {
	a.begin()
	return a.ResponseWriter.Write(p)
}

// FlushError sends what has been written.
func (a *answer) FlushError() error {
	a.begin()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Flush sends what has been written, for handlers that expect an http.Flusher.
func (a *answer) Flush() { _ = a.FlushError() }
