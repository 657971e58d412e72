package staffing

import (
	"math"
	"slices"

	"caperlatch/internal/micros"
)

// DemandWindow measures the arrival rate λ of formula (12): the weight that arrived per second within the window. If
// the newest part of the window has enough entries, the rate is measured over that part only, so that it follows the
// load of a busy deployment sooner. A rate that lags behind launches machines for a peak that has already passed.
type DemandWindow struct {
	length    micros.Micros
	startedAt micros.Micros // time of the first entry; 0 if there is none
	entries   []demandEntry // within the window, in time order
	sum       float64       // sum of the entries' weights
}

const (
	// minRateEntries is the number of newest entries that suffices to compute a rate.
	minRateEntries = 20
	// A rate is measured over at least 1/minWindowDivisor of the window.
	minWindowDivisor = 3
)

// demandEntry is work that arrived.
type demandEntry struct {
	at     micros.Micros
	weight float64 // in machines
}

// NewDemandWindow returns a window of the given length.
func NewDemandWindow(length micros.Micros) *DemandWindow { return &DemandWindow{length: length} }

// Add counts work of a weight, in machines, that arrived at the time at. Entries must be added in the order of their
// times. A negative weight cancels work that turned out not to be demand.
func (w *DemandWindow) Add(at micros.Micros, weight float64) {
	if w.startedAt == 0 {
		w.startedAt = at
	}
	w.entries = append(w.entries, demandEntry{at, weight})
	w.sum += weight
}

// Rate returns the weight that arrives per second. It is averaged over the whole window if the window has fewer than
// minRateEntries entries. The same holds until the length of the window has passed since the first entry, because work
// that was already waiting at the start does not indicate a high rate.
func (w *DemandWindow) Rate(now micros.Micros) float64 {
	w.expire(now)
	if len(w.entries) < minRateEntries || now-w.startedAt < w.length {
		return math.Max(0, w.sum) / w.length.Seconds()
	}
	span := max(now-w.entries[len(w.entries)-minRateEntries].at, w.length/minWindowDivisor)
	sum := 0.0
	for _, e := range slices.Backward(w.entries) {
		if e.at < now-span {
			break
		}
		sum += e.weight
	}
	return math.Max(0, sum) / span.Seconds()
}

// expire drops the entries that are older than the window.
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

// EarlyRate is Rate for a stream of work that begins long after the deployment started. No such work was waiting
// before its first entry, so EarlyRate averages only over the time since then, and at least over 1/minWindowDivisor of
// the window. Until the length of the window has passed, it raises the rate by z standard deviations of the number of
// entries, because few entries are weak evidence.
func (w *DemandWindow) EarlyRate(now micros.Micros, z float64) float64 {
	rate := w.Rate(now)
	span := max(now-w.startedAt, w.length/minWindowDivisor)
	if span >= w.length || len(w.entries) == 0 {
		return rate
	}
	margin := z / math.Sqrt(float64(len(w.entries)))
	return rate * (1 + margin) * w.length.Seconds() / span.Seconds()
}

// Seed resets the window to a rate that was measured before, as if work had arrived evenly at that rate. The time of
// the first entry becomes now, so Rate averages over the whole window until its length has passed.
func (w *DemandWindow) Seed(now micros.Micros, rate float64) {
	const parts = 10
	w.entries, w.sum, w.startedAt = nil, 0, now
	for i := range parts {
		w.Add(now-w.length+w.length*micros.Micros(i+1)/parts, rate*w.length.Seconds()/parts)
	}
}
