package lab

import (
	"fmt"
	"io"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/sim/checker"
	"caperlatch/internal/sim/measure/failover"
)

// Summary tells how a run went.
type Summary struct {
	Seed             uint64
	Nodes            int
	Classes          []ClassSummary
	OpenJobs         []string // jobs that were not known to be done in the end
	Terms            uint64   // leaders
	Launched         int      // machines
	Cost             float64  // their price, at an hour's rate
	Violations       []string // rules
	FirstViolationAt time.Duration
	Samples          []checker.Sample
}

// ClassSummary tells of one class's jobs.
type ClassSummary struct {
	Class           string
	Jobs            int
	Waits, Runtimes failover.Summary // of tasks
}

// summary tells how the run went that is over.
func (l *Lab) summary() *Summary {
	waits, runs := map[string][]micros.Micros{}, map[string][]micros.Micros{}
	l.history.EachWait(0, recordIn(waits))
	l.history.EachRuntime(recordIn(runs))
	s := &Summary{
		Seed:       l.options.Seed,
		Nodes:      l.options.Nodes,
		Terms:      l.processes.FencingToken() - l.token + 1,
		Launched:   l.processes.Cloud.Launched(),
		Violations: l.processes.Rules.Violations(),
		Samples:    l.history.Samples(),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.OpenJobs, s.FirstViolationAt = l.open, l.brokenAt
	for _, c := range classes {
		s.Classes = append(s.Classes, ClassSummary{c.name, l.jobs[c.name], failover.Summarize(waits[c.name]), failover.Summarize(runs[c.name])})
	}
	s.Cost = money(s.Samples)
	return s
}

// recordIn keeps times by class.
func recordIn(times map[string][]micros.Micros) func(class string, d time.Duration) {
	return func(class string, d time.Duration) {
		times[class] = append(times[class], micros.Micros(d/time.Microsecond))
	}
}

// money is what the machines cost until the last sample.
func money(samples []checker.Sample) (sum float64) {
	for i := 1; i < len(samples); i++ {
		sum += samples[i-1].PricePerHour * (samples[i].At - samples[i-1].At).Hours()
	}
	return sum
}

// Err is what was wrong with the run, with the seed that repeats its jobs.
func (s *Summary) Err() error {
	switch {
	case len(s.Violations) > 0:
		return fmt.Errorf("%w after %.1f s, seed %d: %s", ErrRuleViolated, s.FirstViolationAt.Seconds(), s.Seed, s.Violations[0])
	case len(s.OpenJobs) > 0:
		return fmt.Errorf("%d jobs were not done in time, seed %d: %s", len(s.OpenJobs), s.Seed, s.OpenJobs[0])
	}
	return nil
}

// Print writes the summary for people.
func (s *Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "%-12s %5s %6s   %-24s %s\n", "class", "jobs", "tasks", "waits, s: 50% 95% most", "runs, s: 50% 95% most")
	for _, c := range s.Classes {
		fmt.Fprintf(w, "%-12s %5d %6d   %-24s %s\n", c.Class, c.Jobs, c.Runtimes.Count, seconds(c.Waits), seconds(c.Runtimes))
	}
	fmt.Fprintf(w, "%d terms of leaders on %d nodes; %d machines rented for %.4f\n", s.Terms, s.Nodes, s.Launched, s.Cost)
	fmt.Fprintf(w, "%d rules broken, %d jobs open, seed %d\n", len(s.Violations), len(s.OpenJobs), s.Seed)
	for _, rule := range s.Violations {
		fmt.Fprintln(w, "  broken:", rule)
	}
}

// seconds tells how times are distributed.
func seconds(s failover.Summary) string {
	return fmt.Sprintf("%.2f %.2f %.2f", s.Median.Seconds(), s.P95.Seconds(), s.Max.Seconds())
}
