// Package micros provides the type for all times in the code, in whole microseconds.
//
// The package owns the steady clock and the wall clock, the bound on the drift between the clocks of two machines, and
// waits that a context can end. It must not contain deadlines or intervals of the scheduler.
package micros

import (
	"context"
	"math"
	"time"
)

// Micros is a duration, or an instant read by Now or WallTime, in whole microseconds.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// processStart is the instant from which the steady clock counts.
var processStart = time.Now()

// clockBase is the reading of the steady clock at processStart. It keeps all readings far above 0, which means "never"
// in many places, even with the fake clock of testing/synctest, which is decades behind processStart.
const clockBase Micros = 1 << 50

// Now returns the reading of the steady clock. Readings can only be compared with others of the same process.
func Now() Micros { return clockBase + Micros(time.Since(processStart)/time.Microsecond) }

// WallTime returns the reading of the wall clock, counted from the Unix epoch. The clock may jump, and differs between
// machines.
func WallTime() Micros { return Micros(time.Now().UnixMicro()) }

const (
	perSecond = float64(Second)
	// maxMagnitude is about 31 years in microseconds, so that sums of durations do not overflow.
	maxMagnitude = 1e15
)

// FromSeconds converts a number of seconds from a message or a setting, rounded to the nearest microsecond. A duration
// of more than about 31 years, negative ones included, is limited to that.
func FromSeconds(seconds float64) Micros {
	return Micros(math.Max(-maxMagnitude, math.Min(maxMagnitude, math.Round(seconds*perSecond))))
}

// Seconds returns the duration in seconds, for messages and formulas.
func (m Micros) Seconds() float64 { return float64(m) / perSecond }

// Duration returns the duration for timers and contexts of the standard library.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Bounds of clock drift. The protocol allows each clock to be off by 0.05%, so two clocks may drift apart by twice that,
// and by one step of the timers.
const (
	driftDivisor     = 1000 // the drift is the elapsed time divided by this
	timerGranularity = 20 * Millisecond
)

// MaxClockDrift returns how far the steady clocks of two machines may drift apart while elapsed passes.
func MaxClockDrift(elapsed Micros) Micros { return elapsed/driftDivisor + timerGranularity }

// Every calls f once per interval, first after one interval, until ctx ends. If calls become due while f runs, one of
// them follows at once and the others are dropped.
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

// Sleep pauses the current goroutine for the duration m.
func (m Micros) Sleep() { time.Sleep(m.Duration()) }

// Pause pauses the current goroutine for the given duration, or until ctx ends if that is sooner.
func Pause(ctx context.Context, duration Micros) {
	select {
	case <-ctx.Done():
	case <-time.After(duration.Duration()):
	}
}
