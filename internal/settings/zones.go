package settings

import (
	"fmt"
	"slices"

	"caperlatch/internal/zone"
)

// zonesElement enables the zone lifecycle policy and contains its settings.
const zonesElement = "zones"

// Bounds of the zone settings.
const (
	maxMinMachines          = 1000
	maxConfirmationTimeS    = 60
	maxHoldDownS            = 600
	maxFlapExpiryS          = 86_400
	minReopeningStepPercent = 1
)

// zonesSection returns the section whose fields are stored in c, for a deployment. Steps in the file replace all
// default steps.
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
			"class":            namesField(&c.EvacuationOrder),
			"exempt":           namesField(&c.ExemptZones),
			"suspect_percent":  shareField(&c.PartialDisruptionShare),
			"lost_percent":     shareField(&c.FullDisruptionShare),
			"clear_percent":    shareField(&c.NormalShare),
			"relapse_percent":  shareField(&c.MaxRelapseShare),
			"replace_percent":  shareField(&c.ReplacementShare),
			"least_machines":   integerField(&c.MinMachines, 1, maxMinMachines),
			"confirm_s":        secondsField(&c.ConfirmationTime, maxConfirmationTimeS),
			"step_s":           secondsField(&c.MinStepTime, maxHoldDownS),
			"hold_down_s":      secondsField(&c.InitialHoldDown, maxHoldDownS),
			"hold_down_most_s": secondsField(&c.MaxHoldDown, maxHoldDownS),
			"calm_s":           secondsField(&c.FlapExpiry, maxFlapExpiryS),
			"step_percent":     asRepeatable(percentField(minReopeningStepPercent, addStep)),
		},
	}
}

// checkZones checks the zone settings against each other and against the deployment.
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
