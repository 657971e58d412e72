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

// ProcessConfig is what processes are made of.
type ProcessConfig struct {
	// Settings are those of a node but for all addresses, which are filled in.
	Settings  func(node int) *settings.Settings
	Nodes     int
	Dir       string                    // for settings files and logs
	RuntimeOf func(task string) float64 // how long a task runs, in seconds
	// OnUnexpectedExit is told of a process that ended by itself; nil: nobody is.
	OnUnexpectedExit func(node int, log string, err error)
}

// idleProxyConns is how many connections to a node stay open for its next requests.
const idleProxyConns = 256

// ProcessCluster are controllers that run as processes on loopback, with stand-ins of all around them
// in this process.
type ProcessCluster struct {
	Users
	Leadership
	Net       *fake.Network
	Cloud     *fake.Cloud
	Dir       string
	Args      []string        // of each process, before those that name its settings
	Addresses []NodeAddresses // of each node

	config  ProcessConfig
	servers []*httptest.Server
	starter *starter

	mu       sync.Mutex
	commands []*exec.Cmd // of the nodes' present lives
	expected []bool      // nodes that may end by themselves
	stops    []func()
	lives    []int
}

// NodeAddresses are where a node listens.
type NodeAddresses struct{ Client, Peer string }

// NewProcessCluster prepares a cluster; Run starts its nodes.
func NewProcessCluster(config ProcessConfig) (*ProcessCluster, error) {
	p := &ProcessCluster{
		Leadership: Leadership{fake.NewStateService()},
		Net:        fake.NewNetwork(),
		Dir:        config.Dir,
		config:     config,
		starter:    newStarter(),
		commands:   make([]*exec.Cmd, config.Nodes),
		expected:   make([]bool, config.Nodes),
		stops:      make([]func(), config.Nodes),
		lives:      make([]int, config.Nodes),
	}
	for i := range config.Nodes {
		addrs, err := freeAddrs()
		if err != nil {
			return nil, err
		}
		p.Addresses = append(p.Addresses, addrs)
		p.Net.Handle(host(i), proxy(addrs.Client))
		p.stops[i] = func() {}
	}
	p.Users, p.Cloud = surroundings(p.Net, config.Nodes, config.Settings(0), config.RuntimeOf)
	p.Cloud.ServeWorker = p.serve
	p.serve(p.State)
	p.serve(p.Cloud)
	return p, nil
}

// SetClientAddress has a node listen for users at an address of the caller's choice, if it is free.
func (p *ProcessCluster) SetClientAddress(node int, address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return
	}
	listener.Close()
	p.Addresses[node].Client = address
	p.Net.Handle(host(node), proxy(address))
}

// freeAddrs are two addresses on loopback that nothing listens at.
func freeAddrs() (a NodeAddresses, err error) {
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

// proxy passes requests on to a node.
func proxy(address string) http.Handler {
	to := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	to.Transport = &http.Transport{MaxIdleConnsPerHost: idleProxyConns, DisableCompression: true}
	to.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	return to
}

// serve serves a handler on loopback. Workers are served under the cloud's lock, the
// others before.
func (p *ProcessCluster) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	p.servers = append(p.servers, server)
	return strings.TrimPrefix(server.URL, "http://")
}

// SettingsFile is where a node's settings are.
func (p *ProcessCluster) SettingsFile(node int) string {
	return filepath.Join(p.Dir, fmt.Sprintf(MemberFormat+".toml", node))
}

// writeSettings writes a node's settings, with the addresses of all.
func (p *ProcessCluster) writeSettings(node int) error {
	s := p.config.Settings(node)
	s.ClientListen, s.PeerListen = p.Addresses[node].Client, p.Addresses[node].Peer
	s.External.State = strings.TrimPrefix(p.servers[0].URL, "http://")
	s.External.Cloud = strings.TrimPrefix(p.servers[1].URL, "http://")
	s.Peers = nil
	for i, a := range p.Addresses {
		if i != node {
			s.Peers = append(s.Peers, settings.Peer{Member: fmt.Sprintf(MemberFormat, i), Zone: s.Zone, Addr: a.Peer})
		}
	}
	text, err := toml.Marshal(s)
	if err != nil {
		return fmt.Errorf("settings of node %d: %w", node, err)
	}
	return os.WriteFile(p.SettingsFile(node), text, 0o644)
}

// StartNode begins a new life of a node with a program.
func (p *ProcessCluster) StartNode(node int, program string) error {
	if err := p.writeSettings(node); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lives[node]++
	name := fmt.Sprintf(MemberFormat+"-%d-%s.log", node, p.lives[node], filepath.Base(program))
	log, err := os.Create(filepath.Join(p.Dir, name))
	if err != nil {
		return err
	}
	args := append(append([]string{}, p.Args...), "--config", p.SettingsFile(node))
	cmd := exec.Command(program, args...)
	cmd.Stderr, cmd.Env = log, append(os.Environ(), "LOG_LEVEL=info")
	if err := p.starter.start(cmd); err != nil {
		log.Close()
		return err
	}
	p.commands[node], p.expected[node] = cmd, false
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.await(node, cmd, log)
	}()
	p.stops[node] = func() {
		p.ExpectExit(node)
		_ = cmd.Process.Kill() // it may have ended
		<-ended
	}
	return nil
}

// await waits for a process to end, and tells if nobody asked it to.
func (p *ProcessCluster) await(node int, cmd *exec.Cmd, log *os.File) {
	err := cmd.Wait()
	log.Close()
	p.mu.Lock()
	expected := p.expected[node]
	p.mu.Unlock()
	if !expected && p.config.OnUnexpectedExit != nil {
		p.config.OnUnexpectedExit(node, log.Name(), err)
	}
}

// Kill ends a node's process as a crash would.
func (p *ProcessCluster) Kill(node int) {
	p.mu.Lock()
	stop := p.stops[node]
	p.mu.Unlock()
	stop()
}

// Process is a node's process in its present life.
func (p *ProcessCluster) Process(node int) *os.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.commands[node].Process
}

// Signal sends a signal to a node's process.
func (p *ProcessCluster) Signal(node int, s os.Signal) error {
	if err := p.Process(node).Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("node %d: %w", node, err)
	}
	return nil
}

// ExpectExit says that a node's process is about to be told to end.
func (p *ProcessCluster) ExpectExit(node int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected[node] = true
}

// AwaitReady waits until all nodes take requests.
func (p *ProcessCluster) AwaitReady(within time.Duration) error {
	for begun, node := time.Now(), 0; node < p.config.Nodes; {
		if code, _ := p.Request(http.MethodGet, node, "/ready", nil); code == http.StatusOK {
			node++
			continue
		}
		if time.Since(begun) > within {
			return fmt.Errorf("node %d takes no requests after %v", node, within)
		}
		time.Sleep(nextPause)
	}
	return nil
}

// Close ends all processes and stand-ins.
func (p *ProcessCluster) Close() {
	for i := range p.stops {
		p.Kill(i)
	}
	p.starter.close()
	p.Cloud.Close()
	for _, s := range p.servers {
		s.CloseClientConnections()
		s.Close()
	}
	p.State.Close()
}
