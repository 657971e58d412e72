package fleet

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"log/slog"
	"slices"
	"strings"
	"sync"

	"caperlatch/internal/cloud"
	"caperlatch/internal/leader/persist"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// LaunchIntent records a launch of instances. It is stored before the request is sent to the cloud, and again
// with the IDs of its machines afterwards. It is kept until all its machines are terminated, so that every
// later leader knows which machines may hold tasks. The exported fields are stored.
type LaunchIntent struct {
	Type     string        `json:"type"`
	Zone     string        `json:"zone"`
	Spot     bool          `json:"spot"`
	Count    int           `json:"count"`
	At       micros.Micros `json:"at"` // wall-clock time of the intent, and later of the response
	Answered bool          `json:"answered"`
	Machines []string      `json:"machines"` // IDs

	id        string // also the request ID of the launch
	stored    bool   // the intent is stored, so its request may be sent
	inFlight  bool   // a goroutine is sending the request
	abandoned bool   // to be deleted: the cloud launched no machines, or all of them were terminated
}

// ID returns the ID of the intent, which is unique across all terms.
func (i *LaunchIntent) ID() string { return i.id }

// offering returns the offering that the intent launches.
func (i *LaunchIntent) offering() state.Offering {
	return state.Offering{Type: i.Type, Zone: i.Zone, Spot: i.Spot}
}

// capacityBackoff delays further launch requests for an offering after the cloud had no capacity for it.
type capacityBackoff struct {
	refusals int
	until    micros.Micros
}

// Limits of the backoff, which doubles with each refusal.
const (
	firstCapacityBackoff = 5 * micros.Second
	maxCapacityBackoff   = 40 * micros.Second
	maxBackoffDoublings  = 4
)

// Delays between two attempts of a request to the cloud. They double with each attempt.
const (
	firstCloudRetry = 500 * micros.Millisecond
	maxCloudRetry   = 8 * micros.Second
)

// launchInterval is the time between two checks for intents whose requests are to be sent.
const launchInterval = 100 * micros.Millisecond

// Launch creates an intent to launch count instances of an offering, but at most cloud.MaxInstancesPerLaunch. The
// request is sent to the cloud once the intent is stored.
func (f *Fleet) Launch(o state.Offering, count int) {
	f.intentSequence++
	i := f.AddIntent(fmt.Sprintf("r-%d-%d", f.FencingToken, f.intentSequence), LaunchIntent{
		Type:  o.Type,
		Zone:  o.Zone,
		Spot:  o.Spot,
		Count: min(count, cloud.MaxInstancesPerLaunch),
		At:    micros.WallTime(),
	})
	slog.Debug("launching instances", "intent", i.id, "instance_type", o.Type, "zone", o.Zone, "spot", o.Spot, "count", i.Count)
	f.storeIntent(i)
}

// AddIntent adds an intent to the fleet without scheduling its write.
func (f *Fleet) AddIntent(id string, content LaunchIntent) *LaunchIntent {
	i := &content
	i.id = id
	f.intents[id] = i
	return i
}

// Adopt adds a machine that belongs to no launch intent to the fleet, together with an intent of its own.
// Such a machine comes from a launch that was carried out late.
func (f *Fleet) Adopt(machineID string, o state.Offering, now micros.Micros) {
	i := f.AddIntent("x-"+machineID, LaunchIntent{
		Type:     o.Type,
		Zone:     o.Zone,
		Spot:     o.Spot,
		Count:    1,
		At:       micros.WallTime(),
		Answered: true,
		Machines: []string{machineID},
	})
	slog.Info("adopting a machine that belongs to no launch intent", "machine", machineID)
	f.Add(machineID, i, now)
	f.storeIntent(i)
}

// Intent returns the launch intent with the given ID, or nil if there is none.
func (f *Fleet) Intent(id string) *LaunchIntent { return f.intents[id] }

// OpenIntents returns an iterator over the intents that the cloud has not answered.
func (f *Fleet) OpenIntents() iter.Seq[*LaunchIntent] {
	return func(yield func(*LaunchIntent) bool) {
		for _, i := range f.intents {
			if !i.Answered && !yield(i) {
				return
			}
		}
	}
}

// HasOpenIntent reports whether an intent for an offering has not been answered.
func (f *Fleet) HasOpenIntent(o state.Offering) bool {
	for i := range f.OpenIntents() {
		if i.offering() == o {
			return true
		}
	}
	return false
}

// HasCapacity reports whether an offering may be requested, that is, whether the cloud has not recently refused to
// launch it.
func (f *Fleet) HasCapacity(o state.Offering, now micros.Micros) bool {
	backoff := f.backoffs[o]
	return backoff == nil || now >= backoff.until
}

// storeIntent enqueues the write of an intent in its present state.
func (f *Fleet) storeIntent(i *LaunchIntent) {
	f.Writes.Enqueue(replica.LaunchIntentPrefix + i.id)
	f.Writes.Wake()
}

// EncodeIntent fills in the write of a launch intent's key, and reports whether there is anything to write.
func (f *Fleet) EncodeIntent(w persist.Write) (persist.Write, bool) {
	id := strings.TrimPrefix(w.Key, replica.LaunchIntentPrefix)
	i := f.intents[id]
	if i == nil || i.abandoned {
		w.OnStored = func() { delete(f.intents, id) }
		return w, f.Replica.ModRevision(w.Key) != 0
	}
	snapshot := *i
	snapshot.Machines = slices.Clone(i.Machines)
	w.Value = snapshot
	w.OnStored = func() {
		for _, id := range snapshot.Machines {
			if m := f.Machines[id]; m != nil {
				m.Instance.IntentStored = true
			}
		}
		i.stored = true
		f.OnChange()
	}
	return w, true
}

// RestoreIntents reads the launch intents of earlier terms and adds their machines to the fleet.
func (f *Fleet) RestoreIntents(now micros.Micros) error {
	for _, key := range f.Replica.Keys(replica.LaunchIntentPrefix) {
		var content LaunchIntent
		if _, err := f.Replica.Get(key, &content); err != nil {
			return err
		}
		i := f.AddIntent(strings.TrimPrefix(key, replica.LaunchIntentPrefix), content)
		i.stored = true
		for _, id := range i.Machines {
			// The intent was read from the store, so the machine may get tasks at once.
			f.Add(id, i, now).Instance.IntentStored = true
		}
	}
	return nil
}

// removeFromIntent removes a machine from its intent. An answered intent without machines is abandoned.
func (f *Fleet) removeFromIntent(m *state.Machine) {
	i := f.intents[m.IntentID]
	i.Machines = slices.DeleteFunc(i.Machines, func(id string) bool { return id == m.ID })
	i.abandoned = i.Answered && len(i.Machines) == 0
	f.Writes.EnqueueLowPriority(replica.LaunchIntentPrefix + i.id)
}

// mayLaunch reports whether this term may still launch instances. It takes the lock.
func (f *Fleet) mayLaunch() bool {
	f.Lock.Lock()
	handingOver := f.IsHandingOver()
	f.Lock.Unlock()
	return !handingOver && f.Term.IsExclusive()
}

// launchLoop sends the requests of the stored intents to the cloud.
func (f *Fleet) launchLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	micros.Every(ctx, launchInterval, func() {
		if !f.mayLaunch() {
			return
		}
		for _, id := range f.claimIntents() {
			wg.Go(func() { f.requestLaunch(ctx, id) })
		}
	})
}

// claimIntents returns the IDs of stored, unanswered intents whose requests no goroutine is sending, and marks their
// requests as being sent. The intents may be new, may come from an earlier term, or may have been given up while
// another node might have led.
func (f *Fleet) claimIntents() (ids []string) {
	f.Lock.Lock()
	defer f.Lock.Unlock()
	for id, i := range f.intents {
		if i.stored && !i.Answered && !i.inFlight {
			i.inFlight = true
			ids = append(ids, id)
		}
	}
	return ids
}

// requestLaunch sends the request of a stored intent until the cloud responds or this term may no longer launch. The
// request ID makes the request idempotent: the instances are launched once, however often the request is sent.
func (f *Fleet) requestLaunch(ctx context.Context, id string) {
	for wait := firstCloudRetry; ; wait = min(2*wait, maxCloudRetry) {
		request, ok := f.launchRequest(ctx, id)
		if !ok {
			return
		}
		machines, err := f.Cloud.Launch(ctx, request, f.mayLaunch)
		if f.applyLaunchResponse(id, machines, err) {
			return
		}
		micros.Pause(ctx, wait)
	}
}

// launchRequest returns the request of an intent, and whether this term may still send it.
func (f *Fleet) launchRequest(ctx context.Context, id string) (r wire.LaunchRequest, ok bool) {
	f.Lock.Lock()
	defer f.Lock.Unlock()
	i := f.intents[id]
	if i == nil {
		return r, false
	}
	if ctx.Err() != nil || f.IsHandingOver() || !f.Term.IsExclusive() {
		i.inFlight = false
		return r, false
	}
	return wire.LaunchRequest{RequestID: id, InstanceType: i.Type, Zone: i.Zone, Spot: i.Spot, Count: i.Count}, true
}

// applyLaunchResponse applies the outcome of a request, and reports whether the cloud has answered it.
func (f *Fleet) applyLaunchResponse(id string, machines []string, err error) (answered bool) {
	f.Lock.Lock()
	defer f.Lock.Unlock()
	i := f.intents[id]
	switch {
	case err == nil:
		f.RecordLaunch(i, machines)
	case errors.Is(err, cloud.ErrNoCapacity):
		f.backOff(i.offering())
		i.abandoned, i.Answered = true, true
		f.storeIntent(i)
	default:
		slog.Debug("launch request failed; it is sent again", "intent", id, "error", err)
	}
	return i.Answered
}

// RecordLaunch adds the machines that the cloud has launched for an intent. If there are fewer machines than
// requested, further launch requests for the offering are delayed.
func (f *Fleet) RecordLaunch(i *LaunchIntent, machines []string) {
	now := micros.Now()
	if len(machines) < i.Count {
		f.backOff(i.offering())
	} else {
		delete(f.backoffs, i.offering())
	}
	i.Answered, i.inFlight = true, false
	// Instances requested during an outage of the cloud are launched only when it responds. When At was still the time
	// of the intent's creation, machines launched after an outage were considered late as soon as they were launched,
	// and were terminated before the minimum billed time had passed.
	i.At = micros.WallTime()
	for _, id := range machines {
		if f.Machines[id] != nil || f.terminated[id] {
			continue
		}
		i.Machines = append(i.Machines, id)
		f.Add(id, i, now)
		f.Events.Add("launched", fmt.Sprintf("instance type %s, zone %s, spot %t", i.Type, i.Zone, i.Spot), id)
	}
	f.storeIntent(i)
	i.abandoned = len(i.Machines) == 0
}

// backOff delays further launch requests for an offering.
func (f *Fleet) backOff(o state.Offering) {
	b := f.backoffs[o]
	if b == nil {
		b = &capacityBackoff{}
		f.backoffs[o] = b
	}
	b.refusals++
	b.until = micros.Now() + min(maxCapacityBackoff, firstCapacityBackoff<<min(b.refusals-1, maxBackoffDoublings))
}
