package placement

import (
	"fmt"
	"slices"
	"testing"
)

// TestBandOrder has bands come after what has waited too long and before all else.
func TestBandOrder(t *testing.T) {
	jobs := []*Job{
		{ID: "late", Band: 1, Late: true, Priority: 2},
		{ID: "aged", Band: 3, Aged: true},
		{ID: "guaranteed", Band: 3, Covered: true, Priority: 1},
		{ID: "urgent", Band: 1, Priority: 2, Due: 9},
		{ID: "due sooner", Band: 2, Priority: 1, Due: 1},
		{ID: "first class", Band: 2, Priority: 1, Covered: true, Due: 5},
		{ID: "another", Band: 3, Priority: 1},
	}
	slices.SortFunc(jobs, Less)
	var got []string
	for _, j := range jobs {
		got = append(got, j.ID)
	}
	want := []string{"aged", "urgent", "late", "first class", "due sooner", "guaranteed", "another"}
	if !slices.Equal(got, want) {
		t.Errorf("order %q, want %q", got, want)
	}
}

// TestClosed has a machine of a zone that is not all there take only what is bound to the zone,
// by each way of placing.
func TestClosed(t *testing.T) {
	need := Resources{CPU: 1000, Mem: 1000}
	cases := []struct {
		bound  string
		closed bool
		starts int
	}{{"", false, 2}, {"", true, 0}, {"b", true, 0}, {"a", true, 2}, {"a", false, 2}}
	for _, c := range cases {
		for _, whole := range []bool{false, true} {
			machine := func() []Machine {
				return []Machine{{ID: "i-1", Zone: "a", Free: Resources{CPU: 4000, Mem: 4000}, Closed: c.closed}}
			}
			job := func() []*Job {
				return []*Job{{ID: "j", Bound: c.bound, Need: need, Waiting: 2, Total: 2, Whole: whole}}
			}
			ways := map[string][]Start{"plan": Plan(machine(), job(), nil), "fill": Fill(&machine()[0], job(), nil)}
			for name, starts := range ways {
				n := 0
				for _, s := range starts {
					n += s.Count
				}
				if n != c.starts {
					t.Errorf("%s: %d starts, want %d, in %s", name, n, c.starts, fmt.Sprintf("%+v, whole %v", c, whole))
				}
			}
		}
	}
}
