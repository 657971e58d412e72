package peer

import (
	"caperlatch/internal/explain"
	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// capturedHeartbeat and the functions after it return the contents that the captured messages of old versions must have.
func capturedHeartbeat() wire.Heartbeat {
	notice := 12.5
	return wire.Heartbeat{MachineID: "i-000231", Address: "10.1.0.232:9000", InstanceType: "g8", Zone: "a", Spot: true, Incarnation: 1, Sequence: 88, FencingToken: 41,
		InterruptionNoticeS: &notice, Tasks: []wire.TaskStatus{{TaskID: "j-000412/3", Attempt: 2, State: wire.TaskRunning},
			{TaskID: "j-000398/0", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitDone}}}
}

func capturedHeartbeatResponse() wire.HeartbeatResponse {
	return wire.HeartbeatResponse{FencingToken: 41, Commands: []wire.Command{{Verb: wire.VerbStart, TaskID: "j-000412/4", Attempt: 2}}}
}

func capturedProbe() *Probe {
	return &Probe{Member: "host-1", HighestToken: 41, Leader: "host-1", LeadershipInDoubt: true, TaskCounts: TaskCounts{"j-000412": {3, 13}}, CancellationsSince: 430}
}

func capturedNodeState(version int) *NodeState {
	return &NodeState{Loaded: true, HighestToken: 41, Leader: "host-1", SinceStateService: 1500 * micros.Millisecond,
		AbstainFor: AbstentionTTL, ForwardsHeartbeats: true, CancelledThrough: 431, CancellationsComplete: true, Version: version, Cancellations: []replica.Cancellation{{ID: "j-000377", ModRevision: 431,
			Job: replica.Job{SubmittedAt: 3, State: wire.JobCancelled, Reason: "cancelled by its user", EndedAt: 5}}}}
}

func capturedGangHeartbeat() wire.Heartbeat {
	return wire.Heartbeat{MachineID: "i-000231", Address: "10.1.0.232:9000", InstanceType: "g8", Zone: "a", Incarnation: 1, Sequence: 89, FencingToken: 41, Tasks: []wire.TaskStatus{
		{TaskID: "j-000501/0", Attempt: 7, State: "waiting"}, {TaskID: "j-000502/1", Attempt: 8, State: "running"},
		{TaskID: "j-000503/2", Attempt: 9, State: "flushing"}, {TaskID: "j-000504/3", Attempt: 10, State: "ended", ExitReason: "stopped", Checkpointed: true},
		{TaskID: "j-000505/0", Attempt: 11, State: "ended", ExitReason: "peers"}, {TaskID: "j-000506/0", Attempt: 12, State: "ended", ExitReason: "incomplete"}}}
}

func capturedGangResponse() wire.HeartbeatResponse {
	grace := 10.0
	return wire.HeartbeatResponse{FencingToken: 41, Commands: []wire.Command{{Verb: wire.VerbStart, TaskID: "j-000507/0", Attempt: 13},
		{Verb: wire.VerbStart, TaskID: "j-000507/1", Attempt: 13}, {Verb: wire.VerbStop, TaskID: "j-000502/1", Attempt: 8, GracePeriodS: &grace}}}
}

func capturedMembershipHeartbeat() *membership.Heartbeat {
	return &membership.Heartbeat{Member: "host-2", Incarnation: 3, Leaving: true, Views: []membership.MemberView{
		{Member: "host-1", State: membership.Suspected, Incarnation: 2, Silence: 3500 * micros.Millisecond},
		{Member: "host-0", State: membership.Alive, Incarnation: 1, Silence: 200}}}
}

func capturedStandbyQuery() *standby.Query {
	return &standby.Query{Version: 1, Member: "host-2", FencingToken: 41, Position: 7, Snapshot: true, AfterMachine: "i-000230"}
}

func capturedStandbyPage() *standby.Page {
	state := standby.TaskState{Attempt: 7, Stopping: true, Urgent: true, Reserved: true}
	machine := standby.MachineState{Incarnation: 3, TasksKnown: true}
	return &standby.Page{Version: 1, FencingToken: 41, LatestPosition: 19, AfterPosition: 12, Compacted: true,
		Entries: []standby.Entry{
			{TaskAssigned: &standby.TaskAssigned{Machine: "i-000231", Task: "j-000412/3", TaskState: state}},
			{TaskRemoved: &standby.TaskRemoved{Machine: "i-000231", Task: "j-000412/4"}},
			{MachineObserved: &standby.MachineObserved{Machine: "i-000232", MachineState: machine}},
			{MachineTerminating: &standby.MachineTerminating{Machine: "i-000233", Reason: "idle"}},
			{MachineTerminated: &standby.MachineTerminated{Machine: "i-000234"}},
			{EstimateUpdated: &standby.EstimateUpdated{Class: "batch", Moments: []float64{2, 3.5, 8.25}}},
			{Handover: &standby.Handover{To: "host-2", Complete: true}},
		},
		Snapshot: &standby.SnapshotPage{
			Machines:  []standby.MachineRecord{{Name: "i-000235", MachineState: machine, Terminating: true, Tasks: []standby.TaskRecord{{Task: "j-000413/0", TaskState: state}}}},
			HasMore:   true,
			Estimates: []standby.EstimateUpdated{{Class: "scan", Moments: []float64{1, 0.5}}},
			Handover:  &standby.Handover{To: "host-1", Complete: true},
		},
		Followers: []standby.FollowerState{{Member: "host-2", Position: 18, Complete: true, AgeS: 0.25}},
	}
}

func capturedZoneStatus() []zone.Status {
	return []zone.Status{{Zone: "b", State: "returning", Reason: zone.ReasonStepSucceeded, SinceS: 4.5, Step: 2, Steps: 4,
		OpenShare: 0.25, HoldDownS: 1.5, Flaps: 1, Evidence: zone.Evidence{Running: 40, Late: 1, Silent: 2, LostResponses: 3, Unlisted: 4, Quarantined: 5, Recovered: 38, Relapses: 6, StartsSent: 70, StartsSeen: 69},
		Work: zone.WorkStatus{Displaced: map[string]int{"scan": 30}, Moved: map[string]int{"scan": 20}, Restarted: map[string]int{"scan": 9},
			LeasedMachines: 2, LeasedTasks: 8, NextLeaseEndS: 1.25, LastLeaseEndS: 9.5, ClosedMachines: 30, ReplacedMachines: 15}}}
}

func capturedExplanation() *explain.Explanation {
	return &explain.Explanation{Job: "j-000412", Member: "host-1", AgeS: 1.5, Notes: []string{"no report yet"}, State: "pending",
		Team: "blue", Class: "batch", Priority: "normal", SubmittedAt: 4, EndedAt: 6, Tasks: 16, Done: 2, Running: 13, Waiting: 1, Reasons: []string{"no room"},
		Placements: []explain.TaskPlacement{{Task: "j-000412/3", Attempt: 2, Machine: "i-000231", State: "running", Since: 5}},
		Stops:      []explain.TaskStop{{Task: "j-000412/4", Attempt: 1, Machine: "i-000230", At: 4, Reason: "spot notice"}}}
}
