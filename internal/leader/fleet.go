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

// offer is what can be rented: a type, in a zone, of a kind.
type offer struct {
	Type, Zone string
	Spot       bool
}

// offerState remembers refusals.
type offerState struct {
	refusals int
	until    micros.Micros // not asked before
}

// booking is a stored rental: before the cloud is asked, with its machines
// afterwards. It is kept until all its machines are gone, so that every later
// leader knows which machines may hold tasks.
type booking struct {
	id       string
	Type     string        `json:"type"`
	Zone     string        `json:"zone"`
	Spot     bool          `json:"spot"`
	Count    int           `json:"count"`
	At       micros.Micros `json:"at"` // time of day
	Answered bool          `json:"answered"`
	Machines []string      `json:"machines"`

	stored  bool // it may be asked for
	asking  bool
	dropped bool
}

func (l *Leader) markBooking(b *booking) {
	l.dirty[replica.LaunchIntentPrefix+b.id] = true
	l.wakeFlush()
}

func (l *Leader) buildBooking(w write, id string) (write, bool) {
	b := l.bookings[id]
	if b == nil || b.dropped {
		w.stored = func() { delete(l.bookings, id) }
		return w, l.Replica.ModRevision(w.key) != 0
	}
	snapshot := *b
	snapshot.Machines = slices.Clone(b.Machines)
	w.value = snapshot
	w.stored = func() {
		for _, id := range snapshot.Machines {
			if m := l.machines[id]; m != nil {
				m.stored = true
			}
		}
		b.stored = true
		l.replan = true
	}
	return w, true
}

// runningList names machines that may have got tasks. The lists are apart from the
// bookings, so that all machines that come up at about the same time share a
// write: with a booking written anew for each of its machines, a thousand that
// booted waited seconds for their first tasks. Each machine stands with its
// address, so that a next leader can ask it for its tasks.
type runningList struct {
	Machines []string `json:"m"` // "id address"

	// apart is set while a list that is too large is being split: it has the list
	// that these machines stand in until this one is stored.
	apart *int
}

func runningEntry(m *machine) string { return m.id + " " + m.address }

func runningListKey(n int) string { return replica.MachineListPrefix + strconv.Itoa(n) }

// restoreRunningLists reads which machines an earlier term may have given tasks.
func (l *Leader) restoreRunningLists() error {
	for _, key := range l.Replica.Keys(replica.MachineListPrefix) {
		n, err := strconv.Atoi(strings.TrimPrefix(key, replica.MachineListPrefix))
		if err != nil || n < 0 || n > 1<<20 {
			return fmt.Errorf("stored %s: no list of machines", key)
		}
		for len(l.runningLists) <= n {
			l.runningLists = append(l.runningLists, &runningList{})
		}
		if _, err := l.Replica.Get(key, l.runningLists[n]); err != nil {
			return err
		}
	}
	for n, up := range l.runningLists {
		for _, entry := range up.Machines {
			id, address, _ := strings.Cut(entry, " ")
			if m := l.machines[id]; m != nil {
				m.up, m.upStored, m.resolved, m.runningList, m.address = true, true, false, n, address
			}
		}
	}
	for n, up := range l.runningLists {
		// A leader that ended while it split a list left machines in two.
		if before := len(up.Machines); l.keepOwn(n) < before {
			l.markLazily(runningListKey(n))
		}
	}
	for n := range l.runningLists {
		l.splitUp(n)
	}
	return nil
}

// keepOwn takes machines off a list that stand in another as well, and tells how many
// are left.
func (l *Leader) keepOwn(n int) int {
	up := l.runningLists[n]
	up.Machines = slices.DeleteFunc(up.Machines, func(entry string) bool {
		id, _, _ := strings.Cut(entry, " ")
		m := l.machines[id]
		return m != nil && m.runningList != n || l.gone[id]
	})
	return len(up.Machines)
}

// splitUp divides a list that an earlier version stored larger than the state service
// may take now. The new lists are written first; the old one, which may not be written
// as it is, names their machines until they are known to be stored. So at no moment,
// whatever gets no answer and whoever takes over, a machine stands in no list.
func (l *Leader) splitUp(n int) {
	whole := l.runningLists[n].Machines
	fits := func(entries []string) int {
		lo, hi := 1, len(entries)
		for lo < hi { // the most that fit
			if mid := (lo + hi + 1) / 2; l.Store.ValueAlwaysFits(runningList{Machines: entries[:mid]}) {
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
		l.runningLists = append(l.runningLists, &runningList{Machines: slices.Clone(part), apart: &n})
		for _, entry := range part {
			id, _, _ := strings.Cut(entry, " ")
			if m := l.machines[id]; m != nil {
				m.runningList = len(l.runningLists) - 1
			}
		}
		l.dirty[runningListKey(len(l.runningLists)-1)] = true
	}
}

// parted is called once a part of a list that was split is stored, or is empty: the
// list that it was part of need not name its machines any more.
func (l *Leader) parted(n int) {
	if of := l.runningLists[n].apart; of != nil {
		l.runningLists[n].apart = nil
		l.keepOwn(*of)
		l.markLazily(runningListKey(*of))
	}
}

// markUp has it stored that a machine may get tasks.
func (l *Leader) markUp(m *machine) {
	m.up = true
	n := len(l.runningLists) - 1
	if n < 0 || !l.Store.ValueAlwaysFits(runningList{Machines: append(l.runningLists[n].Machines, runningEntry(m), runningEntry(m))}) {
		l.runningLists = append(l.runningLists, &runningList{})
		n++
	}
	m.runningList = n
	l.runningLists[n].Machines = append(l.runningLists[n].Machines, runningEntry(m))
	l.dirty[runningListKey(n)] = true
	l.wakeFlush()
}

func (l *Leader) buildRunningList(w write) (write, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(w.key, replica.MachineListPrefix))
	if err != nil || n >= len(l.runningLists) {
		return w, false
	}
	snapshot := slices.Clone(l.runningLists[n].Machines)
	if len(snapshot) == 0 {
		l.parted(n)
		return w, w.stamp != 0
	}
	w.value = runningList{Machines: snapshot}
	if w.stamp != 0 && len(snapshot) > 1 && !l.Store.ValueAlwaysFits(w.value) {
		return w, false // it is being split
	}
	w.stored = func() {
		l.parted(n)
		for _, entry := range snapshot {
			id, _, _ := strings.Cut(entry, " ")
			if m := l.machines[id]; m != nil {
				m.upStored = true
			}
		}
		l.replan = true
	}
	return w, true
}

// openBookings takes the stored bookings without an answer that nobody asks
// for: new ones, those of an earlier term, and those given up in doubt.
func (l *Leader) openBookings() (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, b := range l.bookings {
		if b.stored && !b.Answered && !b.asking {
			b.asking = true
			ids = append(ids, id)
		}
	}
	return ids
}

// mayDecide tells whether this term may still decide.
func (l *Leader) mayDecide() bool {
	l.mu.Lock()
	handing := l.handing
	l.mu.Unlock()
	return !handing && l.Term.IsExclusive()
}

// rentLoop asks the cloud for what is booked.
func (l *Leader) rentLoop(ctx context.Context) {
	micros.Every(ctx, 100*micros.Millisecond, func() {
		if !l.mayDecide() {
			return
		}
		for _, id := range l.openBookings() {
			go l.rent(ctx, id)
		}
	})
}

// book begins a rental: it is asked of the cloud once it is stored.
func (l *Leader) book(o offer, count int) {
	l.bookingSeq++
	b := &booking{
		id:   fmt.Sprintf("r-%d-%d", l.FencingToken, l.bookingSeq),
		Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: min(count, cloud.MaxLaunch), At: micros.Wall(),
	}
	slog.Debug("renting", "booking", b.id, "type", o.Type, "zone", o.Zone, "spot", o.Spot, "count", b.Count)
	l.bookings[b.id] = b
	l.markBooking(b)
}

// rent asks the cloud for a stored booking until it answers. The same booking
// rents once however often it is asked.
func (l *Leader) rent(ctx context.Context, id string) {
	for wait := 500 * micros.Millisecond; ; wait = min(2*wait, 8*micros.Second) {
		l.mu.Lock()
		b := l.bookings[id]
		over := b == nil || ctx.Err() != nil || l.handing || !l.Term.IsExclusive()
		var r wire.LaunchRequest
		if b != nil {
			r = wire.LaunchRequest{RequestID: id, InstanceType: b.Type, Zone: b.Zone, Spot: b.Spot, Count: b.Count}
			if over {
				b.asking = false
			}
		}
		l.mu.Unlock()
		if over {
			return
		}
		ids, err := l.Cloud.Launch(ctx, r, l.mayDecide)
		l.mu.Lock()
		switch {
		case err == nil:
			l.rented(b, ids)
		case errors.Is(err, cloud.ErrNoCapacity):
			l.refused(offer{b.Type, b.Zone, b.Spot})
			b.dropped = true
			b.Answered = true
			l.markBooking(b)
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

func (l *Leader) rented(b *booking, ids []string) {
	now := micros.Now()
	o := offer{b.Type, b.Zone, b.Spot}
	if len(ids) < b.Count {
		l.refused(o)
	} else {
		delete(l.offers, o)
	}
	b.Answered = true
	b.asking = false
	// What was booked in an outage of the cloud was rented when it answered. Counted from the
	// booking, machines were taken for late as soon as they were rented, and returned before
	// the time was over that is paid for at least.
	b.At = micros.Wall()
	for _, id := range ids {
		if l.machines[id] != nil || l.gone[id] {
			continue
		}
		b.Machines = append(b.Machines, id)
		l.addMachine(id, b, now)
		l.tallies.add(fmt.Sprintf("rented: type %s, zone %s, spot %t", b.Type, b.Zone, b.Spot), id)
	}
	l.markBooking(b)
	b.dropped = len(b.Machines) == 0
}

// refused backs off from an offer.
func (l *Leader) refused(o offer) {
	s := l.offers[o]
	if s == nil {
		s = &offerState{}
		l.offers[o] = s
	}
	s.refusals++
	s.until = micros.Now() + min(40*micros.Second, 5*micros.Second<<min(s.refusals-1, 4))
}

// giveUp returns a machine to the cloud. Its tasks count as being on it until
// the cloud has answered.
//
// A leader in doubt returns nothing: its requests may be held back and carried
// out minutes later, on machines that the next leader uses. An isolated leader
// to which all machines were silent once lost a whole fleet that way.
func (l *Leader) giveUp(m *machine, why string) {
	if !l.Term.HoldsSession() {
		return
	}
	l.tallies.add("returning: "+why, m.id)
	m.leaving = true
	m.planned = nil
	for _, a := range m.tasks {
		a.why = "its machine is returned: " + why
	}
	l.toReturn = append(l.toReturn, m.id)
	l.publish(standby.Entry{MachineTerminating: &standby.MachineTerminating{Machine: m.id, Reason: why}})
}

// returnLoop has the cloud take machines back, many in a call: calls are few,
// and a fleet goes home faster than machine by machine.
func (l *Leader) returnLoop(ctx context.Context) {
	micros.Every(ctx, 200*micros.Millisecond, func() {
		l.mu.Lock()
		n := min(len(l.toReturn), cloud.MaxTerminate)
		if l.handing {
			n = 0
		}
		ids := slices.Clone(l.toReturn[:n])
		l.toReturn = slices.Delete(l.toReturn, 0, n)
		l.mu.Unlock()
		if n > 0 {
			go l.returnAll(ctx, ids)
		}
	})
}

// returnAll returns machines and asks until the cloud has answered.
func (l *Leader) returnAll(ctx context.Context, ids []string) {
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
			l.returned(m)
		}
	}
}

// returned forgets a machine that is gone.
func (l *Leader) returned(m *machine) {
	l.lose(m, "its machine was returned")
	delete(l.machines, m.id)
	if i := slices.Index(l.order, m); i >= 0 {
		l.order = slices.Delete(l.order, i, i+1)
	}
	l.gone[m.id] = true
	l.publish(standby.Entry{MachineTerminated: &standby.MachineTerminated{Machine: m.id}})
	b := m.booking
	b.Machines = slices.DeleteFunc(b.Machines, func(id string) bool { return id == m.id })
	if m.up {
		up := l.runningLists[m.runningList]
		up.Machines = slices.DeleteFunc(up.Machines, func(entry string) bool {
			id, _, _ := strings.Cut(entry, " ")
			return id == m.id
		})
		l.markLazily(runningListKey(m.runningList))
	}
	b.dropped = b.Answered && len(b.Machines) == 0
	l.markLazily(replica.LaunchIntentPrefix + b.id)
}

// listLoop compares the cloud's list with the known machines.
func (l *Leader) listLoop(ctx context.Context) {
	lag := micros.FromSeconds(l.Settings.Params.Cloud.ListLagS)
	micros.Every(ctx, max(4*micros.Second, lag), func() {
		list, err := l.Cloud.ListInstances(ctx)
		if err != nil {
			slog.Debug("list", "error", err)
			return
		}
		l.listedMachines(list, lag)
	})
}

// listedMachines returns what nobody knows of and what has failed. The list
// is late, so it proves nothing about tasks.
func (l *Leader) listedMachines(list []wire.InstanceStatus, lag micros.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := micros.Now()
	open := false
	for _, b := range l.bookings {
		open = open || !b.Answered
	}
	seen := map[string]bool{}
	for _, m := range l.machines {
		m.missing++
	}
	for _, x := range list {
		m := l.machines[x.ID]
		if m != nil {
			m.listed, m.missing = true, 0
		}
		switch {
		case m != nil && x.State == wire.InstanceFailed && !m.leaving:
			l.giveUp(m, "failed")
		case m != nil || open:
		default:
			seen[x.ID] = true
			since, ok := l.unbooked[x.ID]
			if !ok {
				l.unbooked[x.ID] = now
			} else if now-since > 3*lag+10*micros.Second {
				// Nobody uses it: a rental carried out late, or a return lost.
				delete(l.unbooked, x.ID)
				slog.Info("returning an unbooked machine", "machine", x.ID)
				l.toReturn = append(l.toReturn, x.ID)
			}
		}
	}
	for id := range l.unbooked {
		if !seen[id] {
			delete(l.unbooked, id)
		}
	}
}
