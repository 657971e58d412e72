package zone

import (
	"encoding/json"
	"errors"
	"testing"

	"caperlatch/internal/micros"
)

// TestRecordAndRestore has a next leader continue from what was stored, on a node whose clocks differ.
func TestRecordAndRestore(t *testing.T) {
	const s, now, wall, nowThere, wallThere = micros.Second, 500 * micros.Second, 9000 * micros.Second, 77 * micros.Second, 9002 * micros.Second
	cases := []struct {
		name          string
		before, after lifecycle
	}{
		{"full disruption", lifecycle{state: FullDisruption, reason: ReasonMostSilent, since: now - 20*s, flaps: 2, normalSince: now - 60*s, keepSilent: true},
			lifecycle{state: FullDisruption, reason: ReasonMostSilent, since: nowThere - 22*s, flaps: 2, normalSince: nowThere - 62*s, keepSilent: true}},
		{"held down", lifecycle{state: HeldDown, reason: ReasonHeartbeatsResumed, since: now - 4*s, flaps: 1, holdDownUntil: now + 6*s},
			lifecycle{state: HeldDown, reason: ReasonHeartbeatsResumed, since: nowThere - 6*s, flaps: 1, holdDownUntil: nowThere + 4*s}},
		{"reopening", lifecycle{state: Reopening, reason: ReasonStepSucceeded, since: now - 4*s, step: 2, flaps: 1, stepStart: counters{startsSent: 9, startsSeen: 8}},
			lifecycle{state: Reopening, reason: ReasonStepSucceeded, since: nowThere, step: 2, flaps: 1}},
		{"normal after flaps", lifecycle{reason: ReasonFullyOpen, since: now - 10*s, flaps: 3, normalSince: now - 10*s},
			lifecycle{reason: ReasonFullyOpen, since: nowThere - 12*s, flaps: 3, normalSince: nowThere - 12*s}},
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
		if next.Restore(&r, nowThere, wallThere); next.zones["a"] != c.after {
			t.Errorf("%s: %+v, want %+v", c.name, next.zones["a"], c.after)
		}
		r.Version++
		other.Restore(&r, nowThere, wallThere)
		if other.Restore(nil, nowThere, wallThere); len(other.zones) > 0 {
			t.Errorf("%s: a record of another version was read", c.name)
		}
	}
}
