package lab

import (
	"fmt"
	"io"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/sim/checker"
	"caperlatch/internal/sim/measure/failover"
)

// Summary is the result of a run.
type Summary struct {
	Seed             uint64
	Nodes            int
	Classes          []ClassSummary
	OpenJobs         []string // IDs of jobs that were not known to be done at the end
	LeaderTerms      uint64   // number of leader terms during the run
	LaunchedMachines int
	Cost             float64       // cost of all machines until the last sample
	Violations       []string      // rule violations, in order of detection
	FirstViolationAt time.Duration // time from the start of the history until the first violation was detected
	Samples          []checker.Sample
}

// ClassSummary is the result of the jobs of one class.
type ClassSummary struct {
	Class           string
	Jobs            int
	Waits, Runtimes failover.Summary // waiting times and runtimes of tasks
}

// summarize returns the summary of the completed run.
func (l *Lab) summarize() *Summary {
	waits, runtimes := map[string][]micros.Micros{}, map[string][]micros.Micros{}
	l.history.EachWait(0, appendByClass(waits))
	l.history.EachRuntime(appendByClass(runtimes))
	s := &Summary{
		Seed:             l.options.Seed,
		Nodes:            l.options.Nodes,
		LeaderTerms:      l.cluster.FencingToken() - l.firstFencingToken + 1,
		LaunchedMachines: l.cluster.Cloud.Launched(),
		Violations:       l.cluster.Rules.Violations(),
		Samples:          l.history.Samples(),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.OpenJobs, s.FirstViolationAt = l.openJobs, l.firstViolationAt
	for _, c := range classes {
		s.Classes = append(s.Classes, ClassSummary{
			Class:    c.name,
			Jobs:     l.acceptedJobs[c.name],
			Waits:    failover.Summarize(waits[c.name]),
			Runtimes: failover.Summarize(runtimes[c.name]),
		})
	}
	s.Cost = totalCost(s.Samples)
	return s
}

// appendByClass returns a function that appends a duration to the times of a class.
func appendByClass(times map[string][]micros.Micros) func(class string, d time.Duration) {
	return func(class string, d time.Duration) {
		times[class] = append(times[class], micros.Micros(d/time.Microsecond))
	}
}

// totalCost returns the cost of all machines until the last sample.
func totalCost(samples []checker.Sample) (sum float64) {
	for i := 1; i < len(samples); i++ {
		sum += samples[i-1].PricePerHour * (samples[i].At - samples[i-1].At).Hours()
	}
	return sum
}

// Err returns an error if a rule was violated or jobs were not completed. The error contains the seed, with which the
// same jobs can be submitted again.
func (s *Summary) Err() error {
	switch {
	case len(s.Violations) > 0:
		return fmt.Errorf("%w after %.1f s, seed %d: %s", ErrRuleViolated, s.FirstViolationAt.Seconds(), s.Seed, s.Violations[0])
	case len(s.OpenJobs) > 0:
		return fmt.Errorf("%d jobs were not done in time, seed %d: %s", len(s.OpenJobs), s.Seed, s.OpenJobs[0])
	}
	return nil
}

// Print writes the summary as human-readable text.
func (s *Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "%-12s %5s %6s   %-24s %s\n", "class", "jobs", "tasks", "waits, s: 50% 95% most", "runs, s: 50% 95% most")
	for _, c := range s.Classes {
		fmt.Fprintf(w, "%-12s %5d %6d   %-24s %s\n", c.Class, c.Jobs, c.Runtimes.Count, formatTimes(c.Waits), formatTimes(c.Runtimes))
	}
	fmt.Fprintf(w, "%d terms of leaders on %d nodes; %d machines rented for %.4f\n", s.LeaderTerms, s.Nodes, s.LaunchedMachines, s.Cost)
	fmt.Fprintf(w, "%d rules broken, %d jobs open, seed %d\n", len(s.Violations), len(s.OpenJobs), s.Seed)
	for _, rule := range s.Violations {
		fmt.Fprintln(w, "  broken:", rule)
	}
}

// formatTimes formats the median, the 95th percentile and the maximum, in seconds.
func formatTimes(s failover.Summary) string {
	return fmt.Sprintf("%.2f %.2f %.2f", s.Median.Seconds(), s.P95.Seconds(), s.Max.Seconds())
}
