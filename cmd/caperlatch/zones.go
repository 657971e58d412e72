package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"caperlatch/internal/api"
	"caperlatch/internal/zone"
)

// zonesCommand returns the command that prints the leader's view of the zones.
func zonesCommand() *cobra.Command {
	return statusCommand("zones", "Print which zones are disrupted or reopening, why, and where their work runs", http.MethodGet, "/zones", printZones)
}

// printZones prints the state of all zones in readable form.
func printZones(w io.Writer, s *api.ZonesStatus) {
	fmt.Fprintf(w, "as %s sees them:\n", s.Leader)
	for i := range s.Zones {
		printZone(w, &s.Zones[i])
	}
}

// printZone prints the state of a zone.
func printZone(w io.Writer, z *zone.Status) {
	fmt.Fprintf(w, "%s: %s", z.Zone, z.State)
	if z.Steps > 0 {
		fmt.Fprintf(w, ", step %d of %d", z.Step, z.Steps)
	}
	if z.SinceS > 0 {
		fmt.Fprintf(w, " for %.0f s", z.SinceS)
	}
	fmt.Fprintf(w, ": %s\n", z.Reason)
	e := z.Evidence
	fmt.Fprintf(w, "  machines: %d up, %d late, %d silent, %d deaf, %d vanished, %d failing, %d heard anew\n",
		e.Running, e.Late, e.Silent, e.LostResponses, e.Unlisted, e.Quarantined, e.Recovered)
	if z.HoldDownS > 0 {
		fmt.Fprintf(w, "  held down for %.0f s more\n", z.HoldDownS)
	}
	if z.Flaps > 0 {
		fmt.Fprintf(w, "  losses not forgotten: %d\n", z.Flaps)
	}
	if z.OpenShare < 1 || z.Work.ReplacedMachines > 0 {
		fmt.Fprintf(w, "  %.0f%% open, %d machines closed, %d being replaced elsewhere\n", 100*z.OpenShare, z.Work.ClosedMachines, z.Work.ReplacedMachines)
	}
	for _, c := range []struct {
		label string
		tasks map[string]int
	}{{"lost with the zone", z.Work.Displaced}, {"begun again elsewhere", z.Work.Moved}, {"begun again in it", z.Work.Restarted}} {
		if len(c.tasks) > 0 {
			fmt.Fprintf(w, "  %s: %s\n", c.label, formatByClass(c.tasks))
		}
	}
	if z.Work.LeasedMachines > 0 {
		fmt.Fprintf(w, "  %d tasks on %d machines wait for the ends of their leases, in %.0f to %.0f s\n",
			z.Work.LeasedTasks, z.Work.LeasedMachines, z.Work.NextLeaseEndS, z.Work.LastLeaseEndS)
	}
}

// formatByClass lists counts of tasks by class, sorted by class name.
func formatByClass(tasks map[string]int) string {
	var parts []string
	for _, class := range slices.Sorted(maps.Keys(tasks)) {
		parts = append(parts, fmt.Sprintf("%s %d", class, tasks[class]))
	}
	return strings.Join(parts, ", ")
}
