package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// nodeCount is the number of controllers of the smaller deployments.
const nodeCount = 3

// errNotReady means that a case could not be set up.
var errNotReady = errors.New("the cluster did not become ready")

// cluster is a deployment whose controllers are processes, with stand-ins around them in this process.
type cluster struct {
	record  *recorder
	dir     string
	command []string // the run command of the deploy file
	params  settings.Params
	state   *stateService
	cloud   *cloud
	nodes   [nodeCount]*node
	client  *http.Client
	servers []*http.Server
}

// node is one controller.
type node struct {
	member, client, peer string
	stateAddr            string
	process              *exec.Cmd
	exited               chan struct{}
}

// newCluster starts the stand-ins. It starts no controllers.
func newCluster(r *recorder, command []string, p settings.Params, machines machineConfig) (*cluster, error) {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		record:  r,
		dir:     dir,
		command: command,
		params:  p,
		state:   newStateService(stateLimits{p.State.RPS, p.State.WriteRPS, p.State.TxnOps, p.State.ValueKB}),
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	var clients []string
	for i := range c.nodes {
		n := &node{member: fmt.Sprintf("host-%d", i)}
		for _, addr := range []*string{&n.client, &n.peer} {
			if *addr, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		if n.stateAddr, err = c.serve(c.state.handler(n.member)); err != nil {
			return nil, err
		}
		c.nodes[i] = n
		clients = append(clients, n.client)
	}
	c.cloud = newCloud(c, machines, clients)
	return c, nil
}

// freeAddress returns a loopback address that no process listens at.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// serve serves a handler at a loopback address until close.
func (c *cluster) serve(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(l) }() // Serve ends with an error when close closes the server
	return l.Addr().String(), nil
}

// start starts the process of a controller.
func (c *cluster) start(i int) error {
	n := c.nodes[i]
	s := settings.Settings{Member: n.member, Zone: c.params.Zones[0], ClientListen: n.client, PeerListen: n.peer, Params: c.params}
	s.External.State, s.External.Cloud = n.stateAddr, c.cloud.address
	for _, other := range c.nodes {
		if other != n {
			s.Peers = append(s.Peers, settings.Peer{Member: other.member, Zone: s.Zone, Addr: other.peer})
		}
	}
	text, err := toml.Marshal(s)
	if err != nil {
		return err
	}
	path := filepath.Join(c.dir, n.member+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, n.member+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(c.command[0], append(c.command[1:], path)...)
	n.process.Stderr, n.process.Env = log, append(os.Environ(), "LOG_LEVEL="+logLevel())
	if err := n.process.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		defer close(exited)
		err := p.Wait()
		log.Close()
		c.record.printf("%s: its process has ended: %v", n.member, err)
	}(n.process, n.exited)
	c.record.printf("%s: started", n.member)
	return nil
}

func logLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}

// kill ends the process of a controller without a warning.
func (c *cluster) kill(i int) {
	n := c.nodes[i]
	if n.process == nil {
		return
	}
	_ = n.process.Process.Signal(syscall.SIGKILL) // an error means that it has ended already
	<-n.exited
}

// close ends all that the case has started.
func (c *cluster) close() {
	for i := range c.nodes {
		c.kill(i)
	}
	c.cloud.close()
	for _, s := range c.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		c.record.printf("kept: %s", c.dir)
	}
}

// request sends a request of a user to a controller. The status is 0 if there is no answer within the time that users
// wait.
func (c *cluster) request(method string, i int, path string, body any) (status int, answer wire.JobStatus) {
	wait := 5 * time.Second
	if method == http.MethodGet {
		wait = 2 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	status, content, err := wire.Call(ctx, c.client, method, "http://"+c.nodes[i].client+path, body)
	if err != nil {
		return 0, wire.JobStatus{}
	}
	_ = wire.Unmarshal(content, &answer) // an error has no job status
	return status, answer
}

// awaitReady waits until a controller is ready.
func (c *cluster) awaitReady(i int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if status, _ := c.request(http.MethodGet, i, "/ready", nil); status == http.StatusOK {
			c.record.printf("%s: ready", c.nodes[i].member)
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, c.nodes[i].member)
}

// submit submits a job as a user does, for 60 s at most, and reports whether it was accepted.
func (c *cluster) submit(i int, job any, id string) bool {
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		status, answer := c.request(http.MethodPost, i, "/v1/jobs", job)
		c.record.printf("user: POST /v1/jobs %s at host-%d: %d %s", id, i, status, answer.State)
		switch status {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		i = (i + 1) % nodeCount
	}
	return false
}

// startAll starts all controllers and waits until they are ready.
func (c *cluster) startAll() error {
	for i := range c.nodes {
		if err := c.start(i); err != nil {
			return err
		}
	}
	for i := range c.nodes {
		if err := c.awaitReady(i, 30*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// awaitDone asks about a job every 2 s until it is done, and reports whether it was done in time.
func (c *cluster) awaitDone(id string, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(2 * time.Second) {
		status, answer := c.request(http.MethodGet, 0, "/v1/jobs/"+id, nil)
		c.record.printf("user: GET /v1/jobs/%s at host-0: %d %s", id, status, answer.State)
		if answer.State == wire.JobDone {
			return true
		}
	}
	return false
}

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, began: time.Now()}, nil
}

// printf writes a line, with the time since the beginning.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := strings.TrimRight(fmt.Sprintf(format, args...), "\n")
	fmt.Fprintf(r.file, "%7.2f %s\n", time.Since(r.began).Seconds(), line)
}
