package fake

import (
	"fmt"
	"time"

	"caperlatch/internal/wire"
)

// Restore adds the machines that recorded heartbeats describe, with their tasks, as if the cloud had launched them.
// The rules must know the jobs of the tasks. Restore must be called before anything else uses the cloud, because it
// changes workers without holding their locks.
func (c *Cloud) Restore(heartbeats []wire.Heartbeat) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range heartbeats {
		if err := c.restoreMachine(&heartbeats[i]); err != nil {
			return err
		}
	}
	for i := range heartbeats { // after all machines are restored, because the tasks of a gang observe each other
		w := c.machines[heartbeats[i].MachineID]
		go w.run(w.ctx)
	}
	return nil
}

// restoreMachine adds a machine whose worker does not run yet. The caller holds the lock.
func (c *Cloud) restoreMachine(h *wire.Heartbeat) error {
	launch := wire.LaunchRequest{InstanceType: h.InstanceType, Zone: h.Zone, Spot: h.Spot}
	c.Rules.ObserveLaunch(h.MachineID, launch)
	w := newWorker(c, h.MachineID, launch)
	w.restore(h)
	c.machines[w.ID] = w
	c.Net.Handle(w.address, w)
	if err := c.reserveID(w.ID); err != nil {
		return err
	}
	for _, t := range w.tasks {
		c.restoreTask(t, w.ID)
	}
	return nil
}

// reserveID ensures that no further machine gets the given ID. The caller holds the lock.
func (c *Cloud) reserveID(id string) error {
	var n int
	if _, err := fmt.Sscanf(id, "i-%d", &n); err != nil {
		return fmt.Errorf("parse machine ID %q: %w", id, err)
	}
	c.nextMachine = max(c.nextMachine, n+1)
	return nil
}

// restoreTask records that a task is on a machine, or that it completed there. The caller holds the lock.
func (c *Cloud) restoreTask(t *workerTask, machine string) {
	switch {
	case t.State == wire.TaskPullingImage:
		// The start is recorded when the image pull is complete.
	case t.State != wire.TaskExited:
		c.Rules.ObserveStart(t.TaskID, machine)
		c.machineByTask[t.TaskID] = machine
	case t.ExitReason == wire.ExitDone:
		c.Rules.ObserveStart(t.TaskID, machine)
		c.Rules.ObserveExit(t.TaskID, machine, true)
	}
}

// restore sets the state of a worker that does not run yet to the one that a heartbeat describes.
func (w *Worker) restore(h *wire.Heartbeat) {
	w.incarnation, w.sequence, w.fencingToken = h.Incarnation, h.Sequence, h.FencingToken
	if h.InterruptionNoticeS != nil {
		w.interruptedAt = time.Now().Add(seconds(*h.InterruptionNoticeS))
	}
	for _, status := range h.Tasks {
		t := &workerTask{TaskStatus: status}
		job := w.job(t.TaskID)
		switch t.State {
		case wire.TaskPullingImage:
			t.endsAt = time.Now().Add(seconds(w.cloud.ImagePullS))
		case wire.TaskRunning:
			t.endsAt = time.Now().Add(seconds(w.cloud.RuntimeOf(t.TaskID)))
		case wire.TaskCheckpointing:
			t.endsAt = time.Now().Add(seconds(job.CheckpointDurationS))
		}
		if t.State != wire.TaskPullingImage {
			w.images[job.Image] = true
		}
		if job.Kind == wire.KindGang {
			w.cloud.gangs.restore(t, &job, w.cloud.RuntimeOf(t.TaskID))
		}
		w.tasks = append(w.tasks, t)
	}
}

// restore updates the attempt of a gang according to the state that one of its tasks had in a heartbeat.
func (g *gangRegistry) restore(t *workerTask, job *wire.Job, runtimeS float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, a := time.Now(), g.attempt(t, job)
	m := &gangMember{joinedAt: now, lastStepAt: now}
	switch t.State {
	case wire.TaskPullingImage:
		return
	case wire.TaskExited:
		if t.ExitReason == wire.ExitDone {
			g.done[job.ID] = true
		}
		return
	case wire.TaskRunning, wire.TaskCheckpointing:
		a.startedAt, a.endsAt = now, now.Add(seconds(runtimeS))
	}
	if t.State == wire.TaskCheckpointing {
		a.firstStopAt, a.lastStopAt, m.stopping = now, now, true
	}
	a.members[t.TaskID] = m
}
