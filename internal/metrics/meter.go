// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package metrics

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// newMeter returns a meter with a separate Prometheus registry, and the HTTP handler that
// serves the registry in the Prometheus text format.
func newMeter() (metric.Meter, http.Handler, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, nil, fmt.Errorf("metrics: %w", err)
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("leverdyke")
	return meter, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), nil
}

// registerGauge registers a gauge that calls values at each scrape. The keys of the map that
// values returns become the values of the label.
func registerGauge(meter metric.Meter, name, label string, values func() map[string]float64) error {
	_, err := meter.Float64ObservableGauge(name, metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
		for k, v := range values() {
			o.Observe(v, metric.WithAttributes(attribute.String(label, k)))
		}
		return nil
	}))
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}
