// Package failover keeps what measured changes of leader took: the history of each in a
// Parquet file, and quantiles and confidence intervals over them.
//
// It owns the form of the history and the statistics. It measures nothing itself and knows
// nothing of how a leader comes to change.
package failover

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/parquet-go/parquet-go"

	"caperlatch/internal/micros"
)

// Cause is how a leader ended.
type Cause string

// The causes that are measured.
const (
	Killed  Cause = "killed"  // SIGKILL
	Frozen  Cause = "frozen"  // SIGSTOP, and SIGCONT later
	Planned Cause = "planned" // SIGTERM
)

// Mode is whether the nodes had a warm standby.
type Mode string

// The modes that are compared.
const (
	Cold Mode = "cold"
	Warm Mode = "warm"
)

// Change is one change of leader. Times count from the end of the leader before; negative
// ones say that it did not happen within the measured time.
type Change struct {
	Run             string        `parquet:"run,dict"`
	Number          int64         `parquet:"number"`
	Mode            Mode          `parquet:"mode,dict"`
	Cause           Cause         `parquet:"cause,dict"`
	Machines        int64         `parquet:"machines"`
	LeaderElected   micros.Micros `parquet:"led_us"`       // until another leader held the key
	FirstNewStart   micros.Micros `parquet:"first_new_us"` // until a job of after the end started
	FirstOldResumed micros.Micros `parquet:"first_old_us"` // until a job of before the end went on
	OldLeaderFrozen micros.Micros `parquet:"frozen_us"`    // how long the leader before stood still
}

// Missing stands for what did not happen.
const Missing micros.Micros = -1

// Write writes a history.
func Write(path string, changes []Change) error {
	if err := parquet.WriteFile(path, changes); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}

// Read reads a history.
func Read(path string) ([]Change, error) {
	changes, err := parquet.ReadFile[Change](path)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return changes, nil
}

// Group is changes of one kind.
type Group struct {
	Mode     Mode
	Cause    Cause
	Machines int64
}

// GroupChanges divides a history by kind, and lists the kinds in order.
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
