package peer

import (
	"maps"
	"slices"
)

// Version is the version of the formats that this node stores and sends to its peers. It is incremented when an earlier
// version would misread either. The versions that may run beside this one (testdata/versions) are 3a714ab, which predates
// version numbers, sends none and is treated as 0; and 5fd93d5, 1f14824, d052fb0, 01da0cf and d64cbaf, which send 1:
// their messages differ from this version's only in fields that they ignore (see Request).
const Version = 1

// Versions is one node's view of the versions of all nodes.
type Versions struct {
	Member  string          `json:"member"`
	Version int             `json:"version"`
	Common  int             `json:"common"` // the highest version that all nodes are known to support
	Peers   []MemberVersion `json:"peers"`
}

// MemberVersion is the known version of a peer. A peer that has not responded recently counts as version 0, because it
// may have restarted with any version.
type MemberVersion struct {
	Member     string `json:"member"`
	Responding bool   `json:"heard"` // it has responded recently
	Version    int    `json:"version"`
}

// Versions returns the versions of all nodes as known to this node, whose name is member. A peer with a later version
// supports this node's version too.
func (p *Peers) Versions(member string) Versions {
	versions := Versions{Member: member, Version: Version, Common: Version}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(p.clients)) {
		peer := MemberVersion{Member: name}
		if last := p.last[name]; last.isNewerThan(ContactTimeout) {
			peer.Responding, peer.Version = true, max(0, last.state.Version)
		}
		versions.Common = min(versions.Common, peer.Version)
		versions.Peers = append(versions.Peers, peer)
	}
	return versions
}
