package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt, and checks the rules that users and the platform can
// see: ran_twice, quota, ran_cancelled, not_done, went_back, forgotten.
type recorder struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	quiet  map[string]int
	jobs   map[string]*jobTrack
	on     map[string]string // machine that a task is on
	limit  map[string]float64
	used   map[string]float64
	broken []string
	starts int
	asked  []time.Time // launch requests to the cloud
	seen   map[string]bool
}

// jobTrack is what users and machines saw of one job.
type jobTrack struct {
	job       job
	accepted  time.Time
	final     string
	cancelled time.Time // when its user was told
	asked     bool      // its user has asked to cancel it
	done      map[int]bool
	starts    int
	lastStart time.Time
	lastDone  time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		panic(err)
	}
	return &recorder{file: f, start: time.Now(), quiet: map[string]int{}, jobs: map[string]*jobTrack{}, on: map[string]string{}, limit: map[string]float64{}, used: map[string]float64{}, seen: map[string]bool{}}
}

// logf writes a line with the time since the start.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *recorder) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// few writes a line for the first lines of a kind only, so that the record stays small.
func (r *recorder) few(kind string, most int, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.quiet[kind]++; r.quiet[kind] <= most {
		r.line(format, args...)
	} else if r.quiet[kind] == most+1 {
		r.line("further lines of the kind %q are left out", kind)
	}
}

func (r *recorder) breakRule(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	if r.seen[text] {
		return
	}
	r.seen[text] = true
	r.broken = append(r.broken, text)
	if len(r.broken) <= 20 {
		r.line("BROKEN %s", text)
	}
}

func (r *recorder) track(id string) *jobTrack {
	t := r.jobs[id]
	if t == nil {
		t = &jobTrack{done: map[int]bool{}}
		r.jobs[id] = t
	}
	return t
}

func splitPiece(p string) (id string, index int) {
	id, n, _ := strings.Cut(p, "/")
	index, _ = strconv.Atoi(n)
	return id, index
}

// jobOf returns the description that the user uploaded.
func (r *recorder) jobOf(p string) (job, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, index := splitPiece(p)
	t := r.jobs[id]
	if t == nil || t.job.ID == "" || index >= t.job.Pieces {
		return job{}, false
	}
	return t.job, true
}

// started records that a task is on a machine from now on.
func (r *recorder) started(p string, try uint64, m *machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, _ := splitPiece(p)
	t := r.track(id)
	t.starts++
	t.lastStart = time.Now()
	r.starts++
	if r.quiet["start "+id]++; r.quiet["start "+id] <= 40 {
		r.line("run    %s try %d starts on %s (%s, %s)", p, try, m.id, m.build, m.hall)
	}
	if other := r.on[p]; other != "" && other != m.id {
		r.breakRule("ran_twice", "%s starts on %s while it is on %s", p, m.id, other)
	}
	r.on[p] = m.id
	r.used[t.job.Desk] += t.job.VCPUs
	if limit := r.limit[t.job.Desk]; limit > 0 && r.used[t.job.Desk] > limit+1e-6 {
		r.breakRule("quota", "%s uses %.3f CPUs of %.3f", t.job.Desk, r.used[t.job.Desk], limit)
	}
	if !t.cancelled.IsZero() {
		r.line("note   %s starts %.3f s after its user was told that it is cancelled", p, time.Since(t.cancelled).Seconds())
		if time.Since(t.cancelled).Seconds() > cancelS {
			r.breakRule("ran_cancelled", "%s starts", p)
		}
	}
}

// left records that a task has left its machine.
func (r *recorder) left(p, machine, why string, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, index := splitPiece(p)
	t := r.track(id)
	if r.on[p] != machine {
		return
	}
	delete(r.on, p)
	r.used[t.job.Desk] -= t.job.VCPUs
	if r.quiet["leave "+id+why]++; r.quiet["leave "+id+why] <= 40 {
		r.line("run    %s leaves %s: %s", p, machine, why)
	}
	if done {
		t.done[index] = true
		t.lastDone = time.Now()
	}
	if !t.cancelled.IsZero() && time.Since(t.cancelled).Seconds() > cancelS {
		r.breakRule("ran_cancelled", "%s was on %s %.1f s after its user was told", p, machine, time.Since(t.cancelled).Seconds())
	}
}

// answered checks an answer to a user.
func (r *recorder) answered(what, id string, status int, s jobStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.track(id)
	r.line("user   %s %s: %d %s %d done %d running", what, id, status, s.Status, s.Done, s.Running)
	switch {
	case status == 200 || status == 201:
		if t.job.ID == "" {
			r.breakRule("invented", "%s", id)
		}
		if t.accepted.IsZero() {
			t.accepted = time.Now()
		}
		if t.final != "" && s.Status != t.final {
			r.breakRule("went_back", "%s was %s and is %s", id, t.final, s.Status)
		}
		if s.Status == "done" && len(t.done) < t.job.Pieces {
			r.breakRule("not_done", "%s is called done, %d of %d tasks are", id, len(t.done), t.job.Pieces)
		}
		if s.Status == "withdrawn" && !t.asked {
			r.breakRule("went_back", "%s is called cancelled, its user did not ask", id)
		}
		if t.final == "" && (s.Status == "done" || s.Status == "withdrawn") {
			t.final = s.Status
			if s.Status == "withdrawn" {
				t.cancelled = time.Now()
			}
		}
	case !t.accepted.IsZero() && (status == 404 || what == "submit" && (status == 400 || status == 422)):
		r.breakRule("forgotten", "%s was accepted and gets %d", id, status)
	}
}

// with calls f with the lock held.
func (r *recorder) with(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}
