package leader

import (
	"errors"
	"fmt"
	"log/slog"

	"caperlatch/internal/micros"
	"caperlatch/internal/standby"
)

// ErrNotReady is returned when a leader cannot hand over now.
var ErrNotReady = errors.New("the leader is still taking over, or is handing over already")

// Times of a handover.
const (
	handoverPollInterval = 20 * micros.Millisecond
	// followerFreshWithin is how long ago a follower's last query may be for it to be handed to.
	followerFreshWithin = micros.Second
	// handoverFlushDivisor is the part of a handover's time that pending writes may take.
	handoverFlushDivisor = 3
)

// HandOver ends the term as planned, within a limit: nothing more is decided, pending writes are stored if they
// can be in time, the follower that has applied most gets the last entry, and then the term ends. It returns
// that follower, or "" if there is none. Should the follower fail, any node may lead next. It returns
// ErrNotReady where the term cannot be handed over now.
func (l *Leader) HandOver(limit micros.Micros) (to string, err error) {
	if l.Followers == nil {
		return "", fmt.Errorf("%w: the standby is off", ErrNotReady)
	}
	startedAt := micros.Now()
	if !l.stopDeciding() {
		return "", ErrNotReady
	}
	for micros.Now() < startedAt+limit/handoverFlushDivisor && !l.writes.IsDrained() {
		l.writes.Wake()
		handoverPollInterval.Sleep()
	}
	position, to := l.publishHandover()
	applied := to != "" && l.awaitApplied(to, position, startedAt+limit)
	slog.Info("term handed over", "fencing_token", l.FencingToken, "to", to, "applied", applied, "duration", (micros.Now() - startedAt).Duration())
	l.loseTerm()
	return to, nil
}

// awaitApplied waits until a follower has applied all entries up to a position, and reports whether it has. It does not
// say so once it leads: then this term is over.
func (l *Leader) awaitApplied(follower string, position uint64, until micros.Micros) bool {
	for !l.Followers.HasApplied(follower, position) {
		select {
		case <-l.termLost:
			return true
		default:
		}
		if micros.Now() >= until {
			return false
		}
		handoverPollInterval.Sleep()
	}
	return true
}

// IsHandingOver reports whether the term is being handed over, or was.
func (l *Leader) IsHandingOver() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handingOver
}

// Successor is the member that the term was handed over to; "" if it was not, or if any may lead next.
func (l *Leader) Successor() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successor
}

// stopDeciding ends all decisions of the term for a handover. It reports whether one may begin.
func (l *Leader) stopDeciding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready || l.handingOver || l.superseded {
		return false
	}
	l.handingOver = true
	return true
}

// publishHandover publishes the term's last entry. All starts were published before it, since they are under the
// same lock and none follows. The follower may replace the leader key as soon as it has read the entry, so the term
// proves nothing from before then on.
func (l *Leader) publishHandover() (position uint64, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to = l.Followers.FurthestFollower(followerFreshWithin).Member
	l.successor = to
	l.Term.Relinquish()
	l.publish(standby.Entry{Handover: &standby.Handover{To: to, Complete: l.areAllTasksConfirmed()}})
	return l.Followers.Position(), to
}
