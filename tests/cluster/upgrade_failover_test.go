package cluster

import (
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// oldVersion is an earlier version that may serve beside this one, and from which nodes are
// upgraded.
type oldVersion struct {
	name  string // first digits of its commit, and its directory in testdata/versions
	gangs bool   // whether it runs gangs
	// args are the arguments of the new processes in a rolling upgrade from it.
	args []string
}

var oldVersions = []oldVersion{
	{"3a714ab", false, nil},
	{"5fd93d5", true, nil},
	{"1f14824", true, []string{"--standby", "deploy/standby.xml", "--features", "deploy/membership.xml"}},
	{"d052fb0", true, []string{"--standby", "deploy/standby.xml", "--features", "deploy/zones.xml"}},
	{"01da0cf", true, []string{"--standby", "deploy/standby.xml", "--features", "deploy/zones.xml"}},
	{"d64cbaf", true, []string{"--standby", "deploy/standby.xml", "--features", "deploy/zones.xml"}},
}

// path returns the path of a file that was captured from the version.
func (v oldVersion) path(file string) string {
	return filepath.Join("testdata", "versions", v.name, file)
}

// commit returns the full hash of the version.
func (v oldVersion) commit(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(v.path("COMMIT"))
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(b))
}

// captured is what was captured from a version (testdata/versions/capture), by the situation in
// which it was.
type captured struct {
	stored   map[string]map[string]wire.RawMessage // by key
	machines map[string][]wire.Heartbeat
}

// captured reads what was captured from the version.
func (v oldVersion) captured(t *testing.T) (c captured) {
	t.Helper()
	for file, into := range map[string]any{"stored.cbor": &c.stored, "machines.cbor": &c.machines} {
		b, err := os.ReadFile(v.path(file))
		if err == nil {
			err = wire.Unmarshal(b, into)
		}
		if err != nil {
			t.Fatalf("%s: %v", v.path(file), err)
		}
	}
	return c
}

// TestProductionIsCaptured checks that the version in production is one of those that the tests of
// upgrades know, and that each of them was captured from its own commit.
func TestProductionIsCaptured(t *testing.T) {
	b, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(b)
	known := false
	for _, v := range oldVersions {
		commit := v.commit(t)
		if !strings.HasPrefix(commit, v.name) || len(commit) != 40 {
			t.Errorf("%s was captured from %s", v.name, commit)
		}
		known = known || found != nil && commit == string(found[1])
	}
	if found != nil && !known {
		t.Errorf("production is %s, which is not in testdata/versions", found[1])
	}
}

// restoreRules passes on to the checker of the rules what happened before the stored values were
// captured, and returns the jobs stored with the final status that each must reach.
func (c *cluster) restoreRules(stored map[string]wire.RawMessage) map[string]string {
	const before = "before"
	c.rules.ObserveLaunch(before, wire.LaunchRequest{InstanceType: "m4", Zone: "a"})
	done := func(task string) {
		c.rules.ObserveStart(task, before)
		c.rules.ObserveExit(task, before, true)
	}
	finalStatuses := map[string]string{}
	for key, value := range stored {
		id, ok := strings.CutPrefix(key, replica.JobPrefix)
		if !ok {
			continue
		}
		var j replica.Job
		if err := wire.Unmarshal(value, &j); err != nil {
			c.t.Fatal(err)
		}
		finalStatuses[id] = wire.JobDone
		if !j.IsFinal() {
			c.rules.ObserveSubmission(*j.Spec)
			continue
		}
		finalStatuses[id] = j.State
		// Only the capture knows what a job was that has ended.
		c.rules.ObserveSubmission(wire.Job{ID: id, Team: "blue", Tasks: 2})
		if j.State == wire.JobCancelled {
			c.rules.ObserveRequest("/v1/jobs/" + id + "/abort")
		} else {
			done(id + "/0")
			done(id + "/1")
		}
	}
	for key, value := range stored {
		name, ok := strings.CutPrefix(key, replica.ProgressPrefix)
		if !ok {
			continue
		}
		var p struct {
			Done string `json:"done"`
		}
		if err := wire.Unmarshal(value, &p); err != nil {
			c.t.Fatal(err)
		}
		bits, err := base64.RawStdEncoding.DecodeString(p.Done)
		if err != nil {
			c.t.Fatal(err)
		}
		id, _, _ := strings.Cut(name, "/")
		for i := range 8 * len(bits) {
			if bits[i/8]&(1<<(i%8)) != 0 {
				done(fmt.Sprintf("%s/%d", id, i))
			}
		}
	}
	return finalStatuses
}

// capturedGang is the gang of the situations in wantGangStarts.
const capturedGang = "j-000002"

// gangStarts counts what starts of a gang after a failover.
type gangStarts struct {
	tasks int // starts of its tasks
	runs  int // attempts of which all tasks ran
}

// wantGangStarts is what starts of the gang if its machines are still there, by situation as
// captured: a gang that runs or is done does not start again, one that waits is completed, and one
// that was stopped runs again.
var wantGangStarts = map[string]gangStarts{
	"a gang waits for a machine that hangs":                      {1, 1},
	"a gang runs":                                                {0, 0},
	"a gang is being stopped":                                    {3, 1},
	"a gang is done, which is not stored":                        {0, 0},
	"a gang is done, which is not stored, and a machine is gone": {0, 0},
	"a list is being divided, a gang runs":                       {0, 0},
	"a list was divided, a gang runs":                            {0, 0},
}

// failoverCase is how this version takes over from an earlier one.
type failoverCase struct {
	name             string
	machinesPresent  bool          // the captured machines still run their tasks
	lowerLimitsAfter time.Duration // negative: never
	killLeader       bool          // the first leader is killed
}

// TestFailoverFromOldVersions has this version take over what earlier ones stored, with the same
// limits or with lower ones, while the captured machines are gone or still there. What had ended
// stays so, what ran completes, and nodes that are killed meanwhile change nothing of that.
func TestFailoverFromOldVersions(t *testing.T) {
	cases := []failoverCase{
		{"same limits", false, -1, false},
		{"lower limits", false, 0, false},
		{"limits are lowered as the leader is killed", false, 3 * time.Second, true},
		{"machines present, same limits", true, -1, false},
		{"machines present, lower limits", true, 0, false},
		{"machines present, limits are lowered as the leader is killed", true, 3 * time.Second, true},
	}
	for _, v := range oldVersions {
		old := v.captured(t)
		for situation, stored := range old.stored {
			for _, tc := range cases {
				t.Run(v.name+", "+situation+", "+tc.name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := newTunedCluster(t, 3, announceLimits)
						defer c.close()
						c.restoreAndFinish(tc, stored, old.machines[situation])
						got := gangStarts{c.cloud.StartsOf(capturedGang), c.cloud.GangRuns(capturedGang)}
						if want, known := wantGangStarts[situation]; known && tc.machinesPresent && got != want {
							t.Errorf("of the gang there started %+v, want %+v", got, want)
						}
						if n := c.state.RejectedTxns(); n != 0 {
							t.Errorf("%d transactions were rejected for their size", n)
						}
						if broken := c.cloud.Violations(); broken != nil {
							t.Error(broken)
						}
					})
				})
			}
		}
	}
}

// restoreAndFinish starts a cluster with what was stored, and waits for the final statuses of all
// jobs.
func (c *cluster) restoreAndFinish(how failoverCase, stored map[string]wire.RawMessage, machines []wire.Heartbeat) {
	for i := range c.size {
		c.kill(i)
	}
	c.cloud.RuntimeOf = func(task string) float64 {
		id, _, _ := strings.Cut(task, "/")
		if c.rules.Job(id).Kind == wire.KindGang {
			return 12 // beyond the failover
		}
		return 3
	}
	for key, value := range stored {
		if key != replica.LeaderKey { // its session has ended
			c.state.Put(key, value)
		}
	}
	finalStatuses := c.restoreRules(stored)
	if how.machinesPresent {
		if err := c.cloud.Restore(machines); err != nil {
			c.t.Fatal(err)
		}
	}
	if how.lowerLimitsAfter == 0 {
		c.state.SetLimits(loweredLimits)
	}
	for i := range c.size {
		c.start(i)
	}
	if i := c.leader(); how.killLeader {
		time.Sleep(how.lowerLimitsAfter)
		c.state.SetLimits(loweredLimits)
		c.kill(i)
		time.Sleep(time.Second)
		c.start(i)
	}
	for id, status := range finalStatuses {
		c.awaitStatus(id, status, 4*time.Minute)
	}
}
