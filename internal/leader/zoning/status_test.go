package zoning

import (
	"slices"
	"testing"
	"testing/synctest"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// TestDisruptionReasons checks the texts that tell users how a lost zone affects their job. It runs in a synctest
// bubble, whose clock stands still, so that the times in the texts are exact.
func TestDisruptionReasons(t *testing.T) {
	cases := []struct {
		name string
		spec wire.Job
		on   []int // machines with a task of the job, as indexes in the sorted fleet
		want []string
	}{
		{"not bound to a zone, without tasks on machines", wire.Job{}, nil, nil},
		{"tasks in the other zone", wire.Job{}, []int{0, 1}, nil},
		{"tasks on one open and two closed machines", wire.Job{}, []int{0, 11, 12},
			[]string{"2 of its tasks are in zone b, which is lost: each may run on until its machine's lease ends, in 1000 to 1020 s"}},
		{"a gang", wire.Job{Kind: wire.KindGang}, []int{11, 12},
			[]string{"2 of its gang's tasks are in zone b, which is lost: the gang starts elsewhere only as a whole, once all are gone (leases end in 1020 s at the latest)"}},
		{"bound to the zone", wire.Job{Zone: "b"}, []int{11}, []string{
			"it can run in zone b only, which is lost",
			"1 of its tasks are in zone b, which is lost: each may run on until its machine's lease ends, in 1000 to 1000 s",
		}},
		{"bound to the other zone, without tasks on machines", wire.Job{Zone: "a"}, nil, nil},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			z, _, now := newTestZones(t)
			silenceZoneB(z, now, fullSilence)
			start := micros.Now()
			z.LeaseExpiry = func(m *state.Machine) micros.Micros {
				if m == z.Fleet.Sorted[12] {
					return start + 1020*micros.Second
				}
				return start + 1000*micros.Second
			}
			c.spec.ID, c.spec.Tasks, c.spec.CPUs, c.spec.AllowSpot = "j-000001", 5, 1, true
			j := state.NewJob(replica.Job{Spec: &c.spec}, false)
			for index, machine := range c.on {
				(&state.Attempt{Job: j, Index: index, Machine: z.Fleet.Sorted[machine]}).Attach()
			}
			if got := z.DisruptionReasons(j); !slices.Equal(got, c.want) {
				t.Errorf("%s: reasons %q, want %q", c.name, got, c.want)
			}
		})
	}
}

// TestNoDisruptionReasonsInHealthyZones checks that no reasons are given while all zones are open.
func TestNoDisruptionReasonsInHealthyZones(t *testing.T) {
	z, _, now := newTestZones(t)
	z.Observe(now)
	j := state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000001", Tasks: 5, CPUs: 1, Zone: "b", AllowSpot: true}}, false)
	if got := z.DisruptionReasons(j); got != nil {
		t.Errorf("reasons %q, want none", got)
	}
}
