// Package staffing holds the equations by which the fleet is sized, after
// Jennings, Mandelbaum, Massey and Whitt, "Server Staffing To Meet Time-Varying
// Demand". It is pure: the same inputs give the same outputs.
package staffing

import (
	"math"
	"slices"

	"caperlatch/internal/micros"
)

// StepMean carries the infinite-server mean m over dt seconds of the paper's
// equation (12), m' = λ - μm, with λ and μ constant. The closed form is exact
// for any dt, so a late timer does not distort m.
func StepMean(m, lambda, mu, dt float64) float64 {
	if mu <= 0 {
		return m + lambda*dt
	}
	rest := lambda / mu
	return rest + (m-rest)*math.Exp(-mu*dt)
}

// RequiredServers is the paper's formula (4), ⌈m + 0.5 + z√v⌉, where ⌈x⌉ is the least
// integer greater than x.
func RequiredServers(m, v, z float64) int {
	return int(math.Floor(m+0.5+z*math.Sqrt(math.Max(0, v)))) + 1
}

// PeakMean is the largest m over the next interval seconds when λ stays as it
// is: m moves monotonically toward λ/μ, so it is at one of the interval's ends.
func PeakMean(m, lambda, mu, interval float64) float64 {
	return math.Max(m, StepMean(m, lambda, mu, interval))
}

// Peakedness is the paper's z(t), formulas (17) to (19), for work that comes in
// batches. A job that brings w machines' worth of tasks at once counts w times
// over in the variance of arrivals, so c² = Σw²/Σw; as service times are
// taken for exponential, ∫(1-G)² is half their mean. A single task of size f
// adds the other half.
func Peakedness(batches, taskSize float64) float64 { return (batches + taskSize) / 2 }

// ZForPrice is z for machines that cost k times as much as the cheapest. The
// paper leaves α to the user; spare machines are worth their price as long as
// the chance that they are needed is in proportion to it, so α grows with k,
// up to an even chance (z = 0, no spare machines).
func ZForPrice(z, k float64) float64 {
	alpha := math.Min(0.5, math.Max(1, k)*math.Erfc(z/math.Sqrt2)/2)
	return math.Sqrt2 * math.Erfinv(1-2*alpha)
}

// DemandWindow measures a rate: the weight that came in over the last length, or over as
// much of it as enough entries came in: a busy deployment's rate is known sooner,
// and one that lags behind rents for a wave that has passed.
type DemandWindow struct {
	length  micros.Micros
	began   micros.Micros // first entry
	entries []entry
	sum     float64
}

// Entries that make a rate, and the part of the length that is looked at at least.
const (
	minRateEntries = 20
	minWindowShare = 3
)

type entry struct {
	at     micros.Micros
	weight float64
}

// NewDemandWindow measures over a length.
func NewDemandWindow(length micros.Micros) *DemandWindow { return &DemandWindow{length: length} }

// Add counts weight at an instant not before the last one; less than nothing takes back
// what turned out to be no demand.
func (w *DemandWindow) Add(at micros.Micros, weight float64) {
	if w.began == 0 {
		w.began = at
	}
	w.entries = append(w.entries, entry{at, weight})
	w.sum += weight
}

// Rate is the weight a second over the window. In the beginning, what waits at
// the start is no sign of a high rate, so it is spread over the whole window.
func (w *DemandWindow) Rate(now micros.Micros) float64 {
	n := 0
	for n < len(w.entries) && w.entries[n].at <= now-w.length {
		w.sum -= w.entries[n].weight
		n++
	}
	w.entries = w.entries[n:]
	if len(w.entries) == 0 {
		w.sum = 0
	}
	if len(w.entries) < minRateEntries || now-w.began < w.length {
		return math.Max(0, w.sum) / w.length.Seconds()
	}
	span := max(now-w.entries[len(w.entries)-minRateEntries].at, w.length/minWindowShare)
	sum := 0.0
	for _, e := range slices.Backward(w.entries) {
		if e.at < now-span {
			break
		}
		sum += e.weight
	}
	return math.Max(0, sum) / span.Seconds()
}

// EarlyRate is Rate for a stream that begins in the midst of a day: nothing waited for it, so
// what came in tells its rate as soon as a part of the window has passed. Until all of it
// has, few entries tell the rate badly, and z standard deviations of their number are added.
func (w *DemandWindow) EarlyRate(now micros.Micros, z float64) float64 {
	rate := w.Rate(now)
	span := max(now-w.began, w.length/minWindowShare)
	if span >= w.length || len(w.entries) == 0 {
		return rate
	}
	margin := z / math.Sqrt(float64(len(w.entries)))
	return rate * (1 + margin) * w.length.Seconds() / span.Seconds()
}

// MinFinishedTasks is how many tasks must have finished before their run times are
// used instead of the owners' estimates.
const MinFinishedTasks = 20

// ServiceTime keeps the mean time that work holds its share of a machine.
type ServiceTime struct {
	estimate, measured mean
}

type mean struct{ weight, sum float64 }

// add counts a part of a job. Old work counts for less and less, so the mean follows
// the day: a job for a hundredth less with each newer job, of however many tasks. When
// each task counted as much as a job, arrays of 50 left the mean of the last second,
// and a target that holds the peak of 30 s took the worst of these.
func (m *mean) add(weight, seconds, part float64) {
	keep := math.Pow(0.99, part)
	m.weight = m.weight*keep + weight
	m.sum = m.sum*keep + weight*seconds
}

// ObserveEstimate counts what owners say of work that came in.
func (s *ServiceTime) ObserveEstimate(weight, seconds float64) { s.estimate.add(weight, seconds, 1) }

// BatchSizes counts what jobs bring at once, for the peakedness.
type BatchSizes struct{ sum, squares, tasks, tight float64 }

// Add counts a job that brings weight machines' worth of work in tasks tasks.
// Spare machines are for those who cannot wait until one has booted; a job that
// can counts in the mean alone.
func (l *BatchSizes) Add(weight float64, tasks int, canWait bool) {
	if tasks <= 0 {
		return
	}
	const keep = 0.98
	l.sum, l.squares, l.tasks, l.tight = l.sum*keep+weight, l.squares*keep, l.tasks*keep, l.tight*keep
	if !canWait {
		l.tight += weight
		l.squares += weight * weight
		l.tasks += weight * weight / float64(tasks)
	}
}

// Peakedness of what came in; 1, the paper's default, while nothing has.
func (l *BatchSizes) Peakedness() float64 {
	if l.sum <= 0 {
		return 1
	}
	return Peakedness(l.squares/l.sum, l.tasks/l.sum)
}

// ImmediateShare is the share of the work whose jobs cannot wait; all of it while
// nothing has come in.
func (l *BatchSizes) ImmediateShare() float64 {
	if l.sum <= 0 {
		return 1
	}
	return l.tight / l.sum
}

// ObserveFinished counts a finished task of a job of tasks tasks.
func (s *ServiceTime) ObserveFinished(weight, seconds float64, tasks int) {
	s.measured.add(weight, seconds, 1/math.Max(1, float64(tasks)))
}

// Rate is one over the mean time; finished says how many tasks have finished.
func (s *ServiceTime) Rate(finished int) float64 {
	m := s.estimate
	if finished >= MinFinishedTasks && s.measured.weight > 0 || m.weight == 0 {
		m = s.measured
	}
	if m.weight <= 0 || m.sum <= 0 {
		return 0
	}
	return m.weight / m.sum
}

// Seed starts a new window with a rate that was measured before, as if it had
// come in evenly.
func (w *DemandWindow) Seed(now micros.Micros, rate float64) {
	const parts = 10
	w.entries, w.sum, w.began = nil, 0, now
	for i := range parts {
		w.Add(now-w.length+w.length*micros.Micros(i+1)/parts, rate*w.length.Seconds()/parts)
	}
}
