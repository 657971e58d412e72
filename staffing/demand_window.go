package staffing

import (
	"math"
	"slices"

	"caperlatch/internal/micros"
)

// DemandWindow measures the arrival rate λ of formula (12): the weight that came in over the last
// length, or over as much of it as has enough entries. The rate of a busy deployment is known
// sooner, and one that lags behind launches machines for a wave that has passed.
type DemandWindow struct {
	length    micros.Micros
	startedAt micros.Micros // first entry, 0 if there is none
	entries   []demandEntry // within the length, by time
	sum       float64       // of the entries' weights
}

const (
	// minRateEntries is how many of the newest entries are enough for a rate.
	minRateEntries = 20
	// minWindowFraction is over what part of the length, one in so many, a rate is measured at least.
	minWindowFraction = 3
)

// demandEntry is work that came in.
type demandEntry struct {
	at     micros.Micros
	weight float64 // in machines
}

// NewDemandWindow makes a window of a length.
func NewDemandWindow(length micros.Micros) *DemandWindow { return &DemandWindow{length: length} }

// Add counts work of a weight, in machines, at a time not before the last one. A negative weight
// takes back what turned out to be no demand.
func (w *DemandWindow) Add(at micros.Micros, weight float64) {
	if w.startedAt == 0 {
		w.startedAt = at
	}
	w.entries = append(w.entries, demandEntry{at, weight})
	w.sum += weight
}

// Rate is the weight that comes in per second. Until the length has passed since the first entry,
// it is that over the whole length: what waits at the start is no sign of a high rate.
func (w *DemandWindow) Rate(now micros.Micros) float64 {
	w.expire(now)
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

// expire drops the entries that are older than the length.
func (w *DemandWindow) expire(now micros.Micros) {
	expired := 0
	for expired < len(w.entries) && w.entries[expired].at <= now-w.length {
		w.sum -= w.entries[expired].weight
		expired++
	}
	w.entries = w.entries[expired:]
	if len(w.entries) == 0 {
		w.sum = 0
	}
}

// EarlyRate is Rate for a stream that starts long after the deployment did: nothing waited for it,
// so what came in is evidence of its rate as soon as a part of the length has passed. Until all of
// it has, few entries are weak evidence, and z standard deviations of their number are added.
func (w *DemandWindow) EarlyRate(now micros.Micros, z float64) float64 {
	rate := w.Rate(now)
	span := max(now-w.startedAt, w.length/minWindowFraction)
	if span >= w.length || len(w.entries) == 0 {
		return rate
	}
	margin := z / math.Sqrt(float64(len(w.entries)))
	return rate * (1 + margin) * w.length.Seconds() / span.Seconds()
}

// Seed starts the window anew with a rate that was measured before, as if the work had come in
// evenly.
func (w *DemandWindow) Seed(now micros.Micros, rate float64) {
	const parts = 10
	w.entries, w.sum, w.startedAt = nil, 0, now
	for i := range parts {
		w.Add(now-w.length+w.length*micros.Micros(i+1)/parts, rate*w.length.Seconds()/parts)
	}
}
