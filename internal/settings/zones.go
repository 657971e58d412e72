package settings

import (
	"fmt"
	"slices"

	"caperlatch/internal/zone"
)

// zonesSection is the element that turns the policy on zones on and holds its settings.
const zonesSection = "zones"

// Bounds of the settings of zones.
const (
	maxLeastMachines = 1000
	maxConfirmS      = 60
	maxHoldDownS     = 600
	maxCalmS         = 86_400
)

// zonesFields are the elements of the section. Steps that are given replace all the default
// ones.
func zonesFields(p *elementParser, c *zone.Config) section {
	steps := false
	return section{
		numbers: map[string]field{
			"suspect_percent":  p.percent(&c.Suspect),
			"lost_percent":     p.percent(&c.Lose),
			"clear_percent":    p.percent(&c.Clear),
			"relapse_percent":  p.percent(&c.Relapse),
			"replace_percent":  p.percent(&c.Replace),
			"least_machines":   p.count(&c.Least, 1, maxLeastMachines),
			"confirm_s":        p.seconds(&c.Confirm, maxConfirmS),
			"step_s":           p.seconds(&c.StepHold, maxHoldDownS),
			"hold_down_s":      p.seconds(&c.HoldDown, maxHoldDownS),
			"hold_down_most_s": p.seconds(&c.MaxHoldDown, maxHoldDownS),
			"calm_s":           p.seconds(&c.Calm, maxCalmS),
		},
		repeated: map[string]field{
			"step_percent": func(name string, v float64) {
				if !steps {
					c.Steps, steps = nil, true
				}
				p.within(name, v, 1, 100)
				c.Steps = append(c.Steps, v/100)
			},
		},
		names: map[string]*[]string{"class": &c.Classes, "exempt": &c.Exempt},
	}
}

// checkZones checks the settings of zones against each other and the deployment.
func checkZones(c *zone.Config, p *Params) error {
	if err := c.Check(); err != nil {
		return err
	}
	for _, name := range c.Exempt {
		if !slices.Contains(p.Zones, name) {
			return fmt.Errorf("exempt: there is no zone %s", name)
		}
	}
	for _, name := range c.Classes {
		if !slices.ContainsFunc(p.Objectives, func(o Objective) bool { return o.Class == name }) {
			return fmt.Errorf("class: no objective names a class %s", name)
		}
	}
	return nil
}
