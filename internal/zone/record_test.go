package zone

import (
	"encoding/json"
	"errors"
	"testing"

	"caperlatch/internal/micros"
)

// TestRecordAndRestore checks that the next leader continues from a stored record on a node whose clocks differ, and
// ignores states that are invalid or too old, and records of another version.
func TestRecordAndRestore(t *testing.T) {
	const s, now, wall, restoredNow, restoredWall = micros.Second, 500 * micros.Second, 9000 * micros.Second, 77 * micros.Second, 9002 * micros.Second
	cases := []struct {
		name          string
		before, after lifecycle
	}{
		{"full disruption", lifecycle{state: FullDisruption, reason: ReasonMostSilent, since: now - 20*s, flaps: 2, normalSince: now - 60*s, retainSilentMachines: true},
			lifecycle{state: FullDisruption, reason: ReasonMostSilent, since: restoredNow - 22*s, flaps: 2, normalSince: restoredNow - 62*s, retainSilentMachines: true}},
		{"held down", lifecycle{state: HeldDown, reason: ReasonHeartbeatsResumed, since: now - 4*s, flaps: 1, holdDownUntil: now + 6*s},
			lifecycle{state: HeldDown, reason: ReasonHeartbeatsResumed, since: restoredNow - 6*s, flaps: 1, holdDownUntil: restoredNow + 4*s}},
		{"reopening", lifecycle{state: Reopening, reason: ReasonStepSucceeded, since: now - 4*s, step: 2, flaps: 1, countersAtStart: counters{startsSent: 9, startsSeen: 8}},
			lifecycle{state: Reopening, reason: ReasonStepSucceeded, since: restoredNow, step: 2, flaps: 1}},
		{"normal after flaps", lifecycle{reason: ReasonFullyOpen, since: now - 10*s, flaps: 3, normalSince: now - 10*s},
			lifecycle{reason: ReasonFullyOpen, since: restoredNow - 12*s, flaps: 3, normalSince: restoredNow - 12*s}},
		{"normal", lifecycle{}, lifecycle{}},
		{"too old", lifecycle{state: FullDisruption, since: now - 2*maxRecordAge, flaps: 1}, lifecycle{}},
		{"unknown step", lifecycle{state: Reopening, since: now, step: 9, flaps: 1}, lifecycle{}},
		{"unknown state", lifecycle{state: 9, since: now, flaps: 1}, lifecycle{}},
	}
	for _, c := range cases {
		p, next, other := NewLifecyclePolicy(testConfig()), NewLifecyclePolicy(testConfig()), NewLifecyclePolicy(testConfig())
		p.zones["a"] = c.before
		b, err := json.Marshal(p.Record(now, wall))
		var r Record
		if err = errors.Join(err, json.Unmarshal(b, &r)); err != nil {
			t.Fatal(err)
		}
		if next.Restore(&r, restoredNow, restoredWall); next.zones["a"] != c.after {
			t.Errorf("%s: restored lifecycle %+v, want %+v", c.name, next.zones["a"], c.after)
		}
		r.Version++
		other.Restore(&r, restoredNow, restoredWall)
		if other.Restore(nil, restoredNow, restoredWall); len(other.zones) > 0 {
			t.Errorf("%s: restored %+v from a record of another version and a nil record, want nothing", c.name, other.zones)
		}
	}
}
