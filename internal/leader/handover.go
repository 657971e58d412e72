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

// Timing of a handover.
const (
	handoverPollInterval = 20 * micros.Millisecond
	// followerFreshWithin is the maximum age of a follower's last query for the follower to be chosen as successor.
	followerFreshWithin = micros.Second
	// Storing pending writes may take 1/handoverFlushDivisor of the time limit of a handover.
	handoverFlushDivisor = 3
)

// HandOver hands the term over to a follower, within a time limit, and ends the term. The leader stops making
// decisions, stores pending writes for at most 1/handoverFlushDivisor of the limit, and publishes the handover entry.
// It then waits until the successor, which is the follower that has applied the most entries, has applied that entry
// too.
//
// HandOver returns the successor even if it has not applied the entry in time, or "" if there is no follower. If the
// successor fails, any node may lead next. HandOver returns ErrNotReady if the term cannot be handed over now.
func (l *Leader) HandOver(limit micros.Micros) (to string, err error) {
	if l.Followers == nil {
		return "", fmt.Errorf("%w: the standby is off", ErrNotReady)
	}
	startedAt := micros.Now()
	if !l.beginHandover() {
		return "", ErrNotReady
	}
	for micros.Now() < startedAt+limit/handoverFlushDivisor && !l.writes.IsDrained() {
		l.writes.Wake()
		handoverPollInterval.Sleep()
	}
	position, to := l.publishHandover()
	applied := to != "" && l.awaitApplied(to, position, startedAt+limit)
	slog.Info("leadership handed over", "fencing_token", l.FencingToken, "to", to, "applied", applied, "duration", (micros.Now() - startedAt).Duration())
	l.loseTerm()
	return to, nil
}

// awaitApplied waits until a follower has applied all entries up to a position, and reports whether that happened in
// time. A follower that already leads no longer reports its position, so the end of this term counts as success.
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

// IsHandingOver reports whether a handover of the term has begun. The result stays true after the handover.
func (l *Leader) IsHandingOver() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handingOver
}

// Successor returns the member that the term was handed over to. It returns "" if there was no handover, or if any
// member may lead next.
func (l *Leader) Successor() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successor
}

// beginHandover stops all decisions of the term. It reports false, and changes nothing, if the leader is not ready, is
// handing over already, or has been superseded.
func (l *Leader) beginHandover() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready || l.handingOver || l.superseded {
		return false
	}
	l.handingOver = true
	return true
}

// publishHandover publishes the handover, which is the last entry of the term. It returns the entry's position and the
// follower that is to lead next. Starts are published under the same lock, and none is made any more, so the entries of
// all starts come before it. The term is relinquished first, because the follower may replace the leader key as soon as
// it has read the entry.
func (l *Leader) publishHandover() (position uint64, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to = l.Followers.MostUpToDateFollower(followerFreshWithin).Member
	l.successor = to
	l.Term.Relinquish()
	l.publish(standby.Entry{Handover: &standby.Handover{To: to, Complete: l.areAllTasksConfirmed()}})
	return l.Followers.Position(), to
}
