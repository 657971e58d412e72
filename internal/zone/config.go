package zone

import (
	"errors"
	"fmt"
	"slices"

	"caperlatch/internal/micros"
)

// Config holds the settings of the LifecyclePolicy. Shares are fractions from 0 to 1, and of the zone's running
// machines unless another base is named.
type Config struct {
	EvacuationOrder []string // classes in the order in which their jobs move, after urgent jobs; other classes come last
	ExemptZones     []string // zones that always stay in state Normal

	PartialDisruptionShare float64       // share of machines not ready above which a zone is partially disrupted
	FullDisruptionShare    float64       // share of unreachable machines above which a zone may be fully disrupted
	NormalShare            float64       // share of machines not ready at or below which a partial disruption is over
	ConfirmationTime       micros.Micros // how long the evidence of a full disruption must last
	MinMachines            int           // fewer machines are no evidence of a disruption; see also LifecyclePolicy.Decide
	MaxRelapseShare        float64       // share of machines falling silent again above which a step of reopening is undone
	OpenShares             []float64     // share of open machines in each step of reopening; increasing to 1
	MinStepTime            micros.Micros // minimum duration of a step
	HeartbeatInterval      micros.Micros // interval of the workers' heartbeats

	InitialHoldDown micros.Micros // hold-down after the first full disruption; each flap doubles it
	MaxHoldDown     micros.Micros
	FlapExpiry      micros.Micros // time after which one flap expires, counted from the return to state Normal

	ReplacementShare float64 // share of the unusable machines that are replaced in other zones
}

// DefaultConfig returns the default settings for the given interval of the workers' heartbeats. The longest hold-down and
// the steps stay well under 90 s, because no job that fits on a machine may wait that long while a machine that sends
// heartbeats has capacity for it.
func DefaultConfig(heartbeatInterval micros.Micros) Config {
	return Config{
		PartialDisruptionShare: 0.4,
		FullDisruptionShare:    0.5,
		NormalShare:            0.25,
		ConfirmationTime:       2 * micros.Second,
		MinMachines:            3,
		MaxRelapseShare:        0.05,
		OpenShares:             []float64{0.10, 0.25, 0.50, 1},
		MinStepTime:            min(micros.Second, heartbeatInterval),
		HeartbeatInterval:      heartbeatInterval,
		InitialHoldDown:        micros.Second,
		MaxHoldDown:            30 * micros.Second,
		FlapExpiry:             300 * micros.Second,
		ReplacementShare:       0.5,
	}
}

// The errors of invalid configurations. They name the XML elements of the settings.
var (
	ErrNormalShareOrder     = errors.New("clear_percent must be less than suspect_percent")
	ErrDisruptionShareOrder = errors.New("suspect_percent must not exceed lost_percent")
	ErrHoldDownOrder        = errors.New("hold_down_s must not exceed hold_down_most_s")
	ErrOpenSharesEnd        = errors.New("step_percent must end with 100")
	ErrOpenSharesOrder      = errors.New("step_percent must increase")
	ErrDuplicate            = errors.New("is listed twice")
)

// Check returns an error for the first contradiction between settings that are each within their bounds. It is one of
// the errors above, or wraps one.
func (c *Config) Check() error {
	switch {
	case c.NormalShare >= c.PartialDisruptionShare:
		return ErrNormalShareOrder
	case c.PartialDisruptionShare > c.FullDisruptionShare:
		return ErrDisruptionShareOrder
	case c.InitialHoldDown > c.MaxHoldDown:
		return ErrHoldDownOrder
	case len(c.OpenShares) == 0 || c.OpenShares[len(c.OpenShares)-1] != 1:
		return ErrOpenSharesEnd
	}
	for i := 1; i < len(c.OpenShares); i++ {
		if c.OpenShares[i] <= c.OpenShares[i-1] {
			return fmt.Errorf("%w, but %g follows %g", ErrOpenSharesOrder, 100*c.OpenShares[i], 100*c.OpenShares[i-1])
		}
	}
	if name := firstDuplicate(c.EvacuationOrder); name != "" {
		return fmt.Errorf("class %s %w", name, ErrDuplicate)
	}
	if name := firstDuplicate(c.ExemptZones); name != "" {
		return fmt.Errorf("exempt %s %w", name, ErrDuplicate)
	}
	return nil
}

// firstDuplicate returns the first name that occurs a second time in a list, or "" if none does.
func firstDuplicate(list []string) string {
	for i, name := range list {
		if slices.Contains(list[:i], name) {
			return name
		}
	}
	return ""
}

// isPartiallyDisrupted reports whether enough machines are not ready for a normal zone to become partially disrupted.
func (c *Config) isPartiallyDisrupted(e Evidence) bool {
	return e.notReady() >= c.MinMachines && float64(e.notReady()) > c.PartialDisruptionShare*float64(e.Running)
}

// isNormal reports whether few enough machines are not ready for a partial disruption to be over.
func (c *Config) isNormal(e Evidence) bool {
	return float64(e.notReady()) <= c.NormalShare*float64(e.Running)
}

// isFullyDisrupted reports whether enough machines are unreachable for the zone to be considered fully disrupted.
func (c *Config) isFullyDisrupted(e Evidence) bool {
	return e.unreachable() >= c.MinMachines && float64(e.unreachable()) > c.FullDisruptionShare*float64(e.Running)
}

// hasRecovered reports whether enough machines have recovered: at least one, and at least the share
// 1-FullDisruptionShare of the running machines. The remaining machines are then too few for a full disruption.
func (c *Config) hasRecovered(e Evidence) bool {
	return e.Recovered > 0 && float64(e.Recovered) >= (1-c.FullDisruptionShare)*float64(e.Running)
}

// holdDownAfter returns the duration of the hold-down of a zone with the given number of flaps.
func (c *Config) holdDownAfter(flaps int) micros.Micros {
	holdDown := c.InitialHoldDown
	for i := 1; i < flaps && holdDown < c.MaxHoldDown; i++ {
		holdDown *= 2
	}
	return min(holdDown, c.MaxHoldDown)
}
