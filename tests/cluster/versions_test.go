package cluster

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/peer"
	"caperlatch/internal/wire"
)

// TestReadyVersions checks which versions a node says are serving, as an operator asks between two
// steps of an upgrade.
func TestReadyVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		ask := func(step string, status, common int, heard ...bool) {
			t.Helper()
			code, b, err := wire.Call(t.Context(), c.userClient, http.MethodGet, "http://host-0:8080/ready", nil)
			var v peer.Versions
			if err == nil {
				err = wire.Unmarshal(b, &v)
			}
			if err != nil || code != status || v.Member != "host-0" || v.Version != peer.Version || v.Common != common || len(v.Peers) != len(heard) {
				t.Fatalf("%s: %d, %+v, %v", step, code, v, err)
			}
			for i, p := range v.Peers {
				if p.Member != memberName(i+1) || p.Responding != heard[i] || p.Responding != (p.Version == peer.Version) {
					t.Errorf("%s: %+v", step, p)
				}
			}
		}
		time.Sleep(3 * time.Second)
		ask("all serve", http.StatusOK, peer.Version, true, true)
		c.kill(2)
		time.Sleep(5 * time.Second)
		ask("one node is down", http.StatusOK, 0, true, false)
		c.start(2)
		time.Sleep(3 * time.Second)
		ask("it is up again", http.StatusOK, peer.Version, true, true)
		c.kill(1)
		c.kill(2)
		c.state.SetOutage(true)
		time.Sleep(5 * time.Second)
		ask("not ready", http.StatusServiceUnavailable, 0, false, false)
		c.state.SetOutage(false)
	})
}
