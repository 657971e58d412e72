package lab

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"caperlatch/internal/micros"
	"caperlatch/internal/standin"
)

// Summary tells how a run went.
type Summary struct {
	Seed     uint64
	Nodes    int
	Classes  []ClassSummary
	Open     []string // jobs that were not known to be done in the end
	Terms    uint64   // leaders
	Rented   int      // machines
	Money    float64  // their price, at an hour's rate
	Broken   []string // rules
	BrokenAt time.Duration
	Samples  []standin.Sample
}

// ClassSummary tells of one class's jobs.
type ClassSummary struct {
	Class       string
	Jobs, Tasks int
	Waits, Runs Times // of tasks
}

// Times are quantiles of times.
type Times struct{ Median, P95, Most micros.Micros }

// Bounds and precision of the histograms of times.
const (
	longest     = 600 * micros.Second
	significant = 3
)

// summary tells how the run went that is over.
func (l *Lab) summary() (*Summary, error) {
	waits, runs := histograms(), histograms()
	var wrong error
	record := func(all map[string]*hdrhistogram.Histogram) func(string, time.Duration) {
		return func(class string, d time.Duration) {
			h := all[class]
			if h == nil {
				return // a task that no class has
			}
			if err := h.RecordValue(min(int64(d/time.Microsecond), int64(longest))); err != nil && wrong == nil {
				wrong = fmt.Errorf("%s: %w", class, err)
			}
		}
	}
	l.history.Waits(0, record(waits))
	l.history.Runs(record(runs))
	if wrong != nil {
		return nil, wrong
	}
	s := &Summary{
		Seed:    l.options.Seed,
		Nodes:   l.options.Nodes,
		Terms:   l.processes.Token() - l.token + 1,
		Rented:  l.processes.Cloud.Rented(),
		Broken:  l.processes.Rules.Broken(),
		Samples: l.history.Samples(),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Open, s.BrokenAt = l.open, l.brokenAt
	for _, c := range classes {
		s.Classes = append(s.Classes, ClassSummary{c.name, l.jobs[c.name], int(runs[c.name].TotalCount()), times(waits[c.name]), times(runs[c.name])})
	}
	s.Money = money(s.Samples)
	return s, nil
}

// histograms are one for each class.
func histograms() map[string]*hdrhistogram.Histogram {
	all := map[string]*hdrhistogram.Histogram{}
	for _, c := range classes {
		all[c.name] = hdrhistogram.New(1, int64(longest), significant)
	}
	return all
}

// times are the quantiles of a histogram.
func times(h *hdrhistogram.Histogram) Times {
	return Times{micros.Micros(h.ValueAtQuantile(50)), micros.Micros(h.ValueAtQuantile(95)), micros.Micros(h.Max())}
}

// money is what the machines cost until the last sample.
func money(samples []standin.Sample) (sum float64) {
	for i := 1; i < len(samples); i++ {
		sum += samples[i-1].Price * (samples[i].At - samples[i-1].At).Hours()
	}
	return sum
}

// Err is what was wrong with the run, with the seed that repeats its jobs.
func (s *Summary) Err() error {
	switch {
	case len(s.Broken) > 0:
		return fmt.Errorf("%w after %.1f s, seed %d: %s", ErrRuleBroken, s.BrokenAt.Seconds(), s.Seed, s.Broken[0])
	case len(s.Open) > 0:
		return fmt.Errorf("%d jobs were not done in time, seed %d: %s", len(s.Open), s.Seed, s.Open[0])
	}
	return nil
}

// Print writes the summary for people.
func (s *Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "%-12s %5s %6s   %-24s %s\n", "class", "jobs", "tasks", "waits, s: 50% 95% most", "runs, s: 50% 95% most")
	for _, c := range s.Classes {
		fmt.Fprintf(w, "%-12s %5d %6d   %-24v %v\n", c.Class, c.Jobs, c.Tasks, c.Waits, c.Runs)
	}
	fmt.Fprintf(w, "%d terms of leaders on %d nodes; %d machines rented for %.4f\n", s.Terms, s.Nodes, s.Rented, s.Money)
	fmt.Fprintf(w, "%d rules broken, %d jobs open, seed %d\n", len(s.Broken), len(s.Open), s.Seed)
	for _, rule := range s.Broken {
		fmt.Fprintln(w, "  broken:", rule)
	}
}

// String tells times.
func (t Times) String() string {
	return fmt.Sprintf("%.2f %.2f %.2f", t.Median.Seconds(), t.P95.Seconds(), t.Most.Seconds())
}
