// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Node is a node of the product as a process of its own.
type Node struct {
	// Name is its name, Callers where callers' requests go.
	Name    string
	Callers string
	ready   string
	binary  string
	file    string
	// advertised is where other nodes reach it.
	advertised string
	// ClockShift is how far its time of day is ahead from its next start on.
	ClockShift  time.Duration
	log         string
	hasOwnGroup bool
	process     *exec.Cmd
	done        chan struct{}
	client      *http.Client
}

// settingsText is a settings file as the platform writes it.
const settingsText = `nodeName: %q
ip: %q
zone: "zone-1"
unknownField: [1, 2]
listen:
  front: %q
  ready: %q
portRange: [%d, %d]
limits: {cpuShare: %g, cores: 1, memoryMb: 200, maxFds: 1000, linkMbps: 1000.0}
bounds: {graceS: 6, stop_ms: 200, early_ms: 250, leaseMs: 3000}
commands: "rpc"
advice: %q
platform: {address: %q, form: "log"}
`

// The ports of a node. Each node has an address of its own on loopback, so that
// no other process takes them between two starts.
const (
	callersPort = 7701
	readyPort   = 7702
	linkPort    = 7710
)

// nodes counts the nodes of this process.
var nodeCount atomic.Uint32

const (
	// slots is how many processes may have nodes on this machine, each with addresses
	// of its own: 127.2 to 127.251.
	maxSlots = 250
	// slotPort is where a process holds its slot as long as it lives.
	slotPort = 7700
)

// slot is the slot of this process.
var processSlot = sync.OnceValues(claimSlot)

// slotOf is a slot that is held by a listener: the kernel gives it up with the
// process, whatever ends that.
type addressSlot struct {
	number   int
	listener net.Listener
}

// claimSlot takes a slot that no other process has.
func claimSlot() (*addressSlot, error) {
	for i := range maxSlots {
		n := (os.Getpid() + i) % maxSlots
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", 2+n, slotPort)); err == nil {
			return &addressSlot{n, l}, nil
		}
	}
	return nil, errors.New("site: all slots for addresses are taken")
}

// nextAddr returns an address of loopback that no other node has, in this process
// or in another.
func nextAddr() (string, error) {
	s, err := processSlot()
	if err != nil {
		return "", err
	}
	n := nodeCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 2+s.number, n/200, 2+n%200), nil
}

// NewNode writes a settings file in dir and starts binary with it.
func (s *Site) NewNode(binary, dir string, number int) (*Node, error) {
	ip, err := nextAddr()
	if err != nil {
		return nil, err
	}
	n := &Node{
		Name: "node-" + strconv.Itoa(number), Callers: fmt.Sprintf("%s:%d", ip, callersPort), ready: fmt.Sprintf("%s:%d", ip, readyPort),
		binary: binary, file: filepath.Join(dir, fmt.Sprintf("node-%d.yaml", number)), log: filepath.Join(dir, fmt.Sprintf("node-%d.log", number)),
		client: &http.Client{Timeout: 5 * time.Second}, hasOwnGroup: s.options.HasOwnGroup,
	}
	storeAddr, err := s.via(n.Name+"-store", s.StoreAddr)
	if err != nil {
		return nil, err
	}
	if n.advertised, err = s.via(n.Name+"-link", fmt.Sprintf("%s:%d", ip, linkPort)); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settingsText, n.Name, ip, n.Callers, n.ready, linkPort, linkPort, s.cpuShare(), s.PermissionAddr, storeAddr)
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	return n, n.Start()
}

// Start starts the process; what it logs is added to its file.
func (n *Node) Start() error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("site: %w", err)
	}
	defer func() { _ = out.Close() }()
	n.process = exec.Command(n.binary, "platform", "--settings", n.file, "--advertise", n.advertised, "--clock-shift", n.ClockShift.String())
	n.process.Stdout, n.process.Stderr = out, out
	n.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: n.hasOwnGroup}
	if err := n.process.Start(); err != nil {
		return fmt.Errorf("site: %w", err)
	}
	n.done = make(chan struct{})
	processes.Store(n.process, struct{}{})
	go n.run(n.process, n.done)
	return nil
}

// run reaps the process.
func (*Node) run(p *exec.Cmd, done chan struct{}) {
	defer close(done)
	defer processes.Delete(p)
	_ = p.Wait()
}

// processes has those of all nodes that run.
var processes sync.Map

// KillAll ends all nodes of this process at once, for one that is about to end itself.
func KillAll() {
	processes.Range(func(p, _ any) bool {
		_ = p.(*exec.Cmd).Process.Kill()
		return true
	})
}

// HasEnded reports whether the process has ended.
func (n *Node) HasEnded() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// EndedByHangup reports whether the process, which has ended, was ended by a
// SIGHUP: it came before the process could catch it.
func (n *Node) EndedByHangup() bool {
	status, ok := n.process.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGHUP
}

// Signal sends a signal to the process.
func (n *Node) Signal(sig syscall.Signal) error { return n.process.Process.Signal(sig) }

// Done is closed when the process has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Kill ends the process at once and waits for its end.
func (n *Node) Kill() {
	_ = n.Signal(syscall.SIGKILL)
	<-n.done
}

// IsReady asks the node whether it takes requests.
func (n *Node) IsReady(ctx context.Context) bool {
	status, _, err := n.do(ctx, "", http.MethodGet, "http://"+n.ready+"/-/readyz", nil)
	return err == nil && status == http.StatusOK
}

// Do sends a caller's request and returns the status and the body.
func (n *Node) Do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	return n.DoWithKey(ctx, "", method, path, body)
}

// DoWithKey is Do with the key of a customer; an empty one is not sent.
func (n *Node) DoWithKey(ctx context.Context, key, method, path string, body []byte) (int, []byte, error) {
	return n.do(ctx, key, method, "http://"+n.Callers+path, body)
}

func (n *Node) do(ctx context.Context, key, method, url string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("site: %w", err)
	}
	req.Host = QueueHost
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("site: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("site: %w", err)
	}
	return resp.StatusCode, data, nil
}

// Log returns what the process has logged so far.
func (n *Node) Log() string {
	data, err := os.ReadFile(n.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
