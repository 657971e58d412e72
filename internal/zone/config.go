package zone

import (
	"errors"
	"fmt"
	"slices"

	"caperlatch/internal/micros"
)

// Config holds what operators may set of the state machine.
type Config struct {
	Classes []string // in which work moves after urgent work; others come last
	Exempt  []string // zones that are never judged

	Suspect  float64       // share of late machines above which a zone is suspected
	Lose     float64       // share of silent machines above which it may be lost
	Clear    float64       // share of late machines at which a suspicion is dropped
	Confirm  micros.Micros // for how long the share must hold until the verdict
	Least    int           // fewer silent machines than this say nothing of a zone
	Relapse  float64       // share of machines that may fall silent anew in a step
	Steps    []float64     // shares of a returning zone's machines that are open, rising to 1
	StepHold micros.Micros // the least time of a step
	Report   micros.Micros // the workers' time between reports

	HoldDown    micros.Micros // of the first loss; it doubles with each flap
	MaxHoldDown micros.Micros
	Calm        micros.Micros // without a loss, after which one flap is forgotten

	Replace float64 // share of the unusable machines that is replaced elsewhere
}

// DefaultConfig is what holds for the settings that are left out, where workers report so
// often. The hold-down at its longest and the steps stay well under 90 s: no work that fits
// waits for so long while a machine that is heard has room.
func DefaultConfig(report micros.Micros) Config {
	return Config{
		Suspect:     0.4,
		Lose:        0.5,
		Clear:       0.25,
		Confirm:     2 * micros.Second,
		Least:       3,
		Relapse:     0.05,
		Steps:       []float64{0.10, 0.25, 0.50, 1},
		StepHold:    min(micros.Second, report),
		Report:      report,
		HoldDown:    micros.Second,
		MaxHoldDown: 30 * micros.Second,
		Calm:        300 * micros.Second,
		Replace:     0.5,
	}
}

// Check tells the first thing found wrong between settings that are each within bounds. Its
// error names the element.
func (c *Config) Check() error {
	switch {
	case c.Clear >= c.Suspect:
		return errors.New("clear_percent must be under suspect_percent")
	case c.Suspect > c.Lose:
		return errors.New("suspect_percent must not be over lost_percent")
	case c.HoldDown > c.MaxHoldDown:
		return errors.New("hold_down_s must not be over hold_down_most_s")
	case len(c.Steps) == 0 || c.Steps[len(c.Steps)-1] != 1:
		return errors.New("step_percent must end with 100")
	}
	for i := 1; i < len(c.Steps); i++ {
		if c.Steps[i] <= c.Steps[i-1] {
			return fmt.Errorf("step_percent must rise, and %g follows %g", 100*c.Steps[i], 100*c.Steps[i-1])
		}
	}
	if name := repeated(c.Classes); name != "" {
		return fmt.Errorf("class %s stands there twice", name)
	}
	if name := repeated(c.Exempt); name != "" {
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
	return e.troubled() >= c.Least && float64(e.troubled()) > c.Suspect*float64(e.Up)
}

// clear tells whether so few are late that a suspicion is dropped.
func (c *Config) clear(e Evidence) bool { return float64(e.troubled()) <= c.Clear*float64(e.Up) }

// lost tells whether so many machines are silent that the zone may be lost.
func (c *Config) lost(e Evidence) bool {
	return e.gone() >= c.Least && float64(e.gone()) > c.Lose*float64(e.Up)
}

// heard tells whether the evidence of a return is enough: what is left silent is less than
// what makes a loss.
func (c *Config) heard(e Evidence) bool {
	return e.Back > 0 && float64(e.Back) >= (1-c.Lose)*float64(e.Up)
}

// holdDown is how long a zone must be heard after so many flaps.
func (c *Config) holdDown(flaps int) micros.Micros {
	hold := c.HoldDown
	for i := 1; i < flaps && hold < c.MaxHoldDown; i++ {
		hold *= 2
	}
	return min(hold, c.MaxHoldDown)
}
