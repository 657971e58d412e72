package staffing

import (
	"math"
	"slices"

	"caperlatch/internal/micros"
)

// DemandWindow measures a rate: the weight that came in over the last length, or over as
// much of it as enough entries came in: a busy deployment's rate is known sooner,
// and one that lags behind rents for a wave that has passed.
type DemandWindow struct {
	length    micros.Micros
	startedAt micros.Micros // first entry
	entries   []demandEntry
	sum       float64
}

// Entries that make a rate, and the part of the length that is looked at at least.
const (
	minRateEntries    = 20
	minWindowFraction = 3
)

type demandEntry struct {
	at     micros.Micros
	weight float64
}

// NewDemandWindow measures over a length.
func NewDemandWindow(length micros.Micros) *DemandWindow { return &DemandWindow{length: length} }

// Add counts weight at an instant not before the last one; less than nothing takes back
// what turned out to be no demand.
func (w *DemandWindow) Add(at micros.Micros, weight float64) {
	if w.startedAt == 0 {
		w.startedAt = at
	}
	w.entries = append(w.entries, demandEntry{at, weight})
	w.sum += weight
}

// Rate is the weight a second over the window. In the beginning, what waits at
// the start is no sign of a high rate, so it is spread over the whole window.
func (w *DemandWindow) Rate(now micros.Micros) float64 {
	expired := 0
	for expired < len(w.entries) && w.entries[expired].at <= now-w.length {
		w.sum -= w.entries[expired].weight
		expired++
	}
	w.entries = w.entries[expired:]
	if len(w.entries) == 0 {
		w.sum = 0
	}
	if len(w.entries) < minRateEntries || now-w.startedAt < w.length {
		return math.Max(0, w.sum) / w.length.Seconds()
	}
	span := max(now-w.entries[len(w.entries)-minRateEntries].at, w.length/minWindowFraction)
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
	span := max(now-w.startedAt, w.length/minWindowFraction)
	if span >= w.length || len(w.entries) == 0 {
		return rate
	}
	margin := z / math.Sqrt(float64(len(w.entries)))
	return rate * (1 + margin) * w.length.Seconds() / span.Seconds()
}

// Seed starts a new window with a rate that was measured before, as if it had
// come in evenly.
func (w *DemandWindow) Seed(now micros.Micros, rate float64) {
	const parts = 10
	w.entries, w.sum, w.startedAt = nil, 0, now
	for i := range parts {
		w.Add(now-w.length+w.length*micros.Micros(i+1)/parts, rate*w.length.Seconds()/parts)
	}
}
