package caperlatch

import (
	"context"
	"net"
	"net/http"

	"caperlatch/internal/peer"
	"caperlatch/internal/settings"
)

// Network provides a node's connections to other processes. The node closes the connections and the listener that it
// opens through Network, but not the transports.
type Network struct {
	// ServiceTransport carries requests to the state service and to the cloud.
	ServiceTransport http.RoundTripper
	// WorkerTransport carries the leader's requests to workers.
	WorkerTransport http.RoundTripper
	// DialPeer opens a connection to a peer. The address is the one in the settings.
	DialPeer peer.Dial
	// ListenForPeers opens the listener for the peers' connections. It is called once, when the node starts to run.
	ListenForPeers func() (net.Listener, error)
}

// maxIdleServiceConns is how many idle connections to each of the state service and the cloud API are kept open.
const maxIdleServiceConns = 8

// newTCPNetwork returns the network of a production node, which uses TCP.
func newTCPNetwork(s *settings.Settings) Network {
	var dialer net.Dialer
	return Network{
		ServiceTransport: &http.Transport{MaxIdleConnsPerHost: maxIdleServiceConns, DisableCompression: true},
		WorkerTransport:  &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		DialPeer:         func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
		ListenForPeers:   func() (net.Listener, error) { return net.Listen("tcp", s.PeerListen) },
	}
}
