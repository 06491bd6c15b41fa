// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command cases2 plays the script cases of the second review: it starts nodes as the deploy file does, with
// the stand-ins of internal/standin/site as the platform and its workers, and checks a rule from the outside.
package main

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
	"sync"
	"syscall"
	"time"

	"github.com/leverdyke/leverdyke/internal/standin/site"
)

const (
	// ackTime, finishTime and stopTime are ackMs, finish_s and stop_ms of the deployment.
	ackTime    = 4 * time.Second
	finishTime = 14 * time.Second
	// requestTime is the time limit of a client's request, retryPause the time between two attempts.
	requestTime = 3 * time.Second
	retryPause  = 300 * time.Millisecond
)

// settingsText is a settings file as the platform writes it for a small deployment.
const settingsText = `nodeName: "edge-%[1]s-%[2]d"
role: "node"
machineClass: "edge"
serves:
  - "edge"
ip: "%[3]s"
zone: "%[1]s"
region: "lombardia"
zones:
  zone-1: "lombardia"
  zone-2: "lombardia"
  zone-3: "lombardia"
listen:
  front: "%[3]s:8161"
  ready: "%[3]s:8167"
  control: "%[3]s:8166"
portRange:
  - 7720
  - 7735
seeds: []
bootstrap: true
inTolerance: false
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 500
contracts:
  - "base"
  - "drain"
  - "config"
  - "cost"
  - "recover"
  - "sched"
  - "platform"
  - "advice"
bounds:
  contactMs: 3000
  ackMs: 4000
  drainMs: 2000
  graceS: 6
  lossSlackMs: 200
  configApplyMs: 2000
  maxHoldMs: 10000
  stop_ms: 200
  gang_ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  save_s: 0.5
  restore_ms: 250
  requireFencing: false
  leaseMs: 3000
commands: "rpc"
advice: "%[4]s"
platform:
  address: "%[5]s"
  form: "log"
  writes_per_s: 600
  reads_per_s: 2000
  parts: 8
  append_ms: 4.0
  part_mb_per_s: 20.0
  read_mb_per_s: 80.0
  record_bytes: 262144
  call_bytes: 2097152
  keep_s: 300
  part_mb: 200
  ttl_min_ms: 1000
`

// errCannotRun says that the case could not be played.
var errCannotRun = errors.New("the case cannot run")

// play is one play of a case: the platform, its workers, and the nodes.
type play struct {
	*site.Site
	dir       string
	storeAddr string
	nodes     []*node
	begin     time.Time
	hasFault  bool

	mu     sync.Mutex
	record *os.File
}

// node is a process of the product.
type node struct {
	number  int
	ip      string
	file    string
	process *exec.Cmd
	done    chan struct{}
}

// newPlay starts the platform and the nodes, and waits until they are ready. via returns the address at which
// nodes reach the store.
func newPlay(o site.Options, nodes int, via func(store string) (string, error)) (*play, error) {
	p := &play{begin: time.Now(), hasFault: os.Getenv("TROUBLE") != "0"}
	var err error
	if p.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	if p.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	if p.Site, err = site.New(o); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	p.storeAddr = p.StoreAddr
	if via != nil {
		if p.storeAddr, err = via(p.StoreAddr); err != nil {
			return p, fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	p.Configure(1)
	for i := range nodes {
		if err := p.addNode(i); err != nil {
			return p, err
		}
	}
	for range 100 {
		if p.ready() == nodes {
			p.note("all nodes are ready")
			return p, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return p, fmt.Errorf("%w: only %d nodes are ready", errCannotRun, p.ready())
}

// addNode writes the settings of a node and starts it.
func (p *play) addNode(i int) error {
	ip, err := freeIP(i)
	if err != nil {
		return err
	}
	n := &node{number: i, ip: ip, file: filepath.Join(p.dir, fmt.Sprintf("node-%d.yaml", i))}
	text := fmt.Sprintf(settingsText, fmt.Sprintf("zone-%d", i%3+1), i, ip, p.PermissionAddr, p.storeAddr)
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	p.nodes = append(p.nodes, n)
	return n.start(p.dir)
}

// freeIP returns a loopback address on which no process uses the ports of a node.
func freeIP(i int) (string, error) {
	for try := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 30+(os.Getpid()+try)%200, os.Getpid()/200%250+1, i+1)
		if isFree(ip) {
			return ip, nil
		}
	}
	return "", fmt.Errorf("%w: no loopback address is free", errCannotRun)
}

func isFree(ip string) bool {
	for _, port := range []int{8161, 8166, 8167, 7720, 7735} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// start starts the process with the command of the deploy file.
func (n *node) start(dir string) error {
	out, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("node-%d.log", n.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	defer func() { _ = out.Close() }()
	n.process = exec.Command("target/leverdyked", "platform", "--metrics-port", "7735")
	n.process.Stdout, n.process.Stderr = out, out
	// The node ends with the script, however that ends.
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "LEVERDYKE_CONFIG=" + n.file}
	if err := n.process.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	n.done = make(chan struct{})
	go n.run(n.process, n.done)
	return nil
}

func (n *node) run(c *exec.Cmd, done chan struct{}) {
	defer close(done)
	_ = c.Wait()
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) { _ = n.process.Process.Signal(s) }

// ready returns how many nodes are ready.
func (p *play) ready() int {
	count := 0
	for _, n := range p.nodes {
		if a := p.request(context.Background(), time.Second, http.MethodGet, "http://"+n.ip+":8167/-/readyz", nil); a.status == http.StatusOK {
			count++
		}
	}
	return count
}

// close ends all processes, and keeps the nodes' logs if KEEP names a directory.
func (p *play) close() {
	for _, n := range p.nodes {
		if n.process != nil && n.process.Process != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.done
		}
		if keep := os.Getenv("KEEP"); keep != "" {
			if data, err := os.ReadFile(filepath.Join(p.dir, fmt.Sprintf("node-%d.log", n.number))); err == nil {
				_ = os.WriteFile(filepath.Join(keep, fmt.Sprintf("node-%d.log", n.number)), data, 0o600)
			}
		}
	}
	if p.Site != nil {
		p.Close()
	}
	_ = p.record.Close()
	_ = os.RemoveAll(p.dir)
}

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.record, "%8.3f  %s\n", time.Since(p.begin).Seconds(), fmt.Sprintf(format, args...))
}

// answer is what a client got for an attempt; status 0 means none.
type answer struct {
	status int
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.status == 0 {
		return "no answer"
	}
	return fmt.Sprintf("%d %.120s", a.status, bytes.TrimSpace(a.body))
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func (p *play) request(ctx context.Context, limit time.Duration, method, url string, body []byte) answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = site.QueueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, body: data}
}

// call sends a request about a job to the nodes in turn until one answers 2xx or 410, or the time is over.
func (p *play) call(method, id string, body []byte, within time.Duration) answer {
	until := time.Now().Add(within)
	last := answer{}
	for try := 0; time.Now().Before(until); try++ {
		n := p.nodes[(int(id[len(id)-1])+try)%len(p.nodes)]
		last = p.request(context.Background(), min(requestTime, time.Until(until)), method, "http://"+n.ip+":8161"+site.QueuePrefix+id, body)
		if last.status/100 == 2 || last.status == http.StatusGone {
			return last
		}
		time.Sleep(min(retryPause, max(time.Until(until), 0)))
	}
	return last
}

// jobBody is the body of a job with one step.
func jobBody(step map[string]any) []byte {
	data, err := json.Marshal(map[string]any{"spec": "s", "steps": []any{step}})
	if err != nil {
		panic(err)
	}
	return data
}

// submit submits a job, and reports whether it was accepted.
func (p *play) submit(id string, body []byte, within time.Duration) bool {
	if err := p.RegisterJob(id, body); err != nil {
		panic(err)
	}
	a := p.call(http.MethodPost, id, body, within)
	p.note("POST %s: %s", id, a)
	return a.status/100 == 2
}

// state returns the state that is shown of a job, or the answer if there is none.
func (p *play) state(id string) string {
	a := p.call(http.MethodGet, id, nil, requestTime)
	s := struct {
		State string `json:"state"`
	}{}
	if a.status == http.StatusOK && json.Unmarshal(a.body, &s) == nil {
		return s.State
	}
	return a.String()
}
