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
	for to != "" && micros.Now() < startedAt+limit && !l.Followers.HasApplied(to, position) {
		handoverPollInterval.Sleep()
	}
	slog.Info("term handed over", "fencing_token", l.FencingToken, "to", to, "applied", to != "" && l.Followers.HasApplied(to, position), "duration", (micros.Now() - startedAt).Duration())
	l.loseTerm()
	return to, nil
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
// same lock and none follows.
func (l *Leader) publishHandover() (position uint64, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to = l.Followers.FurthestFollower(followerFreshWithin).Member
	l.publish(standby.Entry{Handover: &standby.Handover{To: to, Complete: l.areAllTasksConfirmed()}})
	return l.Followers.Position(), to
}
