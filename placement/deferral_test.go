package placement

import (
	"slices"
	"testing"

	"caperlatch/internal/micros"
)

// TestDeferralPicksLargestJob has three jobs of which only two can be on time: the largest is deferred, not the
// one with the last start deadline.
func TestDeferralPicksLargestJob(t *testing.T) {
	s := micros.Second
	jobs := []*Job{
		job("big", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 10*s, 9 }),
		job("mid", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 11*s, 5 }),
		job("small", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 12*s, 4 }),
		job("urgent", 1, func(j *Job) { j.Priority, j.StartDeadline, j.WaitingCPUSeconds = 2, 1*s, 1 }),
	}
	DeferLateJobs(jobs, 1, 0)
	for _, j := range jobs {
		if j.Late != (j.ID == "big") {
			t.Errorf("%s: late %v, want %v", j.ID, j.Late, j.ID == "big")
		}
	}
}

// TestDeferralToLaterDeadline has two jobs that cannot both meet their first start deadlines: the larger one is
// deferred to its next deadline that can be met, and is marked late only if there is none.
func TestDeferralToLaterDeadline(t *testing.T) {
	s := micros.Second
	for _, c := range []struct {
		name  string
		later []micros.Micros
		late  bool
	}{
		{"a later deadline can be met", []micros.Micros{10 * s, 20 * s}, false},
		{"no later deadline can be met", []micros.Micros{11 * s, 12 * s}, true},
		{"no later deadline", nil, true},
	} {
		big := job("big", 1, func(j *Job) { j.StartDeadline, j.LaterStartDeadlines, j.WaitingCPUSeconds = 10*s, c.later, 9 })
		small := job("small", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 10*s, 4 })
		DeferLateJobs([]*Job{big, small}, 1, 0)
		if small.Late || big.Late != c.late || !(CompareJobs(small, big) < 0) {
			t.Errorf("%s: small late %v, want false; big late %v, want %v; small precedes big: %t, want true", c.name, small.Late, big.Late, c.late, CompareJobs(small, big) < 0)
		}
	}
}

// TestOverloadServedShortestJobFirst compares sufficient with insufficient capacity. In an overload, jobs must be
// served shortest first: in start-deadline order, each job started just in time, and nearly all of them were late
// when 91 machines were lost with an hour's work waiting.
func TestOverloadServedShortestJobFirst(t *testing.T) {
	s := micros.Second
	for _, c := range []struct {
		name string
		cpus float64
		want []string
	}{
		{"enough machines", 10, []string{"urgent", "early", "middle", "small", "huge"}},
		{"too few machines", 1, []string{"urgent", "small", "middle", "early", "huge"}},
	} {
		jobs := []*Job{
			job("early", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 10*s, 6 }),
			job("middle", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 20*s, 4 }),
			job("small", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 30*s, 2 }),
			job("huge", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 40*s, 50 }),
			job("urgent", 1, func(j *Job) { j.Priority, j.StartDeadline, j.WaitingCPUSeconds = 2, 60*s, 7 }),
		}
		DeferLateJobs(jobs, c.cpus, 0)
		slices.SortFunc(jobs, CompareJobs)
		var got []string
		for _, j := range jobs {
			got = append(got, j.ID)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: queue order %v, want %v", c.name, got, c.want)
		}
	}
}

// TestDeferralOfLargestJobKeepsLaterDeadlines checks the case in which the job that would be late is also the one
// with the most work. It must get its next start deadline that can be met, as any deferred job does.
func TestDeferralOfLargestJobKeepsLaterDeadlines(t *testing.T) {
	s := micros.Second
	small := job("small", 1, func(j *Job) { j.StartDeadline, j.WaitingCPUSeconds = 5*s, 4 })
	big := job("big", 1, func(j *Job) {
		j.StartDeadline, j.LaterStartDeadlines, j.WaitingCPUSeconds = 10*s, []micros.Micros{20 * s, 30 * s}, 9
	})
	DeferLateJobs([]*Job{small, big}, 1, 0)
	if small.Late || big.Late {
		t.Errorf("small late %v, big late %v, want false for both, as each can meet a deadline", small.Late, big.Late)
	}
}
