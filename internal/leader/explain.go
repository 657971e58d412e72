package leader

import (
	"context"
	"fmt"
	"log/slog"
	"slices"

	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// StopNote says why a task stopped before it was done.
type StopNote struct {
	Task    string        `json:"task"`
	Machine string        `json:"machine"`
	At      micros.Micros `json:"at"` // time of day
	Why     string        `json:"why"`
}

// keptNotes bounds the memory for notes.
const keptNotes = 1000

func (l *Leader) note(a *attempt, why string) {
	n := StopNote{Task: taskName(a.job.spec.ID, a.task), Machine: a.machine.id, At: micros.Wall(), Why: why}
	slog.Debug("task stopped", "task", n.Task, "machine", n.Machine, "why", why)
	if len(l.lastStops) >= keptNotes {
		l.lastStops = slices.Delete(l.lastStops, 0, keptNotes/4)
	}
	l.lastStops = append(l.lastStops, n)
}

// Explanation tells the duty team about a job.
type Explanation struct {
	Job     string     `json:"job"`
	Team    string     `json:"team"`
	Tasks   int        `json:"tasks"`
	Done    int        `json:"done"`
	Running int        `json:"running"`
	Waiting int        `json:"waiting"`
	Why     []string   `json:"why"`
	Stops   []StopNote `json:"stops"`
}

// Explain says why a job waits and why its tasks were stopped.
func (l *Leader) Explain(id string) (Explanation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := Explanation{Job: id}
	for _, s := range l.lastStops {
		if job, _, err := parseTask(s.Task); err == nil && job == id {
			e.Stops = append(e.Stops, s)
		}
	}
	j := l.jobs[id]
	if j == nil {
		return e, len(e.Stops) > 0
	}
	e.Team, e.Tasks, e.Done, e.Running, e.Waiting = j.spec.Team, j.spec.Tasks, j.ndone, j.running, j.waiting()
	if e.Waiting > 0 {
		e.Why = l.whyWaiting(j)
	}
	return e, true
}

func (l *Leader) whyWaiting(j *job) (why []string) {
	now := micros.Now()
	teams, unresolved := l.teamUse()
	if j.old && unresolved > 0 {
		why = append(why, fmt.Sprintf("%d machines' tasks are not known yet after the take-over", unresolved))
	}
	if f := j.failing(now); f != "" && !j.good() {
		why = append(why, f)
	} else if now < j.notBefore {
		why = append(why, j.waitsFor)
	}
	if t := teams[j.spec.Team]; t != nil && t.Limit.CPU > 0 && t.Used.CPU+j.need.CPU > t.Limit.CPU {
		why = append(why, "its team uses as many CPUs as it may")
	}
	if t := teams[j.spec.Team]; t != nil && t.Limit.GPU > 0 && t.Used.GPU+j.need.GPU > t.Limit.GPU {
		why = append(why, "its team uses as many GPUs as it may")
	}
	if !l.Term.Sure() {
		why = append(why, "the leader is not sure of its leadership")
	}
	if len(why) > 0 {
		return why
	}
	machines, _ := l.placeable(now, placement.Resources{})
	for i := range machines {
		if machines[i].Free.Fits(j.need) {
			return append(why, "it starts at a machine's next report, or its zone rules leave no room")
		}
	}
	coming := 0
	for _, m := range l.machines {
		if !m.up {
			coming++
		}
	}
	return append(why, fmt.Sprintf("no machine has room for a task; %d are coming up", coming))
}

// Counts is what is shown of a job that is not over.
func (l *Leader) Counts(id string) (done, running int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	return j.ndone, j.running, true
}

// logPicture shows now and then what the leader sees.
func (l *Leader) logPicture(now micros.Micros) {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	states := map[string]int{}
	waiting, held, cpus, open := 0, int64(0), int64(0), 0
	for _, j := range l.jobs {
		waiting += j.waiting()
		if j.ready(now) > 0 {
			open++
		}
	}
	for _, m := range l.machines {
		for _, a := range m.tasks {
			states[a.state]++
			held += a.job.need.CPU
		}
		if t := l.types[m.kind.Type]; t != nil && l.mayStart(m, now) {
			cpus += t.capacity.CPU
		}
	}
	targets := map[string]string{}
	for _, t := range l.types {
		targets[t.Name] = fmt.Sprintf("m=%.1f want=%.1f target=%d", t.m, t.want, t.target)
	}
	slog.Debug("picture", "jobs", len(l.jobs), "waiting", waiting, "open", open, "states", states,
		"held_cpus", held/1000, "usable_cpus", cpus/1000, "machines", len(l.machines), "unresolved", l.unresolved(), "targets", targets)
}
