// Package failover keeps the times that measured failovers took, in Parquet files, and computes
// quantiles and confidence intervals over them.
//
// It owns the form of the file and the statistics. It measures nothing itself, and must not depend
// on how a leader comes to change.
package failover

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/parquet-go/parquet-go"

	"caperlatch/internal/micros"
)

// Cause is how the leader before a failover ended.
type Cause string

// The causes that are measured.
const (
	Killed  Cause = "killed"  // SIGKILL
	Frozen  Cause = "frozen"  // SIGSTOP, later SIGCONT
	Planned Cause = "planned" // SIGTERM
)

// Mode is whether the nodes have a warm standby.
type Mode string

// The modes that are compared.
const (
	Cold Mode = "cold"
	Warm Mode = "warm"
)

// Change is one failover. Times count from the end of the leader before; Missing says that something
// did not happen within the measured time. The type's name is that of the file's schema.
type Change struct {
	Run                string        `parquet:"run,dict"`
	Number             int64         `parquet:"number"`
	Mode               Mode          `parquet:"mode,dict"`
	Cause              Cause         `parquet:"cause,dict"`
	Machines           int64         `parquet:"machines"`
	LeaderElected      micros.Micros `parquet:"led_us"`       // until another node held the leader key
	FirstNewJobStarted micros.Micros `parquet:"first_new_us"` // until a job started that was submitted after the end
	FirstOldJobResumed micros.Micros `parquet:"first_old_us"` // until a job went on that was submitted before the end
	OldLeaderFrozen    micros.Micros `parquet:"frozen_us"`    // how long the leader before was frozen
}

// Missing is the time of what did not happen.
const Missing micros.Micros = -1

// Write writes failovers to a file, which it replaces.
func Write(path string, changes []Change) error {
	if err := parquet.WriteFile(path, changes); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}

// Read reads failovers from a file.
func Read(path string) ([]Change, error) {
	changes, err := parquet.ReadFile[Change](path)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return changes, nil
}

// Group is the kind of a failover by which figures are compared.
type Group struct {
	Mode     Mode
	Cause    Cause
	Machines int64
}

// GroupChanges groups failovers by their kind. It also lists the kinds, by machines, cause and mode.
func GroupChanges(changes []Change) (map[Group][]Change, []Group) {
	groups := map[Group][]Change{}
	for _, c := range changes {
		g := Group{c.Mode, c.Cause, c.Machines}
		groups[g] = append(groups[g], c)
	}
	var order []Group
	for g := range groups {
		order = append(order, g)
	}
	slices.SortFunc(order, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Machines, b.Machines), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Mode, b.Mode))
	})
	return groups, order
}
