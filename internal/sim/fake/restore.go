package fake

import (
	"fmt"
	"time"

	"caperlatch/internal/wire"
)

// Restore has the cloud own machines that report what they reported once, as if they had
// been rented and worked on. The rules must know the jobs of their tasks.
func (c *Cloud) Restore(reports []wire.Heartbeat) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range reports {
		r := &reports[i]
		rental := wire.LaunchRequest{InstanceType: r.InstanceType, Zone: r.Zone, Spot: r.Spot}
		c.Rules.ObserveLaunch(r.MachineID, rental)
		w := makeWorker(c, r.MachineID, rental)
		w.restore(r)
		c.machines[w.ID] = w
		c.Net.Handle(w.address, w)
		if err := c.reserveName(w.ID); err != nil {
			return err
		}
		for _, t := range w.tasks {
			c.restoreSite(t, w.ID)
		}
	}
	for i := range reports { // only now, since the tasks of a gang watch each other
		w := c.machines[reports[i].MachineID]
		go w.run(w.ctx)
	}
	return nil
}

// reserveName keeps the name of a machine from being given to a further one.
func (c *Cloud) reserveName(id string) error {
	var n int
	if _, err := fmt.Sscanf(id, "i-%d", &n); err != nil {
		return fmt.Errorf("machine %s: %w", id, err)
	}
	c.next = max(c.next, n+1)
	return nil
}

// restoreSite notes that a machine has a task, or that it is done there; the caller holds
// the lock.
func (c *Cloud) restoreSite(t *workerTask, machine string) {
	switch {
	case t.State == wire.TaskPullingImage:
		// Noted when it begins.
	case t.State != wire.TaskExited:
		c.Rules.ObserveStart(t.TaskID, machine)
		c.sites[t.TaskID] = machine
	case t.ExitReason == wire.ExitDone:
		c.Rules.ObserveStart(t.TaskID, machine)
		c.Rules.ObserveExit(t.TaskID, machine, true)
	}
}

// restore has a worker that does not run yet be as its report told.
func (w *Worker) restore(r *wire.Heartbeat) {
	w.session, w.seq, w.token = r.Incarnation, r.Sequence, r.FencingToken
	if r.InterruptionNoticeS != nil {
		w.recall = time.Now().Add(seconds(*r.InterruptionNoticeS))
	}
	for _, reported := range r.Tasks {
		t := &workerTask{TaskStatus: reported}
		job := w.job(t.TaskID)
		switch t.State {
		case wire.TaskPullingImage:
			t.ends = time.Now().Add(seconds(w.cloud.ImagePullS))
		case wire.TaskRunning:
			t.ends = time.Now().Add(seconds(w.cloud.RuntimeOf(t.TaskID)))
		case wire.TaskCheckpointing:
			t.ends = time.Now().Add(seconds(job.CheckpointDurationS))
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

// restore has a gang's attempt be as one of its tasks was reported.
func (g *gangs) restore(t *workerTask, job *wire.Job, runFor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, a := time.Now(), g.attempt(t, job)
	m := &gangMember{joined: now, seen: now}
	switch t.State {
	case wire.TaskPullingImage:
		return
	case wire.TaskExited:
		if t.ExitReason == wire.ExitDone {
			g.done[job.ID] = true
		}
		return
	case wire.TaskRunning, wire.TaskCheckpointing:
		a.started, a.ends = now, now.Add(seconds(runFor))
	}
	if t.State == wire.TaskCheckpointing {
		a.firstStop, a.lastStop, m.told = now, now, true
	}
	a.members[t.TaskID] = m
}
