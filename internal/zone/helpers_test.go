package zone

import "caperlatch/internal/micros"

// testConfig returns the default configuration with longer step and hold-down times.
func testConfig() Config {
	c := DefaultConfig(4 * micros.Second)
	c.MinStepTime, c.InitialHoldDown = 4*micros.Second, 5*micros.Second
	return c
}

// Evidence of a zone with 40 machines, except for noMachines.
var (
	allReady      = Evidence{Running: 40}
	fewLate       = Evidence{Running: 40, Late: 14}
	mostLate      = Evidence{Running: 40, Late: 30}
	mostSilent    = Evidence{Running: 40, Silent: 30, LostResponses: 4, Unlisted: 1}
	halfRecovered = Evidence{Running: 40, Silent: 20, Recovered: 20}
	startsLost    = Evidence{Running: 40, Recovered: 40, StartsSent: 9}
	startsArrive  = Evidence{Running: 40, Recovered: 40, StartsSent: 9, StartsSeen: 8}
	fewRelapsed   = Evidence{Running: 40, Recovered: 34, Silent: 6, Relapses: 6}
	allRecovered  = Evidence{Running: 40, Recovered: 40}
	noMachines    = Evidence{}
)

// observe passes the same evidence of zones a and b to a policy the given number of times. It advances now by afterS
// seconds before each observation.
func observe(p *LifecyclePolicy, now *micros.Micros, afterS float64, times int, a, b Evidence) {
	for range times {
		*now += micros.FromSeconds(afterS)
		p.Observe(*now, Observation{Zones: map[string]Evidence{"a": a, "b": b}})
	}
}
