// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package events

import (
	"flag"
	"fmt"
	"io"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/leverdyke/leverdyke/internal/boundedqueue"
)

// sinkQueueLines is how many lines the queue holds that are not yet written.
const sinkQueueLines = 4096

// Sink writes log lines from one goroutine. If its queue is full, a line is dropped and
// counted, so that a slow log never delays a scheduling decision.
type Sink struct {
	out     io.Writer
	lines   *boundedqueue.Queue[[]byte]
	dropped atomic.Int64
	done    chan struct{}
	stopped chan struct{}
}

// NewSink starts a Sink that writes to out, and makes klog write to it.
func NewSink(out io.Writer) (*Sink, error) {
	s := &Sink{out: out, lines: boundedqueue.NewQueue[[]byte](sinkQueueLines), done: make(chan struct{}), stopped: make(chan struct{})}
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		if err := flags.Set(name, value); err != nil {
			return nil, fmt.Errorf("events: %w", err)
		}
	}
	klog.SetOutput(s)
	go s.run()
	return s, nil
}

// Write queues a line, or drops it if the queue is full. It never blocks and always reports
// success.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.lines.TryPut(append([]byte{}, line...)) {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines and stops the goroutine. It must be called once only.
func (s *Sink) Close() {
	klog.Flush()
	close(s.done)
	<-s.stopped
}

// run writes lines until Close is called. When the queue has become empty, it also logs
// how many lines were dropped, if more were dropped since it last did so.
func (s *Sink) run() {
	defer close(s.stopped)
	reported := int64(0)
	for {
		select {
		case line := <-s.lines.Items():
			s.write(line)
		case <-s.done:
			s.drain()
			return
		}
		if n := s.dropped.Load(); n > reported && s.lines.Len() == 0 {
			reported = n
			s.write(fmt.Appendf(nil, "W lines of the log were dropped event=\"LD%04d\" total=%d\n", LogLinesDropped.Number, n))
		}
	}
}

// drain writes the lines that are still queued.
func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines.Items():
			s.write(line)
		default:
			return
		}
	}
}

// write writes a line. It ignores an error, because there is no other place to report it.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(line) }
