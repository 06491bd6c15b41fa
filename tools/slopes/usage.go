// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin"
)

// usage is what all nodes of a cell have used until now.
type usage struct {
	at             time.Time
	cpu            float64
	rss            float64
	bytes, appends float64
	nodes          float64
}

func usageOf(c *standin.Cell) (usage, error) {
	u := usage{at: time.Now(), nodes: float64(len(c.Nodes))}
	for _, n := range c.Nodes {
		cpu, err := n.CPU()
		if err != nil {
			return u, err
		}
		rss, err := n.RSS()
		if err != nil {
			return u, err
		}
		if err := scrape(n.Operators.String(), &u); err != nil {
			return u, err
		}
		u.cpu += cpu
		u.rss += rss
	}
	return u, nil
}

// since returns the mean of a node between two readings; memory is the later
// reading's.
func (u usage) since(before usage, x float64) point {
	seconds := u.at.Sub(before.at).Seconds() * u.nodes
	return point{
		x: x, cpu: (u.cpu - before.cpu) / seconds, rss: u.rss / u.nodes,
		bytes: (u.bytes - before.bytes) / seconds, appends: (u.appends - before.appends) / seconds,
	}
}

// scrape adds a node's control bytes and appends.
func scrape(addr string, u *usage) error {
	res, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		line := lines.Text()
		value, err := strconv.ParseFloat(line[strings.LastIndex(line, " ")+1:], 64)
		switch {
		case err != nil:
		case strings.HasPrefix(line, "leverdyke_control"):
			u.bytes += value
		case strings.HasPrefix(line, `leverdyke_load{what="appends"`):
			u.appends += value
		}
	}
	return lines.Err()
}
