// Package micros holds the time type of the code: whole microseconds.
//
// It owns the two clocks, how far two machines' clocks may run apart, and the waits that
// end with a context. It knows no deadline or interval of the scheduler.
package micros

import (
	"context"
	"math"
	"time"
)

// Micros is a duration, or an instant on one of the two clocks below, in whole
// microseconds.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

var epoch = time.Now()

// base keeps readings far above zero, which stands for "never" in many places,
// also under the test clock, which is decades behind epoch.
const base Micros = 1 << 50

// Now reads the steady clock. Only differences of two readings in one process
// mean anything.
func Now() Micros { return base + Micros(time.Since(epoch)/time.Microsecond) }

// Wall reads the time of day, counted from 1970.
func Wall() Micros { return Micros(time.Now().UnixMicro()) }

// FromSeconds converts a wire amount; what is beyond the type's range is cut
// to about 31 years, so that sums stay in range.
func FromSeconds(s float64) Micros {
	const most = 1e15
	return Micros(math.Max(-most, math.Min(most, math.Round(s*1e6))))
}

// Seconds is the duration as the wire and the equations want it.
func (m Micros) Seconds() float64 { return float64(m) / 1e6 }

// Duration converts for the standard library's timers and contexts.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Drift is how far two machines' steady clocks may run apart over m: the
// protocol's 0.05%, doubled because each side may be off, plus a timer step.
func Drift(m Micros) Micros { return m/1000 + 20*Millisecond }

// Every calls f again and again, d apart, until ctx ends.
func Every(ctx context.Context, d Micros, f func()) {
	t := time.NewTicker(d.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

// Pause waits for d, or less if ctx ends.
func Pause(ctx context.Context, d Micros) {
	select {
	case <-ctx.Done():
	case <-time.After(d.Duration()):
	}
}
