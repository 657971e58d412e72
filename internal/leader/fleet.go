package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"

	"caperlatch/internal/cloud"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
)

// offering is what can be rented: a type, in a zone, of a kind.
type offering struct {
	Type, Zone string
	Spot       bool
}

// capacityBackoff remembers refusals.
type capacityBackoff struct {
	refusals int
	until    micros.Micros // not asked before
}

// launchIntent is a stored rental: before the cloud is asked, with its machines
// afterwards. It is kept until all its machines are gone, so that every later
// leader knows which machines may hold tasks.
type launchIntent struct {
	id       string
	Type     string        `json:"type"`
	Zone     string        `json:"zone"`
	Spot     bool          `json:"spot"`
	Count    int           `json:"count"`
	At       micros.Micros `json:"at"` // time of day
	Answered bool          `json:"answered"`
	Machines []string      `json:"machines"`

	stored     bool // it may be asked for
	requesting bool
	abandoned  bool
}

func (l *Leader) markIntent(b *launchIntent) {
	l.dirty[replica.LaunchIntentPrefix+b.id] = true
	l.wakeFlush()
}

func (l *Leader) encodeIntent(w pendingWrite, id string) (pendingWrite, bool) {
	b := l.intents[id]
	if b == nil || b.abandoned {
		w.onStored = func() { delete(l.intents, id) }
		return w, l.Replica.ModRevision(w.key) != 0
	}
	snapshot := *b
	snapshot.Machines = slices.Clone(b.Machines)
	w.value = snapshot
	w.onStored = func() {
		for _, id := range snapshot.Machines {
			if m := l.machines[id]; m != nil {
				m.instance.intentStored = true
			}
		}
		b.stored = true
		l.replan = true
	}
	return w, true
}

// machineList names machines that may have got tasks. The lists are apart from the
// bookings, so that all machines that come up at about the same time share a
// write: with a booking written anew for each of its machines, a thousand that
// booted waited seconds for their first tasks. Each machine stands with its
// address, so that a next leader can ask it for its tasks.
type machineList struct {
	Machines []string `json:"m"` // "id address"

	// splitFrom is set while a list that is too large is being split: it has the list
	// that these machines stand in until this one is stored.
	splitFrom *int
}

func machineListEntry(m *machine) string { return m.id + " " + m.instance.address }

func machineListKey(n int) string { return replica.MachineListPrefix + strconv.Itoa(n) }

// restoreMachineLists reads which machines an earlier term may have given tasks.
func (l *Leader) restoreMachineLists() error {
	for _, key := range l.Replica.Keys(replica.MachineListPrefix) {
		n, err := strconv.Atoi(strings.TrimPrefix(key, replica.MachineListPrefix))
		if err != nil || n < 0 || n > 1<<20 {
			return fmt.Errorf("stored %s: no list of machines", key)
		}
		for len(l.machineLists) <= n {
			l.machineLists = append(l.machineLists, &machineList{})
		}
		if _, err := l.Replica.Get(key, l.machineLists[n]); err != nil {
			return err
		}
	}
	for n, up := range l.machineLists {
		for _, entry := range up.Machines {
			id, address, _ := strings.Cut(entry, " ")
			if m := l.machines[id]; m != nil {
				m.instance.running, m.instance.listStored, m.instance.list, m.instance.address = true, true, n, address
				m.reconciliation.knowledge = tasksUnknown
			}
		}
	}
	for n, up := range l.machineLists {
		// A leader that ended while it split a list left machines in two.
		if before := len(up.Machines); l.dropForeignEntries(n) < before {
			l.markDirtyLazily(machineListKey(n))
		}
	}
	for n := range l.machineLists {
		l.splitMachineList(n)
	}
	return nil
}

// dropForeignEntries takes machines off a list that stand in another as well, and tells how many
// are left.
func (l *Leader) dropForeignEntries(n int) int {
	up := l.machineLists[n]
	up.Machines = slices.DeleteFunc(up.Machines, func(entry string) bool {
		id, _, _ := strings.Cut(entry, " ")
		m := l.machines[id]
		return m != nil && m.instance.list != n || l.terminated[id]
	})
	return len(up.Machines)
}

// splitMachineList divides a list that an earlier version stored larger than the state service
// may take now. The new lists are written first; the old one, which may not be written
// as it is, names their machines until they are known to be stored. So at no moment,
// whatever gets no answer and whoever takes over, a machine stands in no list.
func (l *Leader) splitMachineList(n int) {
	whole := l.machineLists[n].Machines
	fits := func(entries []string) int {
		lo, hi := 1, len(entries)
		for lo < hi { // the most that fit
			if mid := (lo + hi + 1) / 2; l.Store.ValueAlwaysFits(machineList{Machines: entries[:mid]}) {
				lo = mid
			} else {
				hi = mid - 1
			}
		}
		return lo
	}
	for rest := whole[min(len(whole), fits(whole)):]; len(rest) > 0; {
		part := rest[:fits(rest)]
		rest = rest[len(part):]
		l.machineLists = append(l.machineLists, &machineList{Machines: slices.Clone(part), splitFrom: &n})
		for _, entry := range part {
			id, _, _ := strings.Cut(entry, " ")
			if m := l.machines[id]; m != nil {
				m.instance.list = len(l.machineLists) - 1
			}
		}
		l.dirty[machineListKey(len(l.machineLists)-1)] = true
	}
}

// finishSplit is called once a part of a list that was split is stored, or is empty: the
// list that it was part of need not name its machines any more.
func (l *Leader) finishSplit(n int) {
	if of := l.machineLists[n].splitFrom; of != nil {
		l.machineLists[n].splitFrom = nil
		l.dropForeignEntries(*of)
		l.markDirtyLazily(machineListKey(*of))
	}
}

// registerRunning has it stored that a machine may get tasks.
func (l *Leader) registerRunning(m *machine) {
	m.instance.running = true
	n := len(l.machineLists) - 1
	if n < 0 || !l.Store.ValueAlwaysFits(machineList{Machines: append(l.machineLists[n].Machines, machineListEntry(m), machineListEntry(m))}) {
		l.machineLists = append(l.machineLists, &machineList{})
		n++
	}
	m.instance.list = n
	l.machineLists[n].Machines = append(l.machineLists[n].Machines, machineListEntry(m))
	l.dirty[machineListKey(n)] = true
	l.wakeFlush()
}

func (l *Leader) encodeMachineList(w pendingWrite) (pendingWrite, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(w.key, replica.MachineListPrefix))
	if err != nil || n >= len(l.machineLists) {
		return w, false
	}
	snapshot := slices.Clone(l.machineLists[n].Machines)
	if len(snapshot) == 0 {
		l.finishSplit(n)
		return w, w.modRevision != 0
	}
	w.value = machineList{Machines: snapshot}
	if w.modRevision != 0 && len(snapshot) > 1 && !l.Store.ValueAlwaysFits(w.value) {
		return w, false // it is being split
	}
	w.onStored = func() {
		l.finishSplit(n)
		for _, entry := range snapshot {
			id, _, _ := strings.Cut(entry, " ")
			if m := l.machines[id]; m != nil {
				m.instance.listStored = true
			}
		}
		l.replan = true
	}
	return w, true
}

// claimOpenIntents takes the stored bookings without an answer that nobody asks
// for: new ones, those of an earlier term, and those given up in doubt.
func (l *Leader) claimOpenIntents() (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, b := range l.intents {
		if b.stored && !b.Answered && !b.requesting {
			b.requesting = true
			ids = append(ids, id)
		}
	}
	return ids
}

// canDecide tells whether this term may still decide.
func (l *Leader) canDecide() bool {
	l.mu.Lock()
	handing := l.handingOver
	l.mu.Unlock()
	return !handing && l.Term.IsExclusive()
}

// launchLoop asks the cloud for what is booked.
func (l *Leader) launchLoop(ctx context.Context) {
	micros.Every(ctx, 100*micros.Millisecond, func() {
		if !l.canDecide() {
			return
		}
		for _, id := range l.claimOpenIntents() {
			go l.launchInstances(ctx, id)
		}
	})
}

// createIntent begins a rental: it is asked of the cloud once it is stored.
func (l *Leader) createIntent(o offering, count int) {
	l.intentSequence++
	b := &launchIntent{
		id:   fmt.Sprintf("r-%d-%d", l.FencingToken, l.intentSequence),
		Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: min(count, cloud.MaxInstancesPerLaunch), At: micros.Wall(),
	}
	slog.Debug("renting", "booking", b.id, "type", o.Type, "zone", o.Zone, "spot", o.Spot, "count", b.Count)
	l.intents[b.id] = b
	l.markIntent(b)
}

// launchInstances asks the cloud for a stored booking until it answers. The same booking
// rents once however often it is asked.
func (l *Leader) launchInstances(ctx context.Context, id string) {
	for wait := 500 * micros.Millisecond; ; wait = min(2*wait, 8*micros.Second) {
		l.mu.Lock()
		b := l.intents[id]
		over := b == nil || ctx.Err() != nil || l.handingOver || !l.Term.IsExclusive()
		var r wire.LaunchRequest
		if b != nil {
			r = wire.LaunchRequest{RequestID: id, InstanceType: b.Type, Zone: b.Zone, Spot: b.Spot, Count: b.Count}
			if over {
				b.requesting = false
			}
		}
		l.mu.Unlock()
		if over {
			return
		}
		ids, err := l.Cloud.Launch(ctx, r, l.canDecide)
		l.mu.Lock()
		switch {
		case err == nil:
			l.recordLaunch(b, ids)
		case errors.Is(err, cloud.ErrNoCapacity):
			l.backOffOffering(offering{b.Type, b.Zone, b.Spot})
			b.abandoned = true
			b.Answered = true
			l.markIntent(b)
		default:
			slog.Debug("rent", "booking", id, "error", err)
		}
		answered := b.Answered
		l.mu.Unlock()
		if answered {
			return
		}
		micros.Pause(ctx, wait)
	}
}

func (l *Leader) recordLaunch(b *launchIntent, ids []string) {
	now := micros.Now()
	o := offering{b.Type, b.Zone, b.Spot}
	if len(ids) < b.Count {
		l.backOffOffering(o)
	} else {
		delete(l.capacityBackoffs, o)
	}
	b.Answered = true
	b.requesting = false
	// What was booked in an outage of the cloud was rented when it answered. Counted from the
	// booking, machines were taken for late as soon as they were rented, and returned before
	// the time was over that is paid for at least.
	b.At = micros.Wall()
	for _, id := range ids {
		if l.machines[id] != nil || l.terminated[id] {
			continue
		}
		b.Machines = append(b.Machines, id)
		l.addMachine(id, b, now)
		l.aggregatedLog.add(fmt.Sprintf("rented: type %s, zone %s, spot %t", b.Type, b.Zone, b.Spot), id)
	}
	l.markIntent(b)
	b.abandoned = len(b.Machines) == 0
}

// backOffOffering backs off from an offer.
func (l *Leader) backOffOffering(o offering) {
	s := l.capacityBackoffs[o]
	if s == nil {
		s = &capacityBackoff{}
		l.capacityBackoffs[o] = s
	}
	s.refusals++
	s.until = micros.Now() + min(40*micros.Second, 5*micros.Second<<min(s.refusals-1, 4))
}

// terminate returns a machine to the cloud. Its tasks count as being on it until
// the cloud has answered.
//
// A leader in doubt returns nothing: its requests may be held back and carried
// out minutes later, on machines that the next leader uses. An isolated leader
// to which all machines were silent once lost a whole fleet that way.
func (l *Leader) terminate(m *machine, why string) {
	if !l.Term.HoldsSession() {
		return
	}
	l.aggregatedLog.add("returning: "+why, m.id)
	m.instance.terminating = true
	m.planned = nil
	for _, a := range m.attempts {
		a.stopReason = "its machine is returned: " + why
	}
	l.terminationQueue = append(l.terminationQueue, m.id)
	l.publish(standby.Entry{MachineTerminating: &standby.MachineTerminating{Machine: m.id, Reason: why}})
}

// terminateLoop has the cloud take machines back, many in a call: calls are few,
// and a fleet goes home faster than machine by machine.
func (l *Leader) terminateLoop(ctx context.Context) {
	micros.Every(ctx, 200*micros.Millisecond, func() {
		l.mu.Lock()
		n := min(len(l.terminationQueue), cloud.MaxInstancesPerTermination)
		if l.handingOver {
			n = 0
		}
		ids := slices.Clone(l.terminationQueue[:n])
		l.terminationQueue = slices.Delete(l.terminationQueue, 0, n)
		l.mu.Unlock()
		if n > 0 {
			go l.terminateAll(ctx, ids)
		}
	})
}

// terminateAll returns machines and asks until the cloud has answered.
func (l *Leader) terminateAll(ctx context.Context, ids []string) {
	for wait := 500 * micros.Millisecond; ; wait = min(2*wait, 8*micros.Second) {
		if l.Term.HoldsSession() {
			err := l.Cloud.Terminate(ctx, ids, l.Term.HoldsSession)
			if err == nil {
				break
			}
			slog.Debug("return", "machines", len(ids), "error", err)
		}
		micros.Pause(ctx, wait)
		if ctx.Err() != nil {
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if m := l.machines[id]; m != nil {
			l.removeMachine(m)
		}
	}
}

// removeMachine forgets a machine that is gone.
func (l *Leader) removeMachine(m *machine) {
	l.releaseAll(m, "its machine was returned")
	delete(l.machines, m.id)
	if i := slices.Index(l.sorted, m); i >= 0 {
		l.sorted = slices.Delete(l.sorted, i, i+1)
	}
	l.terminated[m.id] = true
	l.publish(standby.Entry{MachineTerminated: &standby.MachineTerminated{Machine: m.id}})
	b := m.intent
	b.Machines = slices.DeleteFunc(b.Machines, func(id string) bool { return id == m.id })
	if m.instance.running {
		up := l.machineLists[m.instance.list]
		up.Machines = slices.DeleteFunc(up.Machines, func(entry string) bool {
			id, _, _ := strings.Cut(entry, " ")
			return id == m.id
		})
		l.markDirtyLazily(machineListKey(m.instance.list))
	}
	b.abandoned = b.Answered && len(b.Machines) == 0
	l.markDirtyLazily(replica.LaunchIntentPrefix + b.id)
}

// listInstancesLoop compares the cloud's list with the known machines.
func (l *Leader) listInstancesLoop(ctx context.Context) {
	lag := micros.FromSeconds(l.Settings.Params.Cloud.ListLagS)
	micros.Every(ctx, max(4*micros.Second, lag), func() {
		list, err := l.Cloud.ListInstances(ctx)
		if err != nil {
			slog.Debug("list", "error", err)
			return
		}
		l.reconcileInstances(list, lag)
	})
}

// reconcileInstances returns what nobody knows of and what has failed. The list
// is late, so it proves nothing about tasks.
func (l *Leader) reconcileInstances(list []wire.InstanceStatus, lag micros.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := micros.Now()
	open := false
	for _, b := range l.intents {
		open = open || !b.Answered
	}
	seen := map[string]bool{}
	for _, m := range l.machines {
		m.instance.missingLists++
	}
	for _, x := range list {
		m := l.machines[x.ID]
		if m != nil {
			m.instance.listed, m.instance.missingLists = true, 0
		}
		switch {
		case m != nil && x.State == wire.InstanceFailed && !m.instance.terminating:
			l.terminate(m, "failed")
		case m != nil || open:
		default:
			seen[x.ID] = true
			since, ok := l.unexplained[x.ID]
			if !ok {
				l.unexplained[x.ID] = now
			} else if now-since > 3*lag+10*micros.Second {
				// Nobody uses it: a rental carried out late, or a return lost.
				delete(l.unexplained, x.ID)
				slog.Info("returning an unbooked machine", "machine", x.ID)
				l.terminationQueue = append(l.terminationQueue, x.ID)
			}
		}
	}
	for id := range l.unexplained {
		if !seen[id] {
			delete(l.unexplained, id)
		}
	}
}
