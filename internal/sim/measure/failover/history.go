// Package failover stores the times of measured failovers in Parquet files, and computes quantiles and confidence
// intervals of them.
//
// It owns the file format and the statistics. It measures nothing itself, and must not depend on how a change of leader
// comes about.
package failover

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/parquet-go/parquet-go"

	"caperlatch/internal/micros"
)

// Cause is the way in which the previous leader stopped or failed before a failover.
type Cause string

// The causes of failovers that are measured, with the signals sent to the leader.
const (
	Killed  Cause = "killed"  // SIGKILL
	Frozen  Cause = "frozen"  // SIGSTOP, followed later by SIGCONT
	Planned Cause = "planned" // SIGTERM
)

// Mode is the standby mode of the nodes in a measurement.
type Mode string

// The modes that are compared.
const (
	Cold Mode = "cold" // without a warm standby
	Warm Mode = "warm" // with a warm standby
)

// Change is the measurement of one failover. Its times are measured from the time when the previous leader was killed,
// frozen or told to terminate. New jobs were submitted after this time, old ones before it. The time of an event that was
// not observed during the measurement is Missing. The name of the type is also the name of the schema in the file.
type Change struct {
	Run                string        `parquet:"run,dict"`
	Number             int64         `parquet:"number"`
	Mode               Mode          `parquet:"mode,dict"`
	Cause              Cause         `parquet:"cause,dict"`
	Machines           int64         `parquet:"machines"`
	LeaderElected      micros.Micros `parquet:"led_us"`       // until another node held the leader key
	FirstNewJobStarted micros.Micros `parquet:"first_new_us"` // until the first start of a new job
	FirstOldJobResumed micros.Micros `parquet:"first_old_us"` // until an old job started another task
	OldLeaderFrozen    micros.Micros `parquet:"frozen_us"`    // how long the previous leader was frozen
}

// Missing is the time of an event that was not observed.
const Missing micros.Micros = -1

// Write writes failovers to a Parquet file, replacing an existing one.
func Write(path string, changes []Change) error {
	if err := parquet.WriteFile(path, changes); err != nil {
		return fmt.Errorf("writing failover history: %w", err)
	}
	return nil
}

// Read reads failovers from a Parquet file.
func Read(path string) ([]Change, error) {
	changes, err := parquet.ReadFile[Change](path)
	if err != nil {
		return nil, fmt.Errorf("reading failover history: %w", err)
	}
	return changes, nil
}

// Group is the key by which failovers are grouped for comparison.
type Group struct {
	Mode     Mode
	Cause    Cause
	Machines int64
}

// GroupChanges groups failovers. It also returns the keys of the groups, sorted by machines, cause and mode.
func GroupChanges(changes []Change) (map[Group][]Change, []Group) {
	groups := map[Group][]Change{}
	for _, c := range changes {
		g := Group{c.Mode, c.Cause, c.Machines}
		groups[g] = append(groups[g], c)
	}
	var sortedGroups []Group
	for g := range groups {
		sortedGroups = append(sortedGroups, g)
	}
	slices.SortFunc(sortedGroups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Machines, b.Machines), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Mode, b.Mode))
	})
	return groups, sortedGroups
}
