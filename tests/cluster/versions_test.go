package cluster

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/peer"
	"caperlatch/internal/wire"
)

// TestReadyVersions checks the versions that a node reports as serving when an operator asks for them between two steps
// of an upgrade.
func TestReadyVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		checkVersions := func(step string, wantCode, wantCommon int, wantResponding ...bool) {
			t.Helper()
			code, b, err := wire.Call(t.Context(), c.userClient, http.MethodGet, "http://host-0:8080/ready", nil)
			var v peer.Versions
			if err == nil {
				err = wire.Unmarshal(b, &v)
			}
			if err != nil || code != wantCode || v.Member != "host-0" || v.Version != peer.Version || v.Common != wantCommon || len(v.Peers) != len(wantResponding) {
				t.Fatalf("%s: got code %d, versions %+v, error %v; want code %d from host-0 with version %d, common version %d and %d peers", step, code, v, err, wantCode, peer.Version, wantCommon, len(wantResponding))
			}
			for i, p := range v.Peers {
				if p.Member != memberName(i+1) || p.Responding != wantResponding[i] || p.Responding != (p.Version == peer.Version) {
					t.Errorf("%s: got %+v for a peer, want %s with responding %t, and with version %d only if it responds", step, p, memberName(i+1), wantResponding[i], peer.Version)
				}
			}
		}
		time.Sleep(3 * time.Second)
		checkVersions("all nodes are up", http.StatusOK, peer.Version, true, true)
		c.kill(2)
		time.Sleep(5 * time.Second)
		checkVersions("one node is down", http.StatusOK, 0, true, false)
		c.start(2)
		time.Sleep(3 * time.Second)
		checkVersions("the node is up again", http.StatusOK, peer.Version, true, true)
		c.kill(1)
		c.kill(2)
		c.state.SetOutage(true)
		time.Sleep(5 * time.Second)
		checkVersions("the other nodes and the state service are down", http.StatusServiceUnavailable, 0, false, false)
		c.state.SetOutage(false)
	})
}
