package peer

import (
	"maps"
	"slices"
)

// Version is what this node speaks: what it stores and what it says to its peers. It is
// raised when a version before it would misread either. Nodes of before there were
// versions tell nothing of theirs, which is read as 0.
const Version = 1

// Versions tells who serves with which version, as one node knows it.
type Versions struct {
	Member  string          `json:"member"`
	Version int             `json:"version"`
	Common  int             `json:"common"` // what all nodes are known to speak at least
	Peers   []MemberVersion `json:"peers"`
}

// MemberVersion is what a node knows of a peer. One that has not been heard lately may
// have come back with any version, and counts as 0.
type MemberVersion struct {
	Member     string `json:"member"`
	Responding bool   `json:"heard"`
	Version    int    `json:"version"`
}

// Versions is what the nodes speak as far as it is known to member, which is this one. A
// peer with a later version than this node's speaks this one as well.
func (p *Peers) Versions(member string) Versions {
	all := Versions{Member: member, Version: Version, Common: Version}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range slices.Sorted(maps.Keys(p.clients)) {
		one := MemberVersion{Member: m}
		if last := p.last[m]; last.isFreshWithin(FreshWithin) {
			one.Responding, one.Version = true, max(0, last.state.Version)
		}
		all.Common = min(all.Common, one.Version)
		all.Peers = append(all.Peers, one)
	}
	return all
}
