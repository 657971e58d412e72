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

const (
	perSecond = float64(Second)
	// longest is about 31 years, so that sums of durations stay in range.
	longest = 1e15
)

// FromSeconds converts a wire amount; what is longer than about 31 years is cut to that.
func FromSeconds(s float64) Micros {
	return Micros(math.Max(-longest, math.Min(longest, math.Round(s*perSecond))))
}

// Seconds is the duration as the wire and the equations want it.
func (m Micros) Seconds() float64 { return float64(m) / perSecond }

// Duration converts for the standard library's timers and contexts.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// How far clocks may be off: the protocol's 0.05%, doubled because each of two clocks may
// be off, and a step of the timers.
const (
	driftPart = 1000 // one part in so many
	timerStep = 20 * Millisecond
)

// MaxClockDrift is how far two machines' steady clocks may run apart over m.
func MaxClockDrift(m Micros) Micros { return m/driftPart + timerStep }

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

// Sleep waits for m.
func (m Micros) Sleep() { time.Sleep(m.Duration()) }

// Pause waits for d, or less if ctx ends.
func Pause(ctx context.Context, d Micros) {
	select {
	case <-ctx.Done():
	case <-time.After(d.Duration()):
	}
}
