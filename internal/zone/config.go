package zone

import (
	"errors"
	"fmt"
	"slices"

	"caperlatch/internal/micros"
)

// Config holds what operators may set of the state machine.
type Config struct {
	EvacuationOrder []string // in which work moves after urgent work; others come last
	ExemptZones     []string // zones that are never judged

	PartialDisruptionShare float64       // share of late machines above which a zone is suspected
	FullDisruptionShare    float64       // share of silent machines above which it may be lost
	NormalShare            float64       // share of late machines at which a suspicion is dropped
	ConfirmationTime       micros.Micros // for how long the share must hold until the verdict
	MinMachines            int           // fewer silent machines than this say nothing of a zone
	MaxRelapseShare        float64       // share of machines that may fall silent anew in a step
	OpenShares             []float64     // shares of a returning zone's machines that are open, rising to 1
	MinStepTime            micros.Micros // the least time of a step
	HeartbeatInterval      micros.Micros // the workers' time between reports

	InitialHoldDown micros.Micros // of the first loss; it doubles with each flap
	MaxHoldDown     micros.Micros
	FlapExpiry      micros.Micros // without a loss, after which one flap is forgotten

	ReplacementShare float64 // share of the unusable machines that is replaced elsewhere
}

// DefaultConfig is what holds for the settings that are left out, where workers report so
// often. The hold-down at its longest and the steps stay well under 90 s: no work that fits
// waits for so long while a machine that is heard has room.
func DefaultConfig(report micros.Micros) Config {
	return Config{
		PartialDisruptionShare: 0.4,
		FullDisruptionShare:    0.5,
		NormalShare:            0.25,
		ConfirmationTime:       2 * micros.Second,
		MinMachines:            3,
		MaxRelapseShare:        0.05,
		OpenShares:             []float64{0.10, 0.25, 0.50, 1},
		MinStepTime:            min(micros.Second, report),
		HeartbeatInterval:      report,
		InitialHoldDown:        micros.Second,
		MaxHoldDown:            30 * micros.Second,
		FlapExpiry:             300 * micros.Second,
		ReplacementShare:       0.5,
	}
}

// Check tells the first thing found wrong between settings that are each within bounds. Its
// error names the element.
func (c *Config) Check() error {
	switch {
	case c.NormalShare >= c.PartialDisruptionShare:
		return errors.New("clear_percent must be under suspect_percent")
	case c.PartialDisruptionShare > c.FullDisruptionShare:
		return errors.New("suspect_percent must not be over lost_percent")
	case c.InitialHoldDown > c.MaxHoldDown:
		return errors.New("hold_down_s must not be over hold_down_most_s")
	case len(c.OpenShares) == 0 || c.OpenShares[len(c.OpenShares)-1] != 1:
		return errors.New("step_percent must end with 100")
	}
	for i := 1; i < len(c.OpenShares); i++ {
		if c.OpenShares[i] <= c.OpenShares[i-1] {
			return fmt.Errorf("step_percent must rise, and %g follows %g", 100*c.OpenShares[i], 100*c.OpenShares[i-1])
		}
	}
	if name := repeated(c.EvacuationOrder); name != "" {
		return fmt.Errorf("class %s stands there twice", name)
	}
	if name := repeated(c.ExemptZones); name != "" {
		return fmt.Errorf("exempt %s stands there twice", name)
	}
	return nil
}

// repeated is the first name that stands in a list twice, empty if none does.
func repeated(list []string) string {
	for i, name := range list {
		if slices.Contains(list[:i], name) {
			return name
		}
	}
	return ""
}

// suspicious tells whether so many machines are late that the zone is suspected.
func (c *Config) suspicious(e Evidence) bool {
	return e.troubled() >= c.MinMachines && float64(e.troubled()) > c.PartialDisruptionShare*float64(e.Running)
}

// clear tells whether so few are late that a suspicion is dropped.
func (c *Config) clear(e Evidence) bool {
	return float64(e.troubled()) <= c.NormalShare*float64(e.Running)
}

// lost tells whether so many machines are silent that the zone may be lost.
func (c *Config) lost(e Evidence) bool {
	return e.gone() >= c.MinMachines && float64(e.gone()) > c.FullDisruptionShare*float64(e.Running)
}

// heard tells whether the evidence of a return is enough: what is left silent is less than
// what makes a loss.
func (c *Config) heard(e Evidence) bool {
	return e.Recovered > 0 && float64(e.Recovered) >= (1-c.FullDisruptionShare)*float64(e.Running)
}

// holdDown is how long a zone must be heard after so many flaps.
func (c *Config) holdDown(flaps int) micros.Micros {
	hold := c.InitialHoldDown
	for i := 1; i < flaps && hold < c.MaxHoldDown; i++ {
		hold *= 2
	}
	return min(hold, c.MaxHoldDown)
}
