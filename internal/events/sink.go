// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package events

import (
	"flag"
	"fmt"
	"io"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/leverdyke/leverdyke/internal/ring"
)

// sinkLines is how many lines may wait to be written.
const sinkQueueLines = 4096

// Sink writes the log from one goroutine. A line that finds the queue full is
// dropped and counted: logging never holds up a decision.
type Sink struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	done    chan struct{}
	stopped chan struct{}
}

// NewSink makes klog write to out through a Sink.
func NewSink(out io.Writer) (*Sink, error) {
	s := &Sink{out: out, lines: ring.NewRing[[]byte](sinkQueueLines), done: make(chan struct{}), stopped: make(chan struct{})}
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

// Write queues a line. It never fails and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.lines.TryPut(append([]byte{}, line...)) {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what is queued and ends the goroutine.
func (s *Sink) Close() {
	klog.Flush()
	close(s.done)
	<-s.stopped
}

func (s *Sink) run() {
	defer close(s.stopped)
	reported := int64(0)
	for {
		select {
		case line := <-s.lines.Out():
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

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines.Out():
			s.write(line)
		default:
			return
		}
	}
}

// write drops a line that cannot be written: there is nowhere else to tell it.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(line) }
