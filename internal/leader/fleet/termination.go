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

// terminateInterval is how often queued terminations are sent.
const terminateInterval = 200 * micros.Millisecond

// Terminate has a machine terminated. Its tasks count as being on it until the cloud has confirmed that.
//
// A leader whose session is in doubt terminates nothing: its requests may be held back and carried out
// minutes later, on machines that the next leader uses. An isolated leader to which all machines were silent
// once lost a whole fleet that way.
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

// TerminationQueue lists the machines whose termination was not sent yet.
func (f *Fleet) TerminationQueue() []string { return f.terminationQueue }

// terminateLoop has the cloud terminate machines, many with a request: requests are few, and a
// fleet is scaled in faster than machine by machine.
func (f *Fleet) terminateLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	micros.Every(ctx, terminateInterval, func() {
		if ids := f.takeTerminations(); len(ids) > 0 {
			wg.Go(func() { f.requestTermination(ctx, ids) })
		}
	})
}

// takeTerminations takes as many machines off the queue as one request may name.
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

// requestTermination sends the request until the cloud has confirmed it; then the machines and all tasks on them have ended.
func (f *Fleet) requestTermination(ctx context.Context, ids []string) {
	for wait := firstCloudRetry; ; wait = min(2*wait, maxCloudRetry) {
		if f.Term.HoldsSession() {
			err := f.Cloud.Terminate(ctx, ids, f.Term.HoldsSession)
			if err == nil {
				break
			}
			slog.Debug("termination request failed", "machines", len(ids), "error", err)
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

// minListInterval is how often the cloud's list is read at most.
const minListInterval = 4 * micros.Second

// listLoop compares the cloud's list with the known machines.
func (f *Fleet) listLoop(ctx context.Context) {
	micros.Every(ctx, max(minListInterval, f.ListLag), func() {
		list, err := f.Cloud.ListInstances(ctx)
		if err != nil {
			slog.Debug("listing instances failed", "error", err)
			return
		}
		f.Lock.Lock()
		defer f.Lock.Unlock()
		f.ReconcileInstances(list)
	})
}

// unexplainedMargin is for how long an instance may be unexplained beside the lag of lists.
const unexplainedMargin = 10 * micros.Second

// ReconcileInstances terminates instances that no intent explains, and those that have failed. The
// list is late, so it proves nothing about tasks.
func (f *Fleet) ReconcileInstances(list []wire.InstanceStatus) {
	now := micros.Now()
	hasOpenIntents := false
	for range f.OpenIntents() {
		hasOpenIntents = true
	}
	listed := map[string]bool{} // of those that are unexplained
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
			listed[instance.ID] = true
			f.watchUnexplained(instance.ID, now)
		}
	}
	for id := range f.unexplained {
		if !listed[id] {
			delete(f.unexplained, id)
		}
	}
}

// watchUnexplained terminates an instance that nobody uses: a launch that was carried out late, or
// a termination that was lost.
func (f *Fleet) watchUnexplained(id string, now micros.Micros) {
	since, known := f.unexplained[id]
	switch {
	case !known:
		f.unexplained[id] = now
	case now-since > 3*f.ListLag+unexplainedMargin:
		delete(f.unexplained, id)
		slog.Info("terminating an instance of no launch intent", "machine", id)
		f.terminationQueue = append(f.terminationQueue, id)
	}
}
