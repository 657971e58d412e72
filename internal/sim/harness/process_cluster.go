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

// ProcessConfig configures a ProcessCluster.
type ProcessConfig struct {
	// Settings returns the settings of a node without addresses; the cluster fills these in. It is called for each
	// start of a node.
	Settings  func(node int) *settings.Settings
	Nodes     int                       // number of nodes
	Dir       string                    // directory for settings files and logs
	RuntimeOf func(task string) float64 // returns the runtime of a task, in seconds
	// UnknownFields adds unknown fields to the messages of the fakes and the users; nil: none. Nodes of earlier versions
	// may take some of them for known ones.
	UnknownFields *fake.UnknownFields
	// Copies returns the copies of each request to a node or a fake; nil: there are none.
	Copies fake.CopiesFunc
	// OnUnexpectedExit, unless it is nil, is called when a process exits although the cluster did not kill it and
	// ExpectExit was not called. log is the path of its log.
	OnUnexpectedExit func(node int, log string, err error)
}

// maxIdleProxyConns is the maximum number of idle connections to a node that are kept open for later requests.
const maxIdleProxyConns = 256

// ProcessCluster is a cluster of controllers that run as processes on loopback. The fakes of the external systems run
// in this process. A node must be started by only one goroutine at a time.
type ProcessCluster struct {
	Users
	Leadership
	Net       *fake.Network
	Cloud     *fake.Cloud
	Dir       string
	Args      []string        // command-line arguments of each process, before --config
	Addresses []NodeAddresses // by node

	config   ProcessConfig
	repeater *fake.Repeater // nil: requests to the fakes have no copies
	// servers are those of the state service and of the cloud, followed by those of the workers, which are added with
	// the cloud's lock held.
	servers []*httptest.Server
	starter *processStarter

	mu           sync.Mutex  // guards the fields below
	commands     []*exec.Cmd // by node: the process of its current incarnation
	exitExpected []bool      // by node: whether an exit of its process is expected
	killFuncs    []func()    // by node: kills the process and waits until it has exited
	incarnations []int       // number of incarnations so far, by node
}

// NodeAddresses are the addresses at which a node listens.
type NodeAddresses struct{ Client, Peer string }

// NewProcessCluster creates a cluster and starts its fakes. StartNode starts the nodes; Close stops nodes and fakes.
func NewProcessCluster(config ProcessConfig) (*ProcessCluster, error) {
	c := &ProcessCluster{
		Leadership:   Leadership{fake.NewStateService()},
		Net:          fake.NewNetwork(),
		Dir:          config.Dir,
		config:       config,
		starter:      newProcessStarter(),
		commands:     make([]*exec.Cmd, config.Nodes),
		exitExpected: make([]bool, config.Nodes),
		killFuncs:    make([]func(), config.Nodes),
		incarnations: make([]int, config.Nodes),
	}
	for i := range config.Nodes {
		addrs, err := freeAddresses()
		if err != nil {
			c.starter.close()
			return nil, err
		}
		c.Addresses = append(c.Addresses, addrs)
		c.Net.Handle(nodeHost(i), proxy(addrs.Client))
		c.killFuncs[i] = func() {}
	}
	c.Users, c.Cloud = newUsersAndCloud(c.Net, config.Nodes, config.Settings(0), config.RuntimeOf, config.UnknownFields)
	if config.Copies != nil {
		c.Net.SetCopies(config.Copies)
		c.repeater = fake.NewRepeater(config.Copies)
	}
	c.Cloud.ServeWorker = c.serve
	c.serve(config.UnknownFields.Handler(c.State))
	c.serve(config.UnknownFields.Handler(c.Cloud))
	return c, nil
}

// SetClientAddress sets the address at which a node listens for clients from its next start on. It does nothing if the
// address is not free.
func (c *ProcessCluster) SetClientAddress(node int, address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return
	}
	listener.Close()
	c.Addresses[node].Client = address
	c.Net.Handle(nodeHost(node), proxy(address))
}

// freeAddresses returns two free addresses on loopback.
func freeAddresses() (a NodeAddresses, err error) {
	for _, addr := range []*string{&a.Client, &a.Peer} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return a, fmt.Errorf("listen on loopback: %w", err)
		}
		*addr = listener.Addr().String()
		defer listener.Close() // closed only after both are found, because they might otherwise be the same
	}
	return a, nil
}

// proxy returns a handler that forwards requests to a node.
func proxy(address string) http.Handler {
	reverseProxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	reverseProxy.Transport = &http.Transport{MaxIdleConnsPerHost: maxIdleProxyConns, DisableCompression: true}
	reverseProxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	return reverseProxy
}

// serve serves a handler on loopback until Close, and returns the address. For workers, it is called with the cloud's
// lock held; for the state service and the cloud, before any worker exists.
func (c *ProcessCluster) serve(h http.Handler) string {
	if c.repeater != nil {
		h = c.repeater.Handler(h)
	}
	server := httptest.NewServer(h)
	c.servers = append(c.servers, server)
	return strings.TrimPrefix(server.URL, "http://")
}

// SettingsFile returns the path of a node's settings file.
func (c *ProcessCluster) SettingsFile(node int) string {
	return filepath.Join(c.Dir, fmt.Sprintf(MemberFormat+".toml", node))
}

// writeSettings writes a node's settings file, with the addresses of all nodes and fakes.
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
		return fmt.Errorf("encode settings of node %d: %w", node, err)
	}
	return os.WriteFile(c.SettingsFile(node), text, 0o644)
}

// StartNode starts a new incarnation of a node by running a program, whose log is written to a file in Dir.
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
	c.killFuncs[node] = func() {
		c.ExpectExit(node)
		_ = cmd.Process.Kill() // an error means that the process has already exited
		<-exited
	}
	return nil
}

// waitForExit waits until a process exits, and calls OnUnexpectedExit unless the exit is expected.
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

// Kill kills a node's process, like a crash, and waits until it has exited.
func (c *ProcessCluster) Kill(node int) {
	c.mu.Lock()
	kill := c.killFuncs[node]
	c.mu.Unlock()
	kill()
}

// Process returns the process of a node's current incarnation.
func (c *ProcessCluster) Process(node int) *os.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commands[node].Process
}

// Signal sends a signal to a node's process.
func (c *ProcessCluster) Signal(node int, s os.Signal) error {
	if err := c.Process(node).Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal node %d: %w", node, err)
	}
	return nil
}

// ExpectExit marks the exit of a node's current process as expected.
func (c *ProcessCluster) ExpectExit(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exitExpected[node] = true
}

// AwaitReady waits until all nodes are ready for requests.
func (c *ProcessCluster) AwaitReady(timeout time.Duration) error {
	for start, node := time.Now(), 0; node < c.config.Nodes; {
		if code, _ := c.Request(http.MethodGet, node, "/ready", nil); code == http.StatusOK {
			node++
			continue
		}
		if time.Since(start) > timeout {
			return fmt.Errorf("node %d is not ready after %v", node, timeout)
		}
		time.Sleep(shortPollInterval)
	}
	return nil
}

// Close kills all processes and stops the fakes.
func (c *ProcessCluster) Close() {
	for i := range c.killFuncs {
		c.Kill(i)
	}
	c.starter.close()
	c.Net.SetCopies(nil)
	c.Cloud.Close()
	for _, s := range c.servers {
		s.CloseClientConnections()
		s.Close()
	}
	if c.repeater != nil {
		c.repeater.Wait()
		c.Net.WaitDelayed()
	}
	c.State.Close()
}
