// Package placement decides which waiting tasks start on which machines, and
// which running ones are stopped for them. It is pure and deterministic.
package placement

import (
	"cmp"
	"slices"

	"caperlatch/internal/micros"
)

// Resources are in thousandths, so that sums are exact.
type Resources struct{ CPU, GPU, Mem int64 }

// Plus adds n times o.
func (r Resources) Plus(o Resources, n int64) Resources {
	return Resources{r.CPU + n*o.CPU, r.GPU + n*o.GPU, r.Mem + n*o.Mem}
}

// Times tells how often need fits into r, at most limit times.
func (r Resources) Times(need Resources, limit int) int {
	n := int64(limit)
	for _, p := range [...][2]int64{{r.CPU, need.CPU}, {r.GPU, need.GPU}, {r.Mem, need.Mem}} {
		if p[1] > 0 {
			n = min(n, p[0]/p[1])
		}
	}
	return int(max(0, n))
}

// Fits tells whether o fits into r.
func (r Resources) Fits(o Resources) bool { return r.Times(o, 1) == 1 }

// Machine is a machine that may take tasks.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Free           Resources      // nothing holds it
	Soon           Resources      // held by tasks that are being stopped
	Delay          micros.Micros  // until orders reach it
	Idle           bool           // no task is on it
	Images         map[string]int // cached or being fetched
	GBPerS         float64        // image fetch
	Dear           micros.Micros  // wait that is put up with to leave it idle
	Victims        []Victim       // running tasks that could be stopped
}

// Victim is a running task.
type Victim struct {
	Job      string
	Task     int
	Team     string
	Priority int
	Need     Resources
	Covered  bool          // within its team's guarantee
	Lost     micros.Micros // work that a stop would lose
}

// Job is a job with waiting tasks.
type Job struct {
	ID, Team, Image string
	Priority        int
	Covered         bool          // within its team's guarantee
	Due             micros.Micros // latest good start of its last task
	Work            float64       // CPU seconds that wait, as estimated
	Late            bool          // cannot be in time any more, or set aside
	Pressing        bool          // would be late if it waited for others to end
	Need            Resources
	Waiting         int
	Total           int
	Types           []string
	Zone            string
	OneZone, Spread bool
	Whole           bool // all waiting tasks start or none does
	Spot            bool
	ImageGB         float64
	PerZone         map[string]int // tasks on machines, by zone
}

// Team is what a team uses and may use; 0 in Limit means no limit.
type Team struct{ Used, Limit Resources }

// Start tells to start Count tasks of a job on a machine; both are indexes
// into the input.
type Start struct{ Job, Machine, Count int }

// Stop tells to stop a victim.
type Stop struct {
	Machine int
	Victim  Victim
	For     string // job that needs the room
}

// Less is the queue's order: guarantees, then priorities, then what can still
// be in time, and of that what is due first.
func Less(a, b *Job) int {
	return cmp.Or(
		cmp.Compare(rank(a.Covered), rank(b.Covered)),
		cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(rank(!a.Late), rank(!b.Late)),
		cmp.Compare(a.Due, b.Due),
		cmp.Compare(a.ID, b.ID))
}

// SetAside marks as late the jobs that too much work keeps from being in time,
// as few as possible: going through the queue, whenever the work so far would
// take a job past its due time, the job with the most work of the same claim is
// put off (Moore's algorithm). Without it, serving by due time makes every job
// of an overload a little late. cpus is what the machines have. What runs
// already is not counted: its room comes free bit by bit, and counting it put
// off jobs that were in time after all.
func SetAside(jobs []*Job, cpus float64, now micros.Micros) {
	order := slices.Clone(jobs)
	slices.SortFunc(order, func(a, b *Job) int { return Less(a, b) })
	if cpus <= 0 {
		return
	}
	ahead := 0.0
	var kept []*Job // of the present claim, by work
	for i, j := range order {
		if i > 0 && (j.Covered != order[i-1].Covered || j.Priority != order[i-1].Priority) {
			kept = kept[:0]
		}
		if j.Late {
			continue
		}
		ahead += j.Work
		at, _ := slices.BinarySearchFunc(kept, j, func(a, b *Job) int {
			return cmp.Or(cmp.Compare(a.Work, b.Work), cmp.Compare(a.ID, b.ID))
		})
		kept = slices.Insert(kept, at, j)
		if now+micros.FromSeconds(ahead/cpus) > j.Due {
			most := kept[len(kept)-1]
			most.Late = true
			ahead -= most.Work
			kept = kept[:len(kept)-1]
		}
	}
}

func rank(first bool) int {
	if first {
		return 0
	}
	return 1
}

// Allowed tells whether a job's constraints that do not depend on its other
// tasks admit a machine.
func Allowed(j *Job, typ, zone string, spot bool) bool {
	return (len(j.Types) == 0 || slices.Contains(j.Types, typ)) &&
		(j.Zone == "" || j.Zone == zone) && (j.Spot || !spot)
}

// zoneRoom tells how many more tasks of j may be in zone.
func zoneRoom(j *Job, zone string) int {
	if j.OneZone {
		for z, n := range j.PerZone {
			if n > 0 && z != zone {
				return 0
			}
		}
	}
	if j.Spread {
		return max(0, (j.Total+1)/2-j.PerZone[zone])
	}
	return j.Total
}

// Plan places what it can in the queue's order and then looks for running
// work of less claim to stop. It changes the input's machines, jobs and teams
// as it goes. Waiting tasks cost nothing here: the work grows with jobs and
// machines only.
func Plan(machines []Machine, jobs []*Job, teams map[string]*Team) (starts []Start, stops []Stop) {
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return Less(jobs[a], jobs[b]) })
	var free Resources // the largest of each, to pass over jobs quickly
	for i := range machines {
		f := machines[i].Free
		free = Resources{max(free.CPU, f.CPU), max(free.GPU, f.GPU), max(free.Mem, f.Mem)}
	}
	for _, i := range order {
		j := jobs[i]
		if j.Waiting == 0 || !free.Fits(j.Need) {
			continue
		}
		placed := place(machines, i, j, teams[j.Team])
		if j.Whole && j.Waiting > 0 {
			undo(machines, j, teams[j.Team], placed)
			placed = nil
		}
		starts = append(starts, placed...)
	}
	for _, i := range order {
		if j := jobs[i]; j.Waiting > 0 && j.Pressing {
			stops = append(stops, preempt(machines, j, teams[j.Team])...)
		}
	}
	return starts, stops
}

// cost is how long a task would wait for its start on m, with a little for
// leaving dear and empty machines as they are, and large holes.
func cost(m *Machine, j *Job) micros.Micros {
	c := m.Delay
	if _, ok := m.Images[j.Image]; !ok && m.GBPerS > 0 {
		c += micros.FromSeconds(j.ImageGB / m.GBPerS)
	}
	if m.Idle {
		c += micros.Second / 2
	}
	left := m.Free.CPU - j.Need.CPU
	return c + m.Dear + micros.Micros(left)*micros.Millisecond/1000*10
}

// Room is how many tasks of a need, at most limit, the team may still start.
func (t *Team) Room(need Resources, limit int) int {
	if t == nil {
		return limit
	}
	left := Resources{CPU: 1 << 60, GPU: 1 << 60, Mem: 1 << 60}
	if t.Limit.CPU > 0 {
		left.CPU = t.Limit.CPU - t.Used.CPU
	}
	if t.Limit.GPU > 0 {
		left.GPU = t.Limit.GPU - t.Used.GPU
	}
	return left.Times(need, limit)
}

func place(machines []Machine, index int, j *Job, team *Team) (starts []Start) {
	type candidate struct {
		machine int
		cost    micros.Micros
	}
	var candidates []candidate
	for k := range machines {
		m := &machines[k]
		if m.Free.Fits(j.Need) && Allowed(j, m.Type, m.Zone, m.Spot) && zoneRoom(j, m.Zone) > 0 {
			candidates = append(candidates, candidate{k, cost(m, j)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(machines[a.machine].ID, machines[b.machine].ID))
	})
	for _, c := range candidates {
		m := &machines[c.machine]
		n := team.Room(j.Need, min(j.Waiting, zoneRoom(j, m.Zone)))
		n = m.Free.Times(j.Need, n)
		if n == 0 {
			continue
		}
		m.Free = m.Free.Plus(j.Need, -int64(n))
		m.Idle = false
		m.Images[j.Image]++
		if team != nil {
			team.Used = team.Used.Plus(j.Need, int64(n))
		}
		if j.PerZone == nil {
			j.PerZone = map[string]int{}
		}
		j.PerZone[m.Zone] += n
		j.Waiting -= n
		starts = append(starts, Start{Job: index, Machine: c.machine, Count: n})
		if j.Waiting == 0 {
			break
		}
	}
	return starts
}

// undo takes back the starts of a job.
func undo(machines []Machine, j *Job, team *Team, placed []Start) {
	for _, s := range placed {
		m := &machines[s.Machine]
		m.Free = m.Free.Plus(j.Need, int64(s.Count))
		j.PerZone[m.Zone] -= s.Count
		j.Waiting += s.Count
		if m.Images[j.Image]--; m.Images[j.Image] == 0 {
			delete(m.Images, j.Image)
		}
		if team != nil {
			team.Used = team.Used.Plus(j.Need, -int64(s.Count))
		}
	}
}

// yields tells whether v may be stopped for j: for a higher priority, or to
// give j's team its guarantee from another team's borrowed room.
func yields(v *Victim, j *Job) bool {
	if v.Job == j.ID {
		return false
	}
	if j.Covered && !v.Covered && v.Team != j.Team {
		return true
	}
	return v.Priority < j.Priority && (j.Covered || !v.Covered)
}

func preempt(machines []Machine, j *Job, team *Team) (stops []Stop) {
	want := team.Room(j.Need, j.Waiting)
	for k := range machines {
		// What is being freed already will serve the first in the queue.
		m := &machines[k]
		if want > 0 && Allowed(j, m.Type, m.Zone, m.Spot) {
			n := m.Free.Plus(m.Soon, 1).Times(j.Need, min(want, zoneRoom(j, m.Zone)))
			m.Soon = m.Soon.Plus(j.Need, -int64(n))
			want -= n
		}
	}
	for want > 0 {
		best, bestLost := -1, micros.Micros(0)
		var bestTake []int
		for k := range machines {
			m := &machines[k]
			if !Allowed(j, m.Type, m.Zone, m.Spot) || zoneRoom(j, m.Zone) == 0 {
				continue
			}
			if take, lost := victims(m, j); take != nil && (best < 0 || lost < bestLost) {
				best, bestLost, bestTake = k, lost, take
			}
		}
		if best < 0 {
			return stops
		}
		m := &machines[best]
		for _, v := range slices.Backward(bestTake) {
			stops = append(stops, Stop{Machine: best, Victim: m.Victims[v], For: j.ID})
			m.Soon = m.Soon.Plus(m.Victims[v].Need, 1)
			m.Victims = slices.Delete(m.Victims, v, v+1)
		}
		m.Soon = m.Soon.Plus(j.Need, -1)
		want--
	}
	return stops
}

// victims picks, in order of their indexes, the tasks to stop on m for one
// task of j, the least claim and the least lost work first.
func victims(m *Machine, j *Job) (take []int, lost micros.Micros) {
	order := make([]int, 0, len(m.Victims))
	for i := range m.Victims {
		if yields(&m.Victims[i], j) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := &m.Victims[a], &m.Victims[b]
		return cmp.Or(cmp.Compare(rank(y.Covered), rank(x.Covered)), cmp.Compare(x.Priority, y.Priority),
			cmp.Compare(x.Lost, y.Lost), cmp.Compare(x.Job, y.Job), cmp.Compare(x.Task, y.Task))
	})
	free := m.Free.Plus(m.Soon, 1)
	for _, i := range order {
		if free.Fits(j.Need) {
			break
		}
		free = free.Plus(m.Victims[i].Need, 1)
		lost += m.Victims[i].Lost
		take = append(take, i)
	}
	if !free.Fits(j.Need) || take == nil {
		return nil, 0
	}
	slices.Sort(take)
	return take, lost
}
