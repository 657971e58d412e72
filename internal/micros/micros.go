// Package micros holds the type of all times in the code: whole microseconds.
//
// It owns the two clocks, how far the clocks of two machines may run apart, and the waits that
// end with a context. It must know no deadline or interval of the scheduler.
package micros

import (
	"context"
	"math"
	"time"
)

// Micros is a duration, or an instant on one of the two clocks below, in whole microseconds.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// processStart is the instant that the steady clock counts from.
var processStart = time.Now()

// clockBase is the reading of the steady clock at processStart. It keeps readings far above
// zero, which stands for "never" in many places, also under the tests' clock, which is decades
// behind processStart.
const clockBase Micros = 1 << 50

// Now reads the steady clock. Only differences of two readings in one process mean anything.
func Now() Micros { return clockBase + Micros(time.Since(processStart)/time.Microsecond) }

// WallTime reads the time of day, counted from 1970. It may jump, and differs between machines.
func WallTime() Micros { return Micros(time.Now().UnixMicro()) }

const (
	perSecond = float64(Second)
	// maxMagnitude is about 31 years, so that sums of durations stay in range.
	maxMagnitude = 1e15
)

// FromSeconds converts an amount of a message or a setting, rounded to the nearest microsecond;
// what is longer than about 31 years is cut to that.
func FromSeconds(seconds float64) Micros {
	return Micros(math.Max(-maxMagnitude, math.Min(maxMagnitude, math.Round(seconds*perSecond))))
}

// Seconds returns the duration in seconds, as messages and formulas want it.
func (m Micros) Seconds() float64 { return float64(m) / perSecond }

// Duration returns the duration for timers and contexts of the standard library.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// How far clocks may be off: the protocol's 0.05%, doubled because each of two clocks may be
// off, and a step of the timers.
const (
	driftPart = 1000 // one part in so many
	timerStep = 20 * Millisecond
)

// MaxClockDrift returns how far the steady clocks of two machines may run apart over elapsed.
func MaxClockDrift(elapsed Micros) Micros { return elapsed/driftPart + timerStep }

// Every calls f again and again, interval apart and first after one, until ctx ends. Of the calls
// that come due while f runs, one follows at once and the others are dropped.
func Every(ctx context.Context, interval Micros, f func()) {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// Sleep waits for m.
func (m Micros) Sleep() { time.Sleep(m.Duration()) }

// Pause waits for duration, or until ctx ends if that is sooner.
func Pause(ctx context.Context, duration Micros) {
	select {
	case <-ctx.Done():
	case <-time.After(duration.Duration()):
	}
}
