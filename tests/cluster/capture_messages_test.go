package cluster

import (
	"testing"

	"caperlatch/internal/explain"
	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/replica"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// capturedMessages returns an example of each message between nodes and of heartbeats of gangs, by name, with every
// field set. The tests of internal/peer expect these values.
func capturedMessages(t *testing.T) map[string]wire.RawMessage {
	t.Helper()
	encoded := map[string]wire.RawMessage{}
	for _, messages := range []map[string]any{
		nodeMessages(), forwardingMessages(t), explanationMessages(), gangMessages(), standbyMessages(), zoneMessages(), membershipMessages(),
	} {
		for name, message := range messages {
			encoded[name] = encode(t, message)
		}
	}
	return encoded
}

// nodeMessages returns a probe, its response, and a response with an error.
func nodeMessages() map[string]any {
	return map[string]any{
		"probe": peer.Request{ID: 1, Probe: &peer.Probe{Member: "host-1", HighestToken: 41, Leader: "host-1", LeadershipInDoubt: true,
			TaskCounts: peer.TaskCounts{"j-000412": {3, 13}}, CancellationsSince: 430}},
		"state": peer.Response{ID: 1, NodeState: &peer.NodeState{Loaded: true, HighestToken: 41, Leader: "host-1", SinceStateService: 1500 * micros.Millisecond,
			AbstainFor: peer.AbstentionTTL, ForwardsHeartbeats: true, CancelledThrough: 431, CancellationsComplete: true, Version: peer.Version,
			Cancellations: []replica.Cancellation{{ID: "j-000377", ModRevision: 431,
				Job: replica.Job{SubmittedAt: 3, State: wire.JobCancelled, Reason: "cancelled by its user", EndedAt: 5}}}}},
		"failed": peer.Response{ID: 4, Error: "not leading"},
	}
}

// forwardingMessages returns a forwarded heartbeat, and the responses to it and to another one.
func forwardingMessages(t *testing.T) map[string]any {
	t.Helper()
	notice := 12.5
	heartbeat := wire.Heartbeat{MachineID: "i-000231", Address: "10.1.0.232:9000", InstanceType: "g8", Zone: "a", Spot: true,
		Incarnation: 1, Sequence: 88, FencingToken: 41, InterruptionNoticeS: &notice, Tasks: []wire.TaskStatus{
			{TaskID: "j-000412/3", Attempt: 2, State: wire.TaskRunning},
			{TaskID: "j-000398/0", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitDone}}}
	response := wire.HeartbeatResponse{FencingToken: 41, Commands: []wire.Command{{Verb: wire.VerbStart, TaskID: "j-000412/4", Attempt: 2}}}
	return map[string]any{
		"relay":   peer.Request{ID: 2, ForwardedHeartbeats: []wire.RawMessage{encode(t, heartbeat)}},
		"relayed": peer.Response{ID: 2, ForwardedResponses: []peer.ForwardedResponse{{Response: encode(t, response)}, {Error: "not entitled"}}},
	}
}

// explanationMessages returns a request to explain a job, and its response.
func explanationMessages() map[string]any {
	return map[string]any{
		"explain": peer.Request{ID: 3, ExplainJob: "j-000412"},
		"explained": peer.Response{ID: 3, Explanation: &explain.Explanation{Job: "j-000412", Member: "host-1", AgeS: 1.5, Notes: []string{"no report yet"}, State: "pending",
			Team: "blue", Class: "batch", Priority: "normal", SubmittedAt: 4, EndedAt: 6, Tasks: 16, Done: 2, Running: 13, Waiting: 1, Reasons: []string{"no room"},
			Placements: []explain.TaskPlacement{{Task: "j-000412/3", Attempt: 2, Machine: "i-000231", State: "running", Since: 5}},
			Stops:      []explain.TaskStop{{Task: "j-000412/4", Attempt: 1, Machine: "i-000230", At: 4, Reason: "spot notice"}}}},
	}
}

// gangMessages returns a worker's heartbeat and the response to it, with every task state, exit reason and command field
// that only gangs use.
func gangMessages() map[string]any {
	gracePeriod := 10.0
	return map[string]any{
		"gang report": wire.Heartbeat{MachineID: "i-000231", Address: "10.1.0.232:9000", InstanceType: "g8", Zone: "a",
			Incarnation: 1, Sequence: 89, FencingToken: 41, Tasks: []wire.TaskStatus{
				{TaskID: "j-000501/0", Attempt: 7, State: wire.TaskWaitingForGang},
				{TaskID: "j-000502/1", Attempt: 8, State: wire.TaskRunning},
				{TaskID: "j-000503/2", Attempt: 9, State: wire.TaskCheckpointing},
				{TaskID: "j-000504/3", Attempt: 10, State: wire.TaskExited, ExitReason: wire.ExitStopped, Checkpointed: true},
				{TaskID: "j-000505/0", Attempt: 11, State: wire.TaskExited, ExitReason: wire.ExitGangTaskLost},
				{TaskID: "j-000506/0", Attempt: 12, State: wire.TaskExited, ExitReason: wire.ExitGangTimeout}}},
		"gang answer": wire.HeartbeatResponse{FencingToken: 41, Commands: []wire.Command{
			{Verb: wire.VerbStart, TaskID: "j-000507/0", Attempt: 13},
			{Verb: wire.VerbStart, TaskID: "j-000507/1", Attempt: 13},
			{Verb: wire.VerbStop, TaskID: "j-000502/1", Attempt: 8, GracePeriodS: &gracePeriod}}},
	}
}

// standbyMessages returns a follower's query, and its response, which has an entry of each kind.
func standbyMessages() map[string]any {
	task := standby.TaskState{Attempt: 7, Stopping: true, Urgent: true, Reserved: true}
	machine := standby.MachineState{Incarnation: 3, TasksKnown: true}
	return map[string]any{
		"standby query": peer.Request{ID: 5, StandbyQuery: &standby.Query{Version: standby.Version, Member: "host-2", FencingToken: 41, Position: 7,
			Snapshot: true, AfterMachine: "i-000230"}},
		"standby page": peer.Response{ID: 5, StandbyPage: &standby.Page{Version: standby.Version, FencingToken: 41, LatestPosition: 19, AfterPosition: 12, Compacted: true,
			Entries: []standby.Entry{
				{TaskAssigned: &standby.TaskAssigned{Machine: "i-000231", Task: "j-000412/3", TaskState: task}},
				{TaskRemoved: &standby.TaskRemoved{Machine: "i-000231", Task: "j-000412/4"}},
				{MachineObserved: &standby.MachineObserved{Machine: "i-000232", MachineState: machine}},
				{MachineTerminating: &standby.MachineTerminating{Machine: "i-000233", Reason: "idle"}},
				{MachineTerminated: &standby.MachineTerminated{Machine: "i-000234"}},
				{EstimateUpdated: &standby.EstimateUpdated{Class: "batch", Moments: []float64{2, 3.5, 8.25}}},
				{Handover: &standby.Handover{To: "host-2", Complete: true}},
			},
			Snapshot: &standby.SnapshotPage{
				Machines: []standby.MachineRecord{{Name: "i-000235", MachineState: machine, Terminating: true,
					Tasks: []standby.TaskRecord{{Task: "j-000413/0", TaskState: task}}}},
				HasMore:   true,
				Estimates: []standby.EstimateUpdated{{Class: "scan", Moments: []float64{1, 0.5}}},
				Handover:  &standby.Handover{To: "host-1", Complete: true},
			},
			Followers: []standby.FollowerState{{Member: "host-2", Position: 18, Complete: true, AgeS: 0.25}},
		}},
	}
}

// zoneMessages returns a request for the status of the zones, and its response.
func zoneMessages() map[string]any {
	return map[string]any{
		"zones asked": peer.Request{ID: 6, WantZones: true},
		"zones told": peer.Response{ID: 6, ZoneStatus: []zone.Status{{Zone: "b", State: zone.Reopening.String(), Reason: zone.ReasonStepSucceeded,
			SinceS: 4.5, Step: 2, Steps: 4, OpenShare: 0.25, HoldDownS: 1.5, Flaps: 1,
			Evidence: zone.Evidence{Running: 40, Late: 1, Silent: 2, LostResponses: 3, Unlisted: 4, Quarantined: 5, Recovered: 38, Relapses: 6, StartsSent: 70, StartsSeen: 69},
			Work: zone.WorkStatus{Displaced: map[string]int{"scan": 30}, Moved: map[string]int{"scan": 20}, Restarted: map[string]int{"scan": 9},
				LeasedMachines: 2, LeasedTasks: 8, NextLeaseEndS: 1.25, LastLeaseEndS: 9.5, ClosedMachines: 30, ReplacedMachines: 15}}}},
	}
}

// membershipMessages returns a heartbeat between members, as a request and as its response.
func membershipMessages() map[string]any {
	heartbeat := &membership.Heartbeat{Member: "host-2", Incarnation: 3, Leaving: true, Views: []membership.MemberView{
		{Member: "host-1", State: membership.Suspected, Incarnation: 2, Silence: 3500 * micros.Millisecond},
		{Member: "host-0", State: membership.Alive, Incarnation: 1, Silence: 200}}}
	return map[string]any{
		"heartbeat":          peer.Request{ID: 7, MembershipHeartbeat: heartbeat},
		"heartbeat answered": peer.Response{ID: 7, MembershipHeartbeat: heartbeat},
	}
}
