package settings

import (
	"fmt"
	"slices"

	"caperlatch/internal/zone"
)

// zonesElement turns the policy on zones on and holds its settings.
const zonesElement = "zones"

// Bounds of the settings of zones.
const (
	maxLeastMachines = 1000
	maxConfirmS      = 60
	maxHoldDownS     = 600
	maxCalmS         = 86_400
	minStepPercent   = 1
)

// zonesSection returns the section that sets c for a deployment. Steps that are given replace
// all the default ones.
func zonesSection(c *zone.Config, params *Params) section {
	hasSteps := false
	addStep := func(share float64) {
		if !hasSteps {
			c.OpenShares, hasSteps = nil, true
		}
		c.OpenShares = append(c.OpenShares, share)
	}
	return section{
		check: func() error { return checkZones(c, params) },
		fields: map[string]field{
			"class":            names(&c.EvacuationOrder),
			"exempt":           names(&c.ExemptZones),
			"suspect_percent":  share(&c.PartialDisruptionShare),
			"lost_percent":     share(&c.FullDisruptionShare),
			"clear_percent":    share(&c.NormalShare),
			"relapse_percent":  share(&c.MaxRelapseShare),
			"replace_percent":  share(&c.ReplacementShare),
			"least_machines":   wholeNumber(&c.MinMachines, 1, maxLeastMachines),
			"confirm_s":        seconds(&c.ConfirmationTime, maxConfirmS),
			"step_s":           seconds(&c.MinStepTime, maxHoldDownS),
			"hold_down_s":      seconds(&c.InitialHoldDown, maxHoldDownS),
			"hold_down_most_s": seconds(&c.MaxHoldDown, maxHoldDownS),
			"calm_s":           seconds(&c.FlapExpiry, maxCalmS),
			"step_percent":     repeatable(percent(minStepPercent, addStep)),
		},
	}
}

// checkZones checks the settings of zones against each other and the deployment.
func checkZones(c *zone.Config, params *Params) error {
	if err := c.Check(); err != nil {
		return err
	}
	for _, name := range c.ExemptZones {
		if !slices.Contains(params.Zones, name) {
			return fmt.Errorf("exempt: there is no zone %s", name)
		}
	}
	for _, name := range c.EvacuationOrder {
		if !slices.ContainsFunc(params.Objectives, func(o Objective) bool { return o.Class == name }) {
			return fmt.Errorf("class: no objective names a class %s", name)
		}
	}
	return nil
}
