// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Package metrics has the OpenTelemetry instruments of a node, and the HTTP handler from
// which Prometheus scrapes them.
package metrics

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/leverdyke/leverdyke"
)

// Set has the instruments of a node of leverdyked. It is safe for concurrent use.
type Set struct {
	handler      http.Handler
	waitTime     metric.Float64Histogram
	decisionTime metric.Float64Histogram
	refusals     metric.Int64Counter
	requests     metric.Int64Counter
	bytes        metric.Int64Counter
	ownerChanges metric.Int64Counter
	starts       metric.Int64Counter
	meter        metric.Meter
}

// Direction says whether this node sent or received bytes of control traffic.
type Direction string

// The directions.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// NewSet returns new instruments with a separate Prometheus registry.
func NewSet() (*Set, error) {
	meter, handler, err := newMeter()
	if err != nil {
		return nil, err
	}
	s := &Set{handler: handler, meter: meter}
	waitBuckets := metric.WithExplicitBucketBoundaries(.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 3.4, 5, 10, 30, 60, 300)
	decisionBuckets := metric.WithExplicitBucketBoundaries(1e-6, 5e-6, 1e-5, 2e-5, 5e-5, 1e-4, 5e-4, 1e-3, 1e-2)
	var errs [8]error
	s.waitTime, errs[0] = meter.Float64Histogram("leverdyke.wait", metric.WithUnit("s"), waitBuckets)
	s.decisionTime, errs[1] = meter.Float64Histogram("leverdyke.decision", metric.WithUnit("s"), decisionBuckets)
	s.refusals, errs[2] = meter.Int64Counter("leverdyke.refusals")
	s.requests, errs[3] = meter.Int64Counter("leverdyke.requests")
	s.bytes, errs[4] = meter.Int64Counter("leverdyke.control", metric.WithUnit("By"))
	s.ownerChanges, errs[5] = meter.Int64Counter("leverdyke.owner.changes")
	s.starts, errs[6] = meter.Int64Counter("leverdyke.task.starts")
	for _, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
	}
	return s, nil
}

// Handler returns the HTTP handler that Prometheus scrapes.
func (s *Set) Handler() http.Handler { return s.handler }

// Waited records how long a request or task waited before it started, by kind and class.
func (s *Set) Waited(kind string, class leverdyke.Class, d time.Duration) {
	s.waitTime.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("kind", kind), attribute.String("class", string(class))))
}

// Decided records how long one scheduling decision took.
func (s *Set) Decided(d time.Duration) { s.decisionTime.Record(context.Background(), d.Seconds()) }

// Refused counts a refused request, by verdict.
func (s *Set) Refused(v leverdyke.Verdict) {
	s.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("verdict", string(v))))
}

// Served counts a request that was answered.
func (s *Set) Served() { s.requests.Add(context.Background(), 1) }

// Started counts the start of a task.
func (s *Set) Started() { s.starts.Add(context.Background(), 1) }

// ControlBytes counts bytes of control traffic with a peer, by direction. Callers' requests are
// not included.
func (s *Set) ControlBytes(d Direction, peer string, n int) {
	if n > 0 {
		s.bytes.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("direction", string(d)), attribute.String("peer", peer)))
	}
}

// OwnerChanged counts a shard that this node began or ceased to own.
func (s *Set) OwnerChanged() { s.ownerChanges.Add(context.Background(), 1) }

// Gauge registers a gauge. At each scrape it calls values, which returns one value for each
// value of the label.
func (s *Set) Gauge(name, label string, values func() map[string]float64) error {
	return registerGauge(s.meter, name, label, values)
}
