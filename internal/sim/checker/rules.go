package checker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"caperlatch/internal/wire"
)

// Rules watches what users are told and what runs, and notes each broken rule of the
// protocol by its name there.
type Rules struct {
	CancellationTimeout time.Duration       // cancel_s
	TeamCPULimits       map[string]float64  // GuaranteedCPUs that a team may use, by team; 0: no limit
	InstanceTypes       []wire.InstanceType // what the cloud has
	OnTaskEvent         func(TaskEvent)     // is told what tasks do, in order; nil: nobody is

	mu        sync.Mutex
	jobs      map[string]*watched
	on        map[string]string // task -> machine that has it
	used      map[string]float64
	kinds     map[string]wire.LaunchRequest // of machines
	cancelled []*watched                    // jobs that users were told are cancelled
	after     int                           // starts of these
	broken    []string
}

// TaskEvent is a task that began on a machine, or left it.
type TaskEvent struct {
	Task, Machine, Zone string
	Started, Done       bool
}

// tell shows an event to who watches; the caller holds the lock.
func (r *Rules) tell(task, machine string, began, done bool) {
	if r.OnTaskEvent != nil {
		r.OnTaskEvent(TaskEvent{Task: task, Machine: machine, Zone: r.kinds[machine].Zone, Started: began, Done: done})
	}
}

// ZoneOf is where a machine is or was, empty if there never was one.
func (r *Rules) ZoneOf(machine string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kinds[machine].Zone
}

// watched is a job as its user knows it.
type watched struct {
	spec     wire.Job
	wrong    string    // why it must not be accepted, if so
	accepted time.Time // when a user was first told of it
	asked    bool      // to be cancelled
	final    string    // status told, if it is one that stays
	told     time.Time // when
	done     map[string]bool
	on       map[string]bool // its tasks on machines
}

// NewRules returns a checker that has observed nothing yet.
func NewRules(cancellationTimeout time.Duration, teamCPULimits map[string]float64, instanceTypes []wire.InstanceType) *Rules {
	return &Rules{CancellationTimeout: cancellationTimeout, TeamCPULimits: teamCPULimits, InstanceTypes: instanceTypes, jobs: map[string]*watched{}, on: map[string]string{},
		used: map[string]float64{}, kinds: map[string]wire.LaunchRequest{}}
}

func (r *Rules) breaks(rule, format string, args ...any) {
	r.broken = append(r.broken, rule+": "+fmt.Sprintf(format, args...))
}

// Violations lists the rules broken so far.
func (r *Rules) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overstayed()
	return slices.Clone(r.broken)
}

// ObserveLaunch notes what kind of machine one is.
func (r *Rules) ObserveLaunch(machine string, kind wire.LaunchRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[machine] = kind
}

// ObserveStart notes a task that is on a machine from now on.
func (r *Rules) ObserveStart(task, machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overstayed()
	if m, ok := r.on[task]; ok {
		r.breaks("ran_twice", "%s on %s and %s", task, m, machine)
	}
	id, _, _ := strings.Cut(task, "/")
	w := r.jobs[id]
	if w == nil {
		r.breaks("ran_unknown", "%s", task)
		return
	}
	kind := r.kinds[machine]
	r.zones(w, task, kind.Zone)
	if len(w.spec.InstanceTypes) > 0 && !slices.Contains(w.spec.InstanceTypes, kind.InstanceType) || w.spec.Zone != "" && w.spec.Zone != kind.Zone || kind.Spot && !w.spec.AllowSpot {
		r.breaks("wrong_place", "%s on %+v", task, kind)
	}
	if w.final == wire.JobCancelled {
		r.after++
	}
	if w.final == wire.JobCancelled && time.Since(w.told) > r.CancellationTimeout {
		r.breaks("ran_cancelled", "%s starts %v after its user was told", task, time.Since(w.told))
	}
	if _, ok := r.on[task]; !ok {
		r.used[w.spec.Team] += w.spec.CPUs
	}
	r.on[task], w.on[task] = machine, true
	r.tell(task, machine, true, false)
	if limit := r.TeamCPULimits[w.spec.Team]; limit > 0 && r.used[w.spec.Team] > limit {
		r.breaks("quota", "team %s uses %v of %v CPUs", w.spec.Team, r.used[w.spec.Team], limit)
	}
}

// ObserveExit notes a task that is no longer on a machine, and whether it was done.
func (r *Rules) ObserveExit(task, machine string, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overstayed()
	id, _, _ := strings.Cut(task, "/")
	w := r.jobs[id]
	if w == nil || r.on[task] != machine {
		return
	}
	delete(r.on, task)
	delete(w.on, task)
	r.tell(task, machine, false, done)
	r.used[w.spec.Team] -= w.spec.CPUs
	if done {
		w.done[task] = true
	}
	for t := 0; done && w.spec.Kind == wire.KindGang && t < w.spec.Tasks; t++ {
		w.done[fmt.Sprintf("%s/%d", id, t)] = true // they complete together
	}
}

// zones checks where a task of a job that binds its tasks to each other's zones starts,
// given where its other tasks are.
func (r *Rules) zones(w *watched, task, zone string) {
	if !w.spec.SingleZone && !w.spec.SpreadZones {
		return
	}
	here := 1
	for other := range w.on {
		if other == task {
			continue
		}
		if z := r.kinds[r.on[other]].Zone; z == zone {
			here++
		} else if w.spec.SingleZone {
			r.breaks("wrong_place", "%s starts in zone %s while %s is in %s", task, zone, other, z)
		}
	}
	if w.spec.SpreadZones && here > (w.spec.Tasks+1)/2 {
		r.breaks("wrong_place", "%s makes %d of %d tasks in zone %s", task, here, w.spec.Tasks, zone)
	}
}

// overstayed looks for tasks of jobs cancelled too long ago. It comes before every
// change, so a task that stays a moment too long is seen when it leaves.
func (r *Rules) overstayed() {
	for _, w := range r.cancelled {
		if time.Since(w.told) <= r.CancellationTimeout {
			continue
		}
		for task := range w.on {
			r.breaks("ran_cancelled", "%s is on %s %v after its user was told", task, r.on[task], time.Since(w.told))
			delete(r.on, task)
			delete(w.on, task)
			r.used[w.spec.Team] -= w.spec.CPUs
		}
	}
}

// StartsAfterCancel counts the starts after a user was told that the job is cancelled,
// also those that the protocol admits because the command was on its way.
func (r *Rules) StartsAfterCancel() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.after
}

// Job is a job as it was submitted.
func (r *Rules) Job(id string) wire.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.jobs[id]; w != nil {
		return w.spec
	}
	return wire.Job{}
}

// ObserveSubmission notes that a user is about to submit a job.
func (r *Rules) ObserveSubmission(spec wire.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submits(spec, r.wrong(&spec))
}

// ObserveMalformedSubmission notes that a user is about to submit a job that lacks a field.
func (r *Rules) ObserveMalformedSubmission(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submits(wire.Job{ID: id}, "malformed")
}

// submits keeps the first submission that may be accepted: what a repeat says counts
// for nothing.
func (r *Rules) submits(spec wire.Job, wrong string) {
	if w := r.jobs[spec.ID]; w == nil || w.wrong != "" && wrong == "" {
		r.jobs[spec.ID] = &watched{spec: spec, wrong: wrong, done: map[string]bool{}, on: map[string]bool{}}
	}
}

// wrong tells why a job can never run, if so.
func (r *Rules) wrong(spec *wire.Job) string {
	limit, known := r.TeamCPULimits[spec.Team]
	switch {
	case !known:
		return "unknown team"
	case limit > 0 && spec.CPUs > limit:
		return "over the team's limit"
	case limit > 0 && spec.Kind == wire.KindGang && spec.CPUs*float64(spec.Tasks) > limit+1e-6:
		return "the whole gang is over the team's limit"
	}
	for _, t := range r.InstanceTypes {
		if (len(spec.InstanceTypes) == 0 || slices.Contains(spec.InstanceTypes, t.Name)) && (spec.Zone == "" || slices.Contains(t.Zones, spec.Zone)) &&
			spec.CPUs <= t.CPUs && spec.GPUs <= t.GPUs && spec.MemoryGB <= t.MemoryGB {
			return ""
		}
	}
	return "fits no machine"
}

// ObserveRequest notes a request about a job that is about to be sent, and names the job.
func (r *Rules) ObserveRequest(path string) (id string) {
	id, abort := strings.CutSuffix(strings.TrimPrefix(path, "/v1/jobs/"), "/abort")
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.jobs[id]; w != nil && abort {
		w.asked = true
	}
	return id
}

// ObserveResponse notes the answer to a request about a job that was sent at an instant.
func (r *Rules) ObserveResponse(method, path, id string, sent time.Time, code int, s wire.JobStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.jobs[id]
	if w == nil {
		if code == http.StatusOK || code == http.StatusCreated {
			r.breaks("invented", "%s", id)
		}
		return
	}
	known := !w.accepted.IsZero() && w.accepted.Before(sent)
	switch code {
	case http.StatusOK, http.StatusCreated:
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		if known {
			r.breaks("forgotten", "%s %s answered %d", method, path, code)
		}
		return
	default:
		return
	}
	if w.accepted.IsZero() {
		if w.wrong != "" {
			r.breaks("accepted_wrong", "%s: %s", id, w.wrong)
		}
		w.accepted = time.Now()
	}
	if w.final != "" && w.told.Before(sent) && s.Status != w.final {
		r.breaks("went_back", "%s was %s and is %s", id, w.final, s.Status)
	}
	switch s.Status {
	case wire.JobDone:
		if len(w.done) < w.spec.Tasks {
			r.breaks("not_done", "%s: %d of %d tasks", id, len(w.done), w.spec.Tasks)
		}
	case wire.JobCancelled:
		if !w.asked {
			r.breaks("went_back", "%s is cancelled, and nobody asked", id)
		}
	default:
		return
	}
	if w.final == "" {
		w.final, w.told = s.Status, time.Now()
		if s.Status == wire.JobCancelled {
			r.cancelled = append(r.cancelled, w)
		}
	}
}
