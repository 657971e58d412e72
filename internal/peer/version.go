package peer

import (
	"maps"
	"slices"
)

// Version is what this node speaks: what it stores and what it sends to its peers. It is
// raised when a version before it would misread either. The versions that may serve beside this one (testdata/versions)
// are 3a714ab, which is from before there were versions, sends none, and is read as 0; and 5fd93d5, 1f14824, d052fb0
// and 01da0cf, which send 1: their messages differ from this version's in fields that they ignore (see Request).
const Version = 1

// Versions is which nodes serve with which version, as one node knows it.
type Versions struct {
	Member  string          `json:"member"`
	Version int             `json:"version"`
	Common  int             `json:"common"` // what all nodes are known to speak at least
	Peers   []MemberVersion `json:"peers"`
}

// MemberVersion is what a node knows of a peer. One that has not answered lately may
// have come back with any version, and counts as 0.
type MemberVersion struct {
	Member     string `json:"member"`
	Responding bool   `json:"heard"` // it has answered lately
	Version    int    `json:"version"`
}

// Versions is what the nodes speak as far as it is known to member, which is this one. A
// peer with a later version than this node's speaks this one as well.
func (p *Peers) Versions(member string) Versions {
	versions := Versions{Member: member, Version: Version, Common: Version}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(p.clients)) {
		peer := MemberVersion{Member: name}
		if last := p.last[name]; last.isFreshWithin(ContactTimeout) {
			peer.Responding, peer.Version = true, max(0, last.state.Version)
		}
		versions.Common = min(versions.Common, peer.Version)
		versions.Peers = append(versions.Peers, peer)
	}
	return versions
}
