package zone

import (
	"errors"
	"fmt"
	"slices"

	"caperlatch/internal/micros"
)

// Config is what operators may set of the LifecyclePolicy. Shares are of the zone's running machines,
// from 0 to 1.
type Config struct {
	EvacuationOrder []string // classes in the order in which their work moves, after urgent work; others last
	ExemptZones     []string // zones that are always taken as normal

	PartialDisruptionShare float64       // of machines not ready, above which a zone is partially disrupted
	FullDisruptionShare    float64       // of unreachable machines, above which it may be fully disrupted
	NormalShare            float64       // of machines not ready, down to which a partial disruption is over
	ConfirmationTime       micros.Micros // for how long a full disruption must be evident
	MinMachines            int           // fewer machines are no evidence of a disruption
	MaxRelapseShare        float64       // of machines that may fall silent again in a step of reopening
	OpenShares             []float64     // of machines that are open, for each step of reopening; rising to 1
	MinStepTime            micros.Micros // the least duration of a step
	HeartbeatInterval      micros.Micros // of workers

	InitialHoldDown micros.Micros // after the first full disruption; it doubles with each flap
	MaxHoldDown     micros.Micros
	FlapExpiry      micros.Micros // time without a full disruption after which one flap is forgotten

	ReplacementShare float64 // of the unusable machines that are replaced elsewhere
}

// DefaultConfig is what holds for settings that are left out, for an interval of workers'
// heartbeats. The longest hold-down and the steps stay well under 90 s: no work that fits waits for
// so long while a machine that sends heartbeats has room.
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

// Errors of configurations. They name the XML elements.
var (
	ErrNormalShareOrder     = errors.New("clear_percent must be under suspect_percent")
	ErrDisruptionShareOrder = errors.New("suspect_percent must not be over lost_percent")
	ErrHoldDownOrder        = errors.New("hold_down_s must not be over hold_down_most_s")
	ErrOpenSharesEnd        = errors.New("step_percent must end with 100")
	ErrOpenSharesOrder      = errors.New("step_percent must rise")
	ErrDuplicate            = errors.New("stands there twice")
)

// Check returns the first contradiction between settings that are each within bounds, as one of the
// errors above or wrapping it.
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
			return fmt.Errorf("%w, and %g follows %g", ErrOpenSharesOrder, 100*c.OpenShares[i], 100*c.OpenShares[i-1])
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

// firstDuplicate is the first name that is in a list twice; empty if none is.
func firstDuplicate(list []string) string {
	for i, name := range list {
		if slices.Contains(list[:i], name) {
			return name
		}
	}
	return ""
}

// isPartiallyDisrupted reports whether so many machines are not ready that a normal zone is partially
// disrupted.
func (c *Config) isPartiallyDisrupted(e Evidence) bool {
	return e.notReady() >= c.MinMachines && float64(e.notReady()) > c.PartialDisruptionShare*float64(e.Running)
}

// isNormal reports whether so few machines are not ready that a partial disruption is over.
func (c *Config) isNormal(e Evidence) bool {
	return float64(e.notReady()) <= c.NormalShare*float64(e.Running)
}

// isFullyDisrupted reports whether so many machines are unreachable that the zone may be fully
// disrupted.
func (c *Config) isFullyDisrupted(e Evidence) bool {
	return e.unreachable() >= c.MinMachines && float64(e.unreachable()) > c.FullDisruptionShare*float64(e.Running)
}

// hasRecovered reports whether the evidence of a recovery is enough: the machines that have not
// recovered are fewer than what makes a full disruption.
func (c *Config) hasRecovered(e Evidence) bool {
	return e.Recovered > 0 && float64(e.Recovered) >= (1-c.FullDisruptionShare)*float64(e.Running)
}

// holdDownAfter is for how long heartbeats must arrive from a zone after some flaps.
func (c *Config) holdDownAfter(flaps int) micros.Micros {
	holdDown := c.InitialHoldDown
	for i := 1; i < flaps && holdDown < c.MaxHoldDown; i++ {
		holdDown *= 2
	}
	return min(holdDown, c.MaxHoldDown)
}
