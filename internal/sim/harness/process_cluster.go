package harness

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
)

// ProcessConfig is what a ProcessCluster is made of.
type ProcessConfig struct {
	// Settings returns those of a node but for all addresses, which are filled in. It is called for
	// each node whenever it starts.
	Settings  func(node int) *settings.Settings
	Nodes     int
	Dir       string                    // for settings files and logs
	RuntimeOf func(task string) float64 // how long a task runs, in seconds
	// OnUnexpectedExit is called when a process ends by itself; it may be nil.
	OnUnexpectedExit func(node int, log string, err error)
}

// maxIdleProxyConns is how many connections to a node stay open for its next requests.
const maxIdleProxyConns = 256

// ProcessCluster is a cluster of controllers that run as processes on loopback, with fakes of all
// that surrounds them in this process. A node is started by one goroutine at a time.
type ProcessCluster struct {
	Users
	Leadership
	Net       *fake.Network
	Cloud     *fake.Cloud
	Dir       string
	Args      []string        // of each process, before those that name its settings
	Addresses []NodeAddresses // of each node

	config  ProcessConfig
	servers []*httptest.Server // the state service's, the cloud's, then workers' under the cloud's lock
	starter *processStarter

	mu           sync.Mutex  // guards what follows
	commands     []*exec.Cmd // of the nodes' present incarnations
	exitExpected []bool      // nodes that may end by themselves
	stops        []func()    // by node: kills its process and waits until it has ended
	incarnations []int       // of each node so far
}

// NodeAddresses are where a node listens.
type NodeAddresses struct{ Client, Peer string }

// NewProcessCluster prepares a cluster; StartNode starts its nodes, Close ends all of it.
func NewProcessCluster(config ProcessConfig) (*ProcessCluster, error) {
	c := &ProcessCluster{
		Leadership:   Leadership{fake.NewStateService()},
		Net:          fake.NewNetwork(),
		Dir:          config.Dir,
		config:       config,
		starter:      newProcessStarter(),
		commands:     make([]*exec.Cmd, config.Nodes),
		exitExpected: make([]bool, config.Nodes),
		stops:        make([]func(), config.Nodes),
		incarnations: make([]int, config.Nodes),
	}
	for i := range config.Nodes {
		addrs, err := freeAddresses()
		if err != nil {
			c.starter.close()
			return nil, err
		}
		c.Addresses = append(c.Addresses, addrs)
		c.Net.Handle(userHost(i), proxy(addrs.Client))
		c.stops[i] = func() {}
	}
	c.Users, c.Cloud = newSurroundings(c.Net, config.Nodes, config.Settings(0), config.RuntimeOf)
	c.Cloud.ServeWorker = c.serve
	c.serve(c.State)
	c.serve(c.Cloud)
	return c, nil
}

// SetClientAddress has a node listen for users at an address of the caller's choice, if it is free.
func (c *ProcessCluster) SetClientAddress(node int, address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return
	}
	listener.Close()
	c.Addresses[node].Client = address
	c.Net.Handle(userHost(node), proxy(address))
}

// freeAddresses returns two addresses on loopback that nothing listens at.
func freeAddresses() (a NodeAddresses, err error) {
	for _, addr := range []*string{&a.Client, &a.Peer} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return a, fmt.Errorf("loopback: %w", err)
		}
		*addr = listener.Addr().String()
		defer listener.Close() // not before both are found, or they might be the same
	}
	return a, nil
}

// proxy returns a handler that passes requests on to a node.
func proxy(address string) http.Handler {
	to := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	to.Transport = &http.Transport{MaxIdleConnsPerHost: maxIdleProxyConns, DisableCompression: true}
	to.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	return to
}

// serve serves a handler on loopback until Close, and returns the address. Workers are served under
// the cloud's lock, the others before.
func (c *ProcessCluster) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	c.servers = append(c.servers, server)
	return strings.TrimPrefix(server.URL, "http://")
}

// SettingsFile returns the path of a node's settings.
func (c *ProcessCluster) SettingsFile(node int) string {
	return filepath.Join(c.Dir, fmt.Sprintf(MemberFormat+".toml", node))
}

// writeSettings writes a node's settings, with the addresses of all.
func (c *ProcessCluster) writeSettings(node int) error {
	s := c.config.Settings(node)
	s.ClientListen, s.PeerListen = c.Addresses[node].Client, c.Addresses[node].Peer
	s.External.State = strings.TrimPrefix(c.servers[0].URL, "http://")
	s.External.Cloud = strings.TrimPrefix(c.servers[1].URL, "http://")
	s.Peers = nil
	for i, a := range c.Addresses {
		if i != node {
			s.Peers = append(s.Peers, settings.Peer{Member: fmt.Sprintf(MemberFormat, i), Zone: s.Zone, Addr: a.Peer})
		}
	}
	text, err := toml.Marshal(s)
	if err != nil {
		return fmt.Errorf("settings of node %d: %w", node, err)
	}
	return os.WriteFile(c.SettingsFile(node), text, 0o644)
}

// StartNode starts a new incarnation of a node with a program, which writes its log to Dir.
func (c *ProcessCluster) StartNode(node int, program string) error {
	if err := c.writeSettings(node); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnations[node]++
	name := fmt.Sprintf(MemberFormat+"-%d-%s.log", node, c.incarnations[node], filepath.Base(program))
	log, err := os.Create(filepath.Join(c.Dir, name))
	if err != nil {
		return err
	}
	args := append(append([]string{}, c.Args...), "--config", c.SettingsFile(node))
	cmd := exec.Command(program, args...)
	cmd.Stderr, cmd.Env = log, append(os.Environ(), "LOG_LEVEL=info")
	if err := c.starter.start(cmd); err != nil {
		log.Close()
		return err
	}
	c.commands[node], c.exitExpected[node] = cmd, false
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		c.waitForExit(node, cmd, log)
	}()
	c.stops[node] = func() {
		c.ExpectExit(node)
		_ = cmd.Process.Kill() // it may have exited
		<-exited
	}
	return nil
}

// waitForExit waits until a process exits, and calls OnUnexpectedExit if nobody ended it.
func (c *ProcessCluster) waitForExit(node int, cmd *exec.Cmd, log *os.File) {
	err := cmd.Wait()
	log.Close()
	c.mu.Lock()
	expected := c.exitExpected[node]
	c.mu.Unlock()
	if !expected && c.config.OnUnexpectedExit != nil {
		c.config.OnUnexpectedExit(node, log.Name(), err)
	}
}

// Kill ends a node's process as a crash would.
func (c *ProcessCluster) Kill(node int) {
	c.mu.Lock()
	stop := c.stops[node]
	c.mu.Unlock()
	stop()
}

// Process returns the process of a node's present incarnation.
func (c *ProcessCluster) Process(node int) *os.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commands[node].Process
}

// Signal sends a signal to a node's process.
func (c *ProcessCluster) Signal(node int, s os.Signal) error {
	if err := c.Process(node).Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("node %d: %w", node, err)
	}
	return nil
}

// ExpectExit says that the exit of a node's process is no longer unexpected.
func (c *ProcessCluster) ExpectExit(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exitExpected[node] = true
}

// AwaitReady waits until all nodes take requests.
func (c *ProcessCluster) AwaitReady(timeout time.Duration) error {
	for start, node := time.Now(), 0; node < c.config.Nodes; {
		if code, _ := c.Request(http.MethodGet, node, "/ready", nil); code == http.StatusOK {
			node++
			continue
		}
		if time.Since(start) > timeout {
			return fmt.Errorf("node %d takes no requests after %v", node, timeout)
		}
		time.Sleep(nextPollInterval)
	}
	return nil
}

// Close ends all processes and fakes.
func (c *ProcessCluster) Close() {
	for i := range c.stops {
		c.Kill(i)
	}
	c.starter.close()
	c.Cloud.Close()
	for _, s := range c.servers {
		s.CloseClientConnections()
		s.Close()
	}
	c.State.Close()
}
