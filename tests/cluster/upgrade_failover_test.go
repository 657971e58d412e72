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

// oldVersion is an earlier version from which nodes are upgraded, and which may serve beside this one during an upgrade.
type oldVersion struct {
	name  string // first digits of its commit hash, and its directory in testdata/versions
	gangs bool   // whether the version supports gangs
	// args are the arguments of the new processes in a rolling upgrade from the version.
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

// commit returns the full commit hash of the version.
func (v oldVersion) commit(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(v.path("COMMIT"))
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(b))
}

// captureData is the data that testdata/versions/capture captured from a version.
type captureData struct {
	stored   map[string]map[string]wire.RawMessage // stored values, by situation and key
	machines map[string][]wire.Heartbeat           // heartbeats of the machines, by situation
}

// readCapture reads the data that was captured from the version.
func (v oldVersion) readCapture(t *testing.T) (c captureData) {
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

// TestProductionVersionIsCaptured checks that the version in production is one of oldVersions, which the upgrade tests
// cover, and that the data of each version was captured from the version's own commit.
func TestProductionVersionIsCaptured(t *testing.T) {
	b, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(b)
	captured := false
	for _, v := range oldVersions {
		commit := v.commit(t)
		if !strings.HasPrefix(commit, v.name) || len(commit) != 40 {
			t.Errorf("the data of version %s was captured from commit %s, want a full hash that begins with the name", v.name, commit)
		}
		captured = captured || found != nil && commit == string(found[1])
	}
	if found != nil && !captured {
		t.Errorf("the version in production is %s, which is not among the captured versions in testdata/versions", found[1])
	}
}

// replayHistory reports to the checker of the rules what happened before the stored values were captured: submissions,
// cancellations and completed tasks. It returns the final status that each stored job must reach, by job ID.
func (c *cluster) replayHistory(stored map[string]wire.RawMessage) map[string]string {
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
		// The stored value of a job that has ended does not contain its specification; these are the team and the number of
		// tasks with which the jobs were captured.
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

// capturedGang is the ID of the gang in the situations of wantGangStarts.
const capturedGang = "j-000002"

// gangStarts counts the starts of a gang after a failover.
type gangStarts struct {
	tasks int // starts of the gang's tasks
	runs  int // attempts in which all tasks ran
}

// wantGangStarts is the expected starts of the gang if its machines are still present, by captured situation. A gang that
// runs or is done must not start again, a gang that waits must be completed, and a gang that was stopped must run again.
var wantGangStarts = map[string]gangStarts{
	"a gang waits for a machine that hangs":                      {1, 1},
	"a gang runs":                                                {0, 0},
	"a gang is being stopped":                                    {3, 1},
	"a gang is done, which is not stored":                        {0, 0},
	"a gang is done, which is not stored, and a machine is gone": {0, 0},
	"a list is being divided, a gang runs":                       {0, 0},
	"a list was divided, a gang runs":                            {0, 0},
}

// failoverCase is a way in which this version takes over from an earlier one.
type failoverCase struct {
	name             string
	machinesPresent  bool          // the captured machines still run their tasks
	lowerLimitsAfter time.Duration // 0: before the nodes start; negative: never
	killLeader       bool          // the first leader is killed as the limits are lowered
}

// TestFailoverFromOldVersions starts this version on the values that earlier versions stored, with the same limits or
// lower ones, and with the captured machines gone or still present. Jobs that had ended must stay as they were, and all
// others must complete, also if the leader is killed during the failover.
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
		old := v.readCapture(t)
		for situation, stored := range old.stored {
			for _, tc := range cases {
				t.Run(v.name+", "+situation+", "+tc.name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := newTunedCluster(t, 3, announceLimits)
						defer c.close()
						c.restoreAndFinish(tc, stored, old.machines[situation])
						got := gangStarts{c.cloud.StartsOf(capturedGang), c.cloud.GangRuns(capturedGang)}
						if want, known := wantGangStarts[situation]; known && tc.machinesPresent && got != want {
							t.Errorf("starts of the gang: got %+v, want %+v", got, want)
						}
						if n := c.state.RejectedTxns(); n != 0 {
							t.Errorf("%d transactions were rejected for their size, want 0", n)
						}
						if violations := c.cloud.Violations(); violations != nil {
							t.Error(violations)
						}
					})
				})
			}
		}
	}
}

// restoreAndFinish starts the nodes on the captured values, with the captured machines if they are present, and waits
// until all jobs have their final statuses.
func (c *cluster) restoreAndFinish(tc failoverCase, stored map[string]wire.RawMessage, machines []wire.Heartbeat) {
	for i := range c.size {
		c.kill(i)
	}
	c.cloud.RuntimeOf = func(task string) float64 {
		id, _, _ := strings.Cut(task, "/")
		if c.rules.Job(id).Kind == wire.KindGang {
			return 12 // longer than the failover takes
		}
		return 3
	}
	for key, value := range stored {
		if key != replica.LeaderKey { // deleted as the old leader's session has ended
			c.state.Put(key, value)
		}
	}
	finalStatuses := c.replayHistory(stored)
	if tc.machinesPresent {
		if err := c.cloud.Restore(machines); err != nil {
			c.t.Fatal(err)
		}
	}
	if tc.lowerLimitsAfter == 0 {
		c.state.SetLimits(loweredLimits)
	}
	for i := range c.size {
		c.start(i)
	}
	if i := c.leader(); tc.killLeader {
		time.Sleep(tc.lowerLimitsAfter)
		c.state.SetLimits(loweredLimits)
		c.kill(i)
		time.Sleep(time.Second)
		c.start(i)
	}
	for id, status := range finalStatuses {
		c.awaitStatus(id, status, 4*time.Minute)
	}
}
