package fleet

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"caperlatch/internal/cloud"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// terminateInterval is the time between two requests for queued terminations.
const terminateInterval = 200 * micros.Millisecond

// Terminate queues the termination of a machine, if this leader holds its session. The machine's tasks remain assigned
// to it until the cloud has confirmed the termination; its planned starts are dropped.
//
// A leader whose session is in doubt terminates nothing: its requests may be delayed and carried out minutes
// later, on machines that the next leader uses. An isolated leader that heard from none of its machines once
// terminated a whole fleet that way.
func (f *Fleet) Terminate(m *state.Machine, reason string) {
	if !f.Term.HoldsSession() {
		return
	}
	f.Events.Add("terminating", reason, m.ID)
	m.Instance.Terminating = true
	m.PlannedStarts = nil
	for _, a := range m.Attempts {
		a.StopReason = "its machine is returned: " + reason
	}
	f.terminationQueue = append(f.terminationQueue, m.ID)
	f.OnTerminating(m, reason)
}

// TerminationQueue returns the IDs of the machines whose termination has not been requested yet.
func (f *Fleet) TerminationQueue() []string { return f.terminationQueue }

// terminateLoop sends requests that terminate several machines each, because the rate of requests is limited,
// and one request per machine would scale a fleet in too slowly.
func (f *Fleet) terminateLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	micros.Every(ctx, terminateInterval, func() {
		if ids := f.takeTerminations(); len(ids) > 0 {
			wg.Go(func() { f.requestTermination(ctx, ids) })
		}
	})
}

// takeTerminations takes as many machine IDs from the queue as one request may name.
func (f *Fleet) takeTerminations() (ids []string) {
	f.Lock.Lock()
	defer f.Lock.Unlock()
	if f.IsHandingOver() {
		return nil
	}
	n := min(len(f.terminationQueue), cloud.MaxInstancesPerTermination)
	ids = slices.Clone(f.terminationQueue[:n])
	f.terminationQueue = slices.Delete(f.terminationQueue, 0, n)
	return ids
}

// requestTermination sends a termination request until the cloud has confirmed it. After that, the machines
// and all tasks on them have ended.
func (f *Fleet) requestTermination(ctx context.Context, ids []string) {
	for wait := firstCloudRetry; ; wait = min(2*wait, maxCloudRetry) {
		if f.Term.HoldsSession() {
			err := f.Cloud.Terminate(ctx, ids, f.Term.HoldsSession)
			if err == nil {
				break
			}
			slog.Debug("termination request failed; it is sent again", "machines", len(ids), "error", err)
		}
		micros.Pause(ctx, wait)
		if ctx.Err() != nil {
			return
		}
	}
	f.Lock.Lock()
	defer f.Lock.Unlock()
	for _, id := range ids {
		if m := f.Machines[id]; m != nil {
			f.Remove(m)
		}
	}
}

// minListInterval is the minimum time between two reads of the cloud's instance list.
const minListInterval = 4 * micros.Second

// listLoop polls the cloud's instance list and compares it with the known machines.
func (f *Fleet) listLoop(ctx context.Context) {
	micros.Every(ctx, max(minListInterval, f.ListLag), func() {
		list, err := f.Cloud.ListInstances(ctx)
		if err != nil {
			slog.Debug("listing the cloud's instances failed", "error", err)
			return
		}
		f.Lock.Lock()
		defer f.Lock.Unlock()
		f.ReconcileInstances(list)
	})
}

// orphanMargin is added to three times the list lag to get the time after which an orphaned instance is
// terminated.
const orphanMargin = 10 * micros.Second

// ReconcileInstances compares the cloud's instance list with the fleet. It terminates instances that have failed, and
// instances that have belonged to no launch intent for some time; see trackOrphan. While a launch is unanswered, an
// unknown instance may come from that launch, so no instance counts as orphaned. The list may be out of date, so it
// proves nothing about tasks.
func (f *Fleet) ReconcileInstances(list []wire.InstanceStatus) {
	now := micros.Now()
	hasOpenIntents := false
	for range f.OpenIntents() {
		hasOpenIntents = true
	}
	listedOrphans := map[string]bool{} // IDs of orphaned instances in the list
	for _, m := range f.Machines {
		m.Instance.MissedCloudLists++
	}
	for _, instance := range list {
		m := f.Machines[instance.ID]
		if m != nil {
			m.Instance.SeenInCloudList, m.Instance.MissedCloudLists = true, 0
		}
		switch {
		case m != nil && instance.State == wire.InstanceFailed && !m.Instance.Terminating:
			f.Terminate(m, "failed")
		case m != nil || hasOpenIntents:
		default:
			listedOrphans[instance.ID] = true
			f.trackOrphan(instance.ID, now)
		}
	}
	for id := range f.orphans {
		if !listedOrphans[id] {
			delete(f.orphans, id)
		}
	}
}

// trackOrphan records when an orphaned instance was first listed, and queues its termination once it has been listed
// for longer than three times the list lag plus orphanMargin. An orphaned instance comes from a launch that was
// carried out late, or from a termination that was lost.
func (f *Fleet) trackOrphan(id string, now micros.Micros) {
	since, known := f.orphans[id]
	switch {
	case !known:
		f.orphans[id] = now
	case now-since > 3*f.ListLag+orphanMargin:
		delete(f.orphans, id)
		slog.Info("terminating an instance that belongs to no launch intent", "machine", id)
		f.terminationQueue = append(f.terminationQueue, id)
	}
}
