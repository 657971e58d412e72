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

// zonesElements are the elements of the section. Steps that are given replace all the default
// ones.
func zonesElements(p *elementParser, c *zone.Config, params *Params) section {
	steps := false
	return section{
		check: func() error { return checkZones(c, params) },
		fields: map[string]field{
			"class":            p.names(&c.EvacuationOrder),
			"exempt":           p.names(&c.ExemptZones),
			"suspect_percent":  p.percent(&c.PartialDisruptionShare),
			"lost_percent":     p.percent(&c.FullDisruptionShare),
			"clear_percent":    p.percent(&c.NormalShare),
			"relapse_percent":  p.percent(&c.MaxRelapseShare),
			"replace_percent":  p.percent(&c.ReplacementShare),
			"least_machines":   p.count(&c.MinMachines, 1, maxLeastMachines),
			"confirm_s":        p.seconds(&c.ConfirmationTime, maxConfirmS),
			"step_s":           p.seconds(&c.MinStepTime, maxHoldDownS),
			"hold_down_s":      p.seconds(&c.InitialHoldDown, maxHoldDownS),
			"hold_down_most_s": p.seconds(&c.MaxHoldDown, maxHoldDownS),
			"calm_s":           p.seconds(&c.FlapExpiry, maxCalmS),
			"step_percent": many(numeric(func(name string, v float64) {
				if !steps {
					c.OpenShares, steps = nil, true
				}
				p.within(name, v, 1, 100)
				c.OpenShares = append(c.OpenShares, v/100)
			})),
		},
	}
}

// checkZones checks the settings of zones against each other and the deployment.
func checkZones(c *zone.Config, p *Params) error {
	if err := c.Check(); err != nil {
		return err
	}
	for _, name := range c.ExemptZones {
		if !slices.Contains(p.Zones, name) {
			return fmt.Errorf("exempt: there is no zone %s", name)
		}
	}
	for _, name := range c.EvacuationOrder {
		if !slices.ContainsFunc(p.Objectives, func(o Objective) bool { return o.Class == name }) {
			return fmt.Errorf("class: no objective names a class %s", name)
		}
	}
	return nil
}
