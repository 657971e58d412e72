package caperlatch

import (
	"context"
	"net"
	"net/http"

	"caperlatch/internal/peer"
	"caperlatch/internal/settings"
)

// Network is how a node reaches what is around it. The node does not close what it is given,
// but for connections and the listener that it opened by it.
type Network struct {
	// ServiceTransport carries requests to the state service and to the cloud.
	ServiceTransport http.RoundTripper
	// WorkerTransport carries the leader's requests to workers.
	WorkerTransport http.RoundTripper
	// DialPeer opens a stream to the address of a peer, as the settings name it.
	DialPeer peer.Dial
	// ListenForPeers opens the listener for peers' streams. It is called once, when the node
	// starts to run.
	ListenForPeers func() (net.Listener, error)
}

// maxIdleServiceConns is how many idle connections to the state service, and to the cloud, are
// kept open.
const maxIdleServiceConns = 8

// newTCPNetwork returns the network of a node in service.
func newTCPNetwork(s *settings.Settings) Network {
	var dialer net.Dialer
	return Network{
		ServiceTransport: &http.Transport{MaxIdleConnsPerHost: maxIdleServiceConns, DisableCompression: true},
		WorkerTransport:  &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		DialPeer:         func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
		ListenForPeers:   func() (net.Listener, error) { return net.Listen("tcp", s.PeerListen) },
	}
}
