package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// cluster is the controllers as processes, and the stand-ins around them.
type cluster struct {
	rec   *recorder
	state *stateService
	cloud *cloud
	dir   string
	run   []string // the command of the deploy file
	tune  func(map[string]any)

	names   []string
	clients []string // addresses of client_listen
	peers   []string
	states  []string         // address of the state service for each node
	links   map[[2]int]*link // between a node and a peer, and with -1 between a node and the state service; nil: direct

	old   []string // program of an earlier version that a node runs, by node; empty: the present one
	mu    sync.Mutex
	procs []*exec.Cmd
	dead  []chan struct{}
	ends  int // processes that ended by themselves
	down  []bool
	next  int
	http  *http.Client
}

const teamLimit = 112.0

func newCluster(record string) *cluster {
	rec := newRecorder(record)
	dir, err := os.MkdirTemp("", "caperlatch-review-")
	if err != nil {
		panic(err)
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	b, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		panic(err)
	}
	if err := toml.Unmarshal(b, &deploy); err != nil {
		panic(err)
	}
	c := &cluster{rec: rec, state: newStateService(rec), cloud: newCloud(rec), dir: dir, run: strings.Fields(deploy.Run), http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}}
	n := 3
	listeners := []net.Listener{}
	free := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		listeners = append(listeners, l)
		return l.Addr().String()
	}
	for i := range n {
		c.names = append(c.names, fmt.Sprintf("host-%d", i))
		c.clients = append(c.clients, free())
		c.peers = append(c.peers, free())
		c.states = append(c.states, serve(c.state.front(i)))
	}
	for _, l := range listeners {
		l.Close()
	}
	c.procs, c.dead, c.down = make([]*exec.Cmd, n), make([]chan struct{}, n), make([]bool, n)
	c.old = make([]string, n)
	c.cloud.nodes, c.cloud.names = c.clients, c.names
	for t := range 6 {
		rec.limit[fmt.Sprintf("counter-ops-%02d", t)] = teamLimit
	}
	return c
}

// serve serves a handler at a free loopback address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go http.Serve(l, h)
	return l.Addr().String()
}

// settings returns a node's settings: those of the first site of BRIEF-caperlatch.md.
func (c *cluster) settings(i int, cloud string) map[string]any {
	seeds := []map[string]any{}
	for k := range c.names {
		if k != i {
			seeds = append(seeds, map[string]any{"member": c.names[k], "zone": "tansonnhat", "addr": c.via(i, k, c.peers[k])})
		}
	}
	teams := []map[string]any{}
	for t := range 6 {
		teams = append(teams, map[string]any{"name": fmt.Sprintf("counter-ops-%02d", t), "cpus": 40.0, "cpus_max": teamLimit, "gpus": 0.0, "gpus_max": 0.0})
	}
	objectives := []map[string]any{
		{"kind": "deadline", "class": "fare-sweep", "share": 0.9, "times": 1.0},
		{"kind": "deadline", "class": "manifest-push", "share": 0.95, "times": 1.0},
		{"kind": "wait", "class": "manifest-push", "within_s": 6.0, "share": 0.85},
		{"kind": "wait", "class": "bagtag-reprint", "within_s": 12.0, "share": 0.94},
		{"kind": "wait", "class": "bagtag-reprint", "within_s": 30.0, "share": 0.95},
		{"kind": "finished", "class": "bagtag-reprint", "within_s": 70.0, "share": 0.95},
		{"kind": "guarantee", "within_s": 15.0, "share": 0.9},
	}
	s := map[string]any{
		"member": c.names[i], "zone": "tansonnhat", "client_listen": c.clients[i], "peer_bind": c.peers[i], "seeds": seeds,
		"external": map[string]any{"cloud": cloud, "state": c.via(i, -1, c.states[i])},
		"params": map[string]any{
			"initial_size": len(c.names), "zones": halls, "clock_error_ms": 5.0, "teams": teams, "objectives": objectives,
			"workers": map[string]any{"report_s": reportS, "lease_s": leaseS, "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": cancelS},
			"state":   map[string]any{"rps": float64(stateRPS), "write_rps": float64(stateWriteRPS), "value_kb": float64(valueKB), "txn_ops": txnOps},
			"cloud":   map[string]any{"rps": float64(cloudRPS), "list_lag_s": listLag.Seconds()},
			"limits":  map[string]any{"cpu": 0.144, "mem_mb": 125.0, "max_sockets": 1200},
		},
	}
	if c.tune != nil {
		c.tune(s)
	}
	return s
}

// via returns the address of a link, if there are links, and else the address itself.
func (c *cluster) via(from, to int, addr string) string {
	if c.links == nil {
		return addr
	}
	c.links[[2]int{from, to}] = newLink(addr)
	return c.links[[2]int{from, to}].addr
}

// cutOff cuts a node from the state service, its peers or both.
func (c *cluster) cutOff(node int, state, peers bool, d time.Duration) {
	for ends, k := range c.links {
		if ends[1] == -1 && ends[0] == node && state || ends[1] >= 0 && (ends[0] == node || ends[1] == node) && peers {
			k.hold(d)
		}
	}
}

// begin writes the settings, starts all nodes and waits until one of them is ready.
func (c *cluster) begin() {
	cloud := serve(c.cloud)
	for i := range c.names {
		b, err := toml.Marshal(c.settings(i, cloud))
		if err != nil {
			panic(err)
		}
		if err := os.WriteFile(c.path(i), b, 0o600); err != nil {
			panic(err)
		}
		c.startNode(i)
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if status, _ := c.call("GET", 0, "/ready", nil, time.Second); status == 200 && c.state.leader() != "" {
			c.rec.logf("node   %s leads", c.state.leader())
			return
		}
	}
	c.fail("no node became ready")
}

func (c *cluster) path(i int) string { return filepath.Join(c.dir, c.names[i]+".toml") }

// startNode starts a node with the command of the deploy file.
func (c *cluster) startNode(i int) {
	log, err := os.OpenFile(filepath.Join(c.dir, c.names[i]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	program := c.run[0]
	if c.old[i] != "" {
		program = c.old[i]
	}
	cmd := exec.Command(program, append(append([]string{}, c.run[1:]...), c.path(i))...)
	cmd.Stderr, cmd.Stdout = log, log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := start(cmd); err != nil {
		c.fail("cannot start a node: " + err.Error())
	}
	c.rec.logf("node   %s started", c.names[i])
	dead := make(chan struct{})
	c.mu.Lock()
	c.procs[i], c.dead[i], c.down[i] = cmd, dead, false
	c.mu.Unlock()
	go func() {
		err := cmd.Wait()
		log.Close()
		close(dead)
		c.mu.Lock()
		meant := c.down[i]
		if !meant {
			c.ends++
		}
		c.mu.Unlock()
		if !meant {
			c.rec.logf("node   %s ended by itself: %v; %s", c.names[i], err, c.lastPanic(i))
		}
	}()
}

// starts passes commands to the one thread that starts them: a process with Pdeathsig ends with the thread that started it.
var starts = func() chan func() {
	requests := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range requests {
			f()
		}
	}()
	return requests
}()

// start starts a process that ends with this one.
func start(cmd *exec.Cmd) error {
	result := make(chan error)
	starts <- func() { result <- cmd.Start() }
	return <-result
}

func logLevel() string {
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		return l
	}
	return "error"
}

// lastPanic returns the first line of a panic in a node's log.
func (c *cluster) lastPanic(i int) string {
	b, _ := os.ReadFile(filepath.Join(c.dir, c.names[i]+".log"))
	if n := bytes.LastIndex(b, []byte("panic:")); n >= 0 {
		line, _, _ := strings.Cut(string(b[n:]), "\n")
		return line
	}
	return ""
}

func (c *cluster) signal(i int, s syscall.Signal) {
	c.mu.Lock()
	p := c.procs[i]
	c.mu.Unlock()
	p.Process.Signal(s)
	c.rec.logf("node   %s gets %v", c.names[i], s)
}

// kill kills a node and waits until it has ended.
func (c *cluster) kill(i int) {
	c.mu.Lock()
	c.down[i] = true
	p, dead := c.procs[i], c.dead[i]
	c.mu.Unlock()
	if p == nil {
		return
	}
	p.Process.Kill()
	<-dead
	c.rec.logf("node   %s was killed", c.names[i])
}

// leading returns the index of the node in the leader's key.
func (c *cluster) leading() int {
	for i, name := range c.names {
		if name == c.state.leader() {
			return i
		}
	}
	return -1
}

// close ends everything that was started.
func (c *cluster) close() {
	for i := range c.names {
		c.kill(i)
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		os.Rename(c.dir, keep)
	} else {
		os.RemoveAll(c.dir)
	}
	c.rec.file.Close()
}

// fail ends the run as one that could not be done.
func (c *cluster) fail(why string) {
	c.rec.logf("the case cannot run: %s", why)
	fmt.Println("the case cannot run:", why)
	c.close()
	os.Exit(2)
}

// call sends a request to a node; the status is 0 without an answer.
func (c *cluster) call(method string, node int, path string, body any, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var r io.Reader
	if body != nil {
		r = bytes.NewReader(encode(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.clients[node]+path, r)
	if err != nil {
		return 0, nil
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/cbor")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

func (c *cluster) pick() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.next % len(c.names)
}

// submit submits a job as users do: again after 1 s or more, for up to 60 s.
func (c *cluster) submit(j job) bool {
	c.rec.with(func() { c.rec.track(j.ID).job = j })
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		switch c.submitOnce(j) {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
	}
	return false
}

// submitOnce sends a submission once and returns the status of the answer.
func (c *cluster) submitOnce(j job) int {
	status, body := c.call("POST", c.pick(), "/v1/jobs", j, 5*time.Second)
	var s jobStatus
	decoder.Unmarshal(body, &s)
	c.rec.answered("submit", j.ID, status, s)
	return status
}

// cancel calls a job off, again until it is answered.
func (c *cluster) cancel(id string, until time.Time) string {
	c.rec.with(func() { c.rec.track(id).asked = true })
	for ; time.Now().Before(until); time.Sleep(time.Second) {
		status, body := c.call("POST", c.pick(), "/v1/jobs/"+id+"/abort", nil, 5*time.Second)
		var s jobStatus
		decoder.Unmarshal(body, &s)
		c.rec.answered("cancel", id, status, s)
		if status == 200 {
			return s.Status
		}
	}
	return ""
}

// poll asks for a job once.
func (c *cluster) poll(id string) string {
	status, body := c.call("GET", c.pick(), "/v1/jobs/"+id, nil, 2*time.Second)
	var s jobStatus
	decoder.Unmarshal(body, &s)
	c.rec.answered("poll", id, status, s)
	if status != 200 {
		return ""
	}
	return s.Status
}

// watchJob polls a job every 5 s until it is over or the time has come. It tells whether the job was called done.
func (c *cluster) watchJob(id string, until time.Time) bool {
	for {
		if s := c.poll(id); s == "done" {
			return true
		}
		if !time.Now().Add(5 * time.Second).Before(until) {
			time.Sleep(time.Until(until))
			return c.poll(id) == "done"
		}
		time.Sleep(5 * time.Second)
	}
}
