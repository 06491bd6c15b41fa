// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package native

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/leverdyke/leverdyke/internal/codec"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/clock"
	"github.com/leverdyke/leverdyke/internal/vmlist"
	"github.com/leverdyke/leverdyke/internal/worker"
)

const (
	expirePeriod = 20 * time.Millisecond
	maxBody      = 8 << 20
)

// NewServerOptions configures a Server. The zero value is a platform with one worker.
type NewServerOptions struct {
	// Regions, Zones (per region), Racks (per zone) and Workers (per rack) are the numbers of each; 0
	// means 1.
	Regions, Zones, Racks, Workers int
	Capacity                       leverdyke.Resources
	// Retention is how long the log keeps entries; 0 means forever.
	Retention time.Duration
	// Lag is the delay after which a change of status appears in the list of VMs.
	Lag time.Duration
	// Listen is the address of the log, the list of VMs and the fault injection; the zero value means a
	// free port on loopback.
	Listen netip.AddrPort
	Clock  clock.Service
	// Via returns the address at which the list shows a worker that listens at addr, such as a proxy's;
	// nil means addr itself.
	Via func(name string, addr netip.AddrPort) (netip.AddrPort, error)
}

// Server serves the fake platform over HTTP. It is safe for concurrent use.
type Server struct {
	Log    *Log
	Oracle *Oracle

	options NewServerOptions
	mu      sync.Mutex
	workers map[string]*Worker
	// names has the workers' names in the order of the list.
	names   []string
	vms     []vmlist.VM
	version int
	addr    netip.AddrPort
	servers []*http.Server
	done    chan struct{}
}

// NewServer starts the fake platform. The workers listen on loopback ports.
func NewServer(options NewServerOptions) (*Server, error) {
	if options.Clock == nil {
		options.Clock = clock.Real{}
	}
	if options.Capacity == (leverdyke.Resources{}) {
		options.Capacity = leverdyke.Resources{MilliCPU: 16000, MemoryMiB: 32768, Slots: 8}
	}
	s := &Server{
		Log: NewLog(options.Clock, options.Retention), Oracle: NewOracle(), options: options,
		workers: map[string]*Worker{}, done: make(chan struct{}),
	}
	if err := s.addWorkers(); err != nil {
		s.Close()
		return nil, err
	}
	addr, err := s.listen(options.Listen, s.mux())
	if err != nil {
		s.Close()
		return nil, err
	}
	s.addr = addr
	go s.runExpiry()
	return s, nil
}

// Addr returns the address of the log, the list of VMs, the oracle's report and the fault injection.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Close stops all servers. It may be called more than once.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
		return
	default:
		close(s.done)
	}
	for _, h := range s.servers {
		_ = h.Close()
	}
}

// Worker returns the worker with the given name, or nil.
func (s *Server) Worker(name string) *Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[name]
}

// Names returns the workers' names in the order of the list.
func (s *Server) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.names...)
}

// SetStatus changes the status of a VM in the list after the lag. With StatusLeaving, the worker also reports
// at once that it is leaving.
func (s *Server) SetStatus(name string, status vmlist.Status) {
	if w := s.Worker(name); w != nil && status == vmlist.StatusLeaving {
		w.AnnounceLeaving()
	}
	go s.runSetStatus(name, status)
}

func (s *Server) runSetStatus(name string, status vmlist.Status) {
	if s.options.Lag > 0 {
		select {
		case <-s.options.Clock.After(s.options.Lag):
		case <-s.done:
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.vms {
		if s.vms[i].Name == name {
			s.vms[i].Status = status
		}
	}
	s.version++
}

func (s *Server) addWorkers() error {
	o := s.options
	for region := range max(o.Regions, 1) {
		for zone := range max(o.Zones, 1) {
			for rack := range max(o.Racks, 1) {
				if err := s.addRack(region, zone, rack); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (s *Server) addRack(region, zone, rack int) error {
	for n := range max(s.options.Workers, 1) {
		zoneName := fmt.Sprintf("r%d-z%d", region+1, zone+1)
		rackName := fmt.Sprintf("%s-k%d", zoneName, rack+1)
		name := fmt.Sprintf("%s-w%d", rackName, n+1)
		w := NewWorker(name, s.options.Capacity, s.options.Clock, s.Oracle)
		addr, err := s.listen(netip.AddrPort{}, s.workerMux(w))
		if err != nil {
			return err
		}
		if s.options.Via != nil {
			if addr, err = s.options.Via(name, addr); err != nil {
				return err
			}
		}
		s.workers[name] = w
		s.names = append(s.names, name)
		s.vms = append(s.vms, vmlist.VM{
			Name: name, Addr: addr, Region: fmt.Sprintf("r%d", region+1), Zone: zoneName, Rack: rackName, Status: vmlist.StatusLive,
		})
	}
	return nil
}

func (s *Server) listen(at netip.AddrPort, h http.Handler) (netip.AddrPort, error) {
	if !at.IsValid() {
		at = netip.MustParseAddrPort("127.0.0.1:0")
	}
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("native: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

func (s *Server) runExpiry() {
	ticks, stop := s.options.Clock.Subscribe(expirePeriod)
	defer stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticks:
		}
		for _, w := range s.workers {
			w.Expire()
		}
	}
}

func (s *Server) mux() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/append", s.handleAppend)
	m.HandleFunc("GET /v1/records", s.handleRecords)
	m.HandleFunc("GET /v1/vms", s.handleVMs)
	m.HandleFunc("GET /v1/oracle", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Oracle.Report()) })
	m.HandleFunc("PUT /v1/faults/log", s.handleLogFaults)
	m.HandleFunc("PUT /v1/faults/worker/{name}", s.handleWorkerFaults)
	m.HandleFunc("PUT /v1/vms/{name}/{status}", func(w http.ResponseWriter, r *http.Request) {
		s.SetStatus(r.PathValue("name"), vmlist.Status(r.PathValue("status")))
		w.WriteHeader(http.StatusNoContent)
	})
	return m
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	faults := s.Log.Faults()
	if faults.IsUnavailable {
		closeConnection(w)
		return
	}
	if faults.Slow > 0 {
		<-s.options.Clock.After(faults.Slow)
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		closeConnection(w)
		return
	}
	offset, ok := s.Log.Append(data)
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if s.Log.LoseReply() {
		closeConnection(w)
		return
	}
	_, _ = io.WriteString(w, strconv.FormatInt(offset, 10))
}

func (s *Server) handleRecords(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, err2 := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := s.options.Clock.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.Log.Faults().IsUnavailable {
			closeConnection(w)
			return
		}
		page, isTrimmed, changed := s.Log.Page(from)
		if isTrimmed || len(page.Entries) > 0 || waitEnded(r.Context(), limit, changed) {
			writePage(w, page, isTrimmed)
			return
		}
	}
}

// waitEnded waits for a change. It reports true if the limit was reached or the request was cancelled first.
func waitEnded(ctx context.Context, limit <-chan time.Time, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return false
	case <-limit:
		return true
	case <-ctx.Done():
		return true
	}
}

func writePage(w http.ResponseWriter, page any, isTrimmed bool) {
	data, err := codec.Marshal(page)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if isTrimmed {
		w.WriteHeader(http.StatusGone)
	}
	_, _ = w.Write(data)
}

func (s *Server) handleVMs(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	tag := fmt.Sprintf(`"%d"`, s.version)
	list := append([]vmlist.VM{}, s.vms...)
	s.mu.Unlock()
	w.Header().Set("Etag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, list)
}

func (s *Server) handleLogFaults(w http.ResponseWriter, r *http.Request) {
	f := LogFaults{}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Log.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleWorkerFaults(w http.ResponseWriter, r *http.Request) {
	f := WorkerFaults{}
	target := s.Worker(r.PathValue("name"))
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil || target == nil {
		http.Error(w, "no such worker, or unreadable faults", http.StatusBadRequest)
		return
	}
	target.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// closeConnection closes the connection without an answer.
func closeConnection(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := h.Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// writeFenced answers with status 409 and the highest epoch seen if err is a FencedError, and reports whether it is.
func writeFenced(w http.ResponseWriter, err error) bool {
	fenced := &worker.FencedError{}
	if !errors.As(err, &fenced) {
		return false
	}
	w.Header().Set(worker.EpochHeader, strconv.FormatUint(uint64(fenced.Seen), 10))
	w.WriteHeader(http.StatusConflict)
	return true
}
