// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

import (
	"bytes"
	"context"
	"encoding/json"
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
	// Name is the node's name, Callers the address at which it accepts callers' requests.
	Name    string
	Callers string
	ready   string
	binary  string
	file    string
	// advertised is the address at which other nodes reach it.
	advertised string
	// ClockShift is how far its wall clock is ahead of the real one; it takes effect at the next Start.
	ClockShift  time.Duration
	log         string
	hasOwnGroup bool
	environment []string
	// disturbed is called at each start and end of the process, and when it is signalled.
	disturbed func()
	process   *exec.Cmd
	done      chan struct{}
	client    *http.Client
}

// settingsText is the template of a settings file as the platform writes it. unknownField checks that nodes ignore
// fields that they do not know.
const settingsText = `nodeName: %q
ip: %q
zone: "zone-1"
unknownField: [1, 2]
listen:
  front: %q
  ready: %q
portRange: [%d, %d]
limits: {cpuShare: %g, cores: 1, memoryMb: %d, maxFds: %d, linkMbps: 1000.0}
bounds: {graceS: 6, stop_ms: 200, early_ms: 250, leaseMs: 3000}
commands: "rpc"
advice: %q
platform: {address: %q, form: "log", record_bytes: %d, call_bytes: %d}
`

// The ports of a node. Each node has a loopback address of its own, so that no other process can take
// its ports between two starts.
const (
	callersPort = 7701
	readyPort   = 7702
	linkPort    = 7710
)

// nodeCount counts the nodes that this process has created; their addresses derive from it.
var nodeCount atomic.Uint32

const (
	// maxSlots is how many processes can have nodes on this machine at once. Each has a range of
	// addresses of its own, from 127.2.0.0/16 to 127.251.0.0/16.
	maxSlots = 250
	// slotPort is the port on which a process listens to occupy its slot as long as it runs.
	slotPort = 7700
)

// processSlot claims the slot of this process at the first call, and returns the same slot from then on.
var processSlot = sync.OnceValues(claimSlot)

// addressSlot is a range of loopback addresses, occupied by a listener: the kernel closes it when the
// process ends, however it ends.
type addressSlot struct {
	number   int
	listener net.Listener
}

// claimSlot claims a slot that no other process has. It tries them from one that depends on the process ID.
func claimSlot() (*addressSlot, error) {
	for i := range maxSlots {
		n := (os.Getpid() + i) % maxSlots
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", 2+n, slotPort)); err == nil {
			return &addressSlot{n, l}, nil
		}
	}
	return nil, errors.New("site: all slots for loopback addresses are in use by other processes")
}

// nextAddr returns a loopback address that no other node has, in this process or in another.
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
		client: &http.Client{Timeout: 5 * time.Second}, hasOwnGroup: s.options.HasOwnGroup, environment: s.options.Environment, disturbed: s.RecordDisturbance,
	}
	storeAddr, err := s.via(n.Name+"-store", s.StoreAddr)
	if err != nil {
		return nil, err
	}
	if n.advertised, err = s.via(n.Name+"-link", fmt.Sprintf("%s:%d", ip, linkPort)); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settingsText, n.Name, ip, n.Callers, n.ready, linkPort, linkPort, s.cpuShare(), s.options.MemoryMb, s.options.MaxFds, s.PermissionAddr, storeAddr, s.options.RecordBytes, s.options.CallBytes)
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	return n, n.Start()
}

// Start starts the process. Its output is appended to the log file of earlier starts.
func (n *Node) Start() error {
	n.disturbed()
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("site: %w", err)
	}
	defer func() { _ = out.Close() }()
	n.process = exec.Command(n.binary, "platform", "--settings", n.file, "--advertise", n.advertised, "--clock-shift", n.ClockShift.String())
	n.process.Stdout, n.process.Stderr = out, out
	n.process.Env = append(os.Environ(), n.environment...)
	n.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: n.hasOwnGroup}
	if err := n.process.Start(); err != nil {
		return fmt.Errorf("site: %w", err)
	}
	n.done = make(chan struct{})
	processes.Store(n.process, struct{}{})
	go n.run(n.process, n.done)
	return nil
}

// run waits until the process has ended, and closes done.
func (n *Node) run(p *exec.Cmd, done chan struct{}) {
	defer close(done)
	defer processes.Delete(p)
	_ = p.Wait()
	n.disturbed()
}

// processes has the running processes of all nodes, as *exec.Cmd keys.
var processes sync.Map

// KillAll kills all nodes that this process has started. It is for a process that is about to exit
// without closing them.
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

// EndedByHangup reports whether the process was ended by a SIGHUP, which happens when the signal arrives
// before the process has installed its handler. The process must have ended.
func (n *Node) EndedByHangup() bool {
	status, ok := n.process.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGHUP
}

// PID returns the ID of the process.
func (n *Node) PID() int { return n.process.Process.Pid }

// Signal sends a signal to the process.
func (n *Node) Signal(sig syscall.Signal) error {
	// The rules do not count a SIGHUP as a disturbance.
	if sig != syscall.SIGHUP {
		n.disturbed()
	}
	return n.SignalUncounted(sig)
}

// SignalUncounted sends a signal to the process that does not count as a disturbance.
func (n *Node) SignalUncounted(sig syscall.Signal) error { return n.process.Process.Signal(sig) }

// Done returns a channel that is closed when the process has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Kill kills the process and waits until it has ended.
func (n *Node) Kill() {
	_ = n.Signal(syscall.SIGKILL)
	<-n.done
}

// IsReady asks the node whether it accepts requests.
func (n *Node) IsReady(ctx context.Context) bool {
	status, _, err := n.do(ctx, "", http.MethodGet, "http://"+n.ready+"/-/readyz", nil)
	return err == nil && status == http.StatusOK
}

// Do sends a caller's request and returns the status and the body.
func (n *Node) Do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	return n.DoWithKey(ctx, "", method, path, body)
}

// DoWithKey is Do with a customer's API key; an empty key is not sent.
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

// ParseJobState returns the state in a node's answer to a query for a job.
func ParseJobState(body []byte) (string, error) {
	answer := struct {
		State string `json:"state"`
	}{}
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", fmt.Errorf("site: %w", err)
	}
	return answer.State, nil
}

// Log returns what the process has logged so far.
func (n *Node) Log() string {
	data, err := os.ReadFile(n.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
