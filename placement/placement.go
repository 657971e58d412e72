// Package placement decides which waiting tasks start on which machines, and
// which running ones are stopped for them. It is pure and deterministic.
package placement

import "caperlatch/internal/micros"

// Machine is a machine that may take tasks.
type Machine struct {
	ID, InstanceType, Zone string
	Spot                   bool
	Free                   Resources     // nothing holds it
	Releasing              Resources     // held by tasks that are being stopped
	CommandDelay           micros.Micros // until orders reach it
	Idle                   bool          // no task is on it
	Images                 ImageSet      // cached or being fetched
	ImagePullGBPerS        float64       // image fetch
	StartPenalty           micros.Micros // wait that is put up with to leave it idle
	RejectsDelayTolerant   bool          // to patient work: costly, and wanted by no other
	Victims                []Victim      // running tasks that could be stopped
	Completions            []Completion  // when what is on it should end by itself
	ReservedFor            *Job          // its room is gathered for this one; nil: for nobody
	GangsOnly              bool          // only whole jobs may start on it
	ZoneBoundOnly          bool          // to work that is not bound to its zone
}

// Victim is a running task.
type Victim struct {
	JobID           string
	Task            int
	Team            string
	Priority        int
	Need            Resources
	WithinGuarantee bool          // within its team's guarantee
	BestEffort      bool          // of the lowest priority, and guaranteed to nobody
	LostWork        micros.Micros // work that a stop would lose
	Gang            bool          // all tasks of its job stop with it, and Lost is of all
}

// Completion is a task that should end by itself.
type Completion struct {
	Remaining micros.Micros
	Need      Resources
}

// Job is a job with waiting tasks.
type Job struct {
	ID, Team                string
	ImageIndex              int
	Priority                int
	EvacuationRank          int             // in the order in which work leaves a lost zone; 0 for all without one
	OnlyZone                string          // the only zone that it can run in now, empty if there are others
	Aged                    bool            // has waited for its first start so long that it goes before all others
	WithinGuarantee         bool            // within its team's guarantee
	StartDeadline           micros.Micros   // latest good start of its last task
	LaterStartDeadlines     []micros.Micros // the same by what else is expected of it, rising
	WaitingCPUSeconds       float64         // CPU seconds that wait, as estimated
	Late                    bool            // cannot be in time any more, or set aside
	AtRisk                  bool            // would be late if it waited for others to end
	PreemptsBestEffort      bool            // need not wait for best-effort tasks to end
	DelayTolerant           bool            // not worth costly machines
	Need                    Resources
	WaitingTasks            int
	TotalTasks              int
	InstanceTypes           []string
	Zone                    string
	SingleZone, SpreadZones bool
	Gang                    bool          // all waiting tasks start or none does
	MaxStartDelay           micros.Micros // a whole job waits for better places than ones that start it later; 0: any will do
	EarliestStart           micros.Micros // when a whole job should start that takes the best machine that reports next; 0: unknown
	AllowSpot               bool
	ImageSizeGB             float64
	TasksPerZone            map[string]int           // tasks on machines, by zone
	FailedOn                map[string]micros.Micros // machines on which tasks of a whole job failed, and when
}

// Team is what a team uses and may use; 0 in Limit means no limit.
type Team struct{ Used, Limit Resources }

// CountAllowed is how many tasks of a need, at most limit, the team may still start.
func (t *Team) CountAllowed(need Resources, limit int) int {
	if t == nil {
		return limit
	}
	remaining := Resources{CPU: 1 << 60, GPU: 1 << 60, Memory: 1 << 60}
	if t.Limit.CPU > 0 {
		remaining.CPU = t.Limit.CPU - t.Used.CPU
	}
	if t.Limit.GPU > 0 {
		remaining.GPU = t.Limit.GPU - t.Used.GPU
	}
	return remaining.CountFitting(need, limit)
}

// Start tells to start Count tasks of a job on a machine; both are indexes
// into the input.
type Start struct{ Job, Machine, Count int }

// Preemption tells to stop a victim.
type Preemption struct {
	Machine  int
	Victim   Victim
	ForJobID string // job that needs the room
}

// Reservation tells to gather a machine's room for a whole job.
type Reservation struct {
	Machine  int
	ForJobID string
}
