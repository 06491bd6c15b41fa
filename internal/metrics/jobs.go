// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package metrics

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/leverdyke/leverdyke/internal/served"
)

// Jobs has the metrics instruments of a node that runs jobs. It is safe for concurrent use.
// The recording methods of a nil *Jobs do nothing; Handler and Gauge need a Jobs.
type Jobs struct {
	handler    http.Handler
	meter      metric.Meter
	requests   metric.Float64Histogram
	orders     metric.Float64Histogram
	appends    metric.Float64Histogram
	starts     metric.Float64Histogram
	badRecords metric.Int64Counter
}

// latencyBuckets are the bucket bounds of the latency histograms, in seconds. They range
// from a fast response within one zone, 1 ms, to a time that no caller waits for, 30 s.
var latencyBuckets = metric.WithExplicitBucketBoundaries(.001, .002, .005, .01, .02, .05, .1, .2, .4, .7, 1, 2, 3, 5, 10, 30)

// NewJobs returns new instruments with a separate Prometheus registry.
func NewJobs() (*Jobs, error) {
	meter, handler, err := newMeter()
	if err != nil {
		return nil, err
	}
	j := &Jobs{handler: handler, meter: meter}
	for _, h := range []struct {
		name, description string
		instrument        *metric.Float64Histogram
	}{
		{"leverdyke.job.request", "callers' requests, by what they ask and how they are answered", &j.requests},
		{"leverdyke.job.order", "orders to workers, by kind and outcome", &j.orders},
		{"leverdyke.job.append", "appends to the platform's store, by outcome", &j.appends},
		{"leverdyke.job.step_wait", "time from when a step could begin to its tasks' placing", &j.starts},
	} {
		*h.instrument, err = meter.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithDescription(h.description), latencyBuckets)
		if err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
	}
	j.badRecords, err = meter.Int64Counter("leverdyke.job.bad_records", metric.WithDescription("records of the platform's store that cannot be relied on, by topic"))
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return j, nil
}

// Handler returns the HTTP handler that Prometheus scrapes.
func (j *Jobs) Handler() http.Handler { return j.handler }

// RequestAnswered records how long a caller's request took, by kind of request and HTTP
// status.
func (j *Jobs) RequestAnswered(what string, status int, took time.Duration) {
	if j == nil {
		return
	}
	j.requests.Record(context.Background(), took.Seconds(),
		metric.WithAttributes(attribute.String("what", what), attribute.Int("status", status)))
}

// OrderAnswered records how long an order to a worker took, by kind and outcome.
func (j *Jobs) OrderAnswered(kind, outcome string, took time.Duration) {
	if j == nil {
		return
	}
	j.orders.Record(context.Background(), took.Seconds(),
		metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome)))
}

// Appended records how long an append to the store took, by outcome.
func (j *Jobs) Appended(outcome string, took time.Duration) {
	if j == nil {
		return
	}
	j.appends.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("outcome", outcome)))
}

// BadRecord counts a record of the store that cannot be relied on, such as one of another
// writer.
func (j *Jobs) BadRecord(topic string) {
	if j == nil {
		return
	}
	j.badRecords.Add(context.Background(), 1, metric.WithAttributes(attribute.String("topic", topic)))
}

// ObserveServed registers gauges of what became of the accepted jobs, by queue, size and outcome, and
// of the age of the oldest open one. At each scrape they call counts, which returns a bounded number
// of queues.
func (j *Jobs) ObserveServed(counts func() []served.Count) error {
	jobs, err := j.meter.Int64ObservableGauge("leverdyke.job.served", metric.WithDescription("accepted jobs since the owner began, by queue, size and outcome"))
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	oldest, err := j.meter.Float64ObservableGauge("leverdyke.job.oldest_open", metric.WithUnit("s"), metric.WithDescription("age of the oldest open job, by queue and size"))
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	_, err = j.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, c := range counts() {
			labels := []attribute.KeyValue{attribute.String("queue", c.Queue), attribute.String("size", string(c.Class))}
			o.ObserveFloat64(oldest, c.Oldest.Seconds(), metric.WithAttributes(labels...))
			for outcome, n := range c.Outcomes() {
				o.ObserveInt64(jobs, int64(n), metric.WithAttributes(append(labels[:2:2], attribute.String("outcome", string(outcome)))...))
			}
		}
		return nil
	}, jobs, oldest)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}

// Gauge registers a gauge. At each scrape it calls values, which returns one value for each
// value of the label.
func (j *Jobs) Gauge(name, label string, values func() map[string]float64) error {
	return registerGauge(j.meter, name, label, values)
}
