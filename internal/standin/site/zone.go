// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import "strconv"

// zoneName returns the name of the i-th availability zone.
func zoneName(i int) string { return "zone-" + strconv.Itoa(i+1) }

// Zones returns the names of the availability zones.
func (s *Site) Zones() []string {
	zones := make([]string, s.options.Zones)
	for i := range zones {
		zones[i] = zoneName(i)
	}
	return zones
}

// DrainZone publishes the operator's request to start nothing in a zone until ReturnZone.
func (s *Site) DrainZone(zone string) { s.setDrained(zone, true, []byte("{}")) }

// ReturnZone takes the drain of a zone back.
func (s *Site) ReturnZone(zone string) { s.setDrained(zone, false, nil) }

func (s *Site) setDrained(zone string, isDrained bool, record []byte) {
	s.mu.Lock()
	s.drainedZones[zone] = isDrained
	s.mu.Unlock()
	s.Store.Put("keyed.op", "evacuate/"+zone, record)
}

func (s *Site) isDrained(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainedZones[zone]
}
