package caperlatch

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

// oldVersion is an earlier version that may serve beside this one, and be upgraded from.
type oldVersion struct {
	name  string // first digits of its commit, and its directory in testdata/versions
	gangs bool   // it runs gangs
	// args are those of the new processes when an upgrade from it is tried.
	args []string
}

var oldVersions = []oldVersion{
	{"3a714ab", false, nil},
	{"5fd93d5", true, nil},
	{"1f14824", true, []string{"--standby", "deploy/standby.xml", "--features", "deploy/membership.xml"}},
	{"d052fb0", true, []string{"--standby", "deploy/standby.xml", "--features", "deploy/zones.xml"}},
	{"01da0cf", true, []string{"--standby", "deploy/standby.xml", "--features", "deploy/zones.xml"}},
}

func (v oldVersion) path(file string) string {
	return filepath.Join("testdata", "versions", v.name, file)
}

// commit is the whole hash of the version.
func (v oldVersion) commit(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(v.path("COMMIT"))
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(b))
}

// captured is what was captured from a version (testdata/versions/capture), by moment.
type captured struct {
	stored   map[string]map[string]wire.Raw // by key
	machines map[string][]wire.Heartbeat
}

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

// TestProductionIsCaptured sees to it that the version in production is one of those that
// the tests of upgrades know, and that each of them was captured from its own commit.
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

// restoreRules has the checker of rules know what was so before a stored moment, and returns
// the jobs stored and the state that each must end in.
func (c *cluster) restoreRules(stored map[string]wire.Raw) map[string]string {
	const before = "before"
	c.rules.ObserveLaunch(before, wire.LaunchRequest{InstanceType: "m4", Zone: "a"})
	done := func(task string) {
		c.rules.ObserveStart(task, before)
		c.rules.ObserveExit(task, before, true)
	}
	ends := map[string]string{}
	for key, value := range stored {
		id, ok := strings.CutPrefix(key, replica.JobPrefix)
		if !ok {
			continue
		}
		var j replica.Job
		if err := wire.Unmarshal(value, &j); err != nil {
			c.t.Fatal(err)
		}
		ends[id] = wire.JobDone
		if !j.IsFinal() {
			c.rules.ObserveSubmission(*j.Spec)
			continue
		}
		ends[id] = j.State
		// Of a job that is over the capture alone tells what it was.
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
	return ends
}

// capturedGang is the gang of the moments that wantGangStarts names.
const capturedGang = "j-000002"

// gangStarts counts what begins of a gang after a take-over.
type gangStarts struct {
	tasks int // of its tasks
	runs  int // attempts of which all tasks came to run
}

// wantGangStarts is what begins of the gang if its machines are still there: what runs, or is
// done, does not begin anew, what waits is completed, and what was stopped runs again.
var wantGangStarts = map[string]gangStarts{
	"a gang waits for a machine that hangs":                      {1, 1},
	"a gang runs":                                                {0, 0},
	"a gang is being stopped":                                    {3, 1},
	"a gang is done, which is not stored":                        {0, 0},
	"a gang is done, which is not stored, and a machine is gone": {0, 0},
	"a list is being divided, a gang runs":                       {0, 0},
	"a list was divided, a gang runs":                            {0, 0},
}

// failoverCase is a way to take over from an earlier version.
type failoverCase struct {
	name             string
	machinesPresent  bool          // the machines of then are there, with their tasks
	lowerLimitsAfter time.Duration // when the limits are lowered, negative: never
	killLeader       bool          // the first leader ends
}

// TestFailoverFromOldVersions has this version take over what earlier ones stored, with
// the limits of then or with lower ones, while the machines of then are gone or still
// there. What was over stays so, what ran is done, and nodes that end meanwhile change
// nothing of that.
func TestFailoverFromOldVersions(t *testing.T) {
	cases := []failoverCase{
		{"the limits stay", false, -1, false},
		{"the limits are lower", false, 0, false},
		{"the limits are lowered as the leader ends", false, 3 * time.Second, true},
		{"the machines are there, the limits stay", true, -1, false},
		{"the machines are there, the limits are lower", true, 0, false},
		{"the machines are there, the limits are lowered as the leader ends", true, 3 * time.Second, true},
	}
	for _, v := range oldVersions {
		old := v.captured(t)
		for moment, stored := range old.stored {
			for _, tc := range cases {
				t.Run(v.name+", "+moment+", "+tc.name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := newTunedCluster(t, 3, announceLimits)
						defer c.close()
						c.restoreAndFinish(tc, stored, old.machines[moment])
						got := gangStarts{c.cloud.StartsOf(capturedGang), c.cloud.GangRuns(capturedGang)}
						if want, known := wantGangStarts[moment]; known && tc.machinesPresent && got != want {
							t.Errorf("of the gang there began %+v, want %+v", got, want)
						}
						if n := c.state.RejectedTxns(); n != 0 {
							t.Errorf("%d transactions were refused for their size", n)
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

// restoreAndFinish has a cluster begin with what was stored, and awaits the ends of all jobs.
func (c *cluster) restoreAndFinish(how failoverCase, stored map[string]wire.Raw, machines []wire.Heartbeat) {
	for i := range c.size {
		c.kill(i)
	}
	c.cloud.RuntimeOf = func(task string) float64 {
		id, _, _ := strings.Cut(task, "/")
		if c.rules.Job(id).Kind == wire.KindGang {
			return 12 // beyond the take-over
		}
		return 3
	}
	for key, value := range stored {
		if key != replica.LeaderKey { // its hold has ended
			c.state.Put(key, value)
		}
	}
	ends := c.restoreRules(stored)
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
	for id, end := range ends {
		c.awaitStatus(id, end, 4*time.Minute)
	}
}
