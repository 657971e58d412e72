package election

import "caperlatch/internal/micros"

// abstention is when a node must not campaign because it has agreed not to, for the sake of a leader that cannot
// reach the state service (see Term.IsExclusive). It holds no lock and reads no clock.
type abstention struct {
	// until is the instant before which this node must not campaign.
	until micros.Micros
	// campaigning is set from the start of a campaign until its outcome is known and the term, if won, is over.
	// Meanwhile the node cannot agree to abstain.
	campaigning bool
}

// newAbstention is that of a node that started at an instant. It does not know whether an earlier process of the
// node had agreed to abstain, and waits for as long as that may have been for.
func newAbstention(startedAt, maxAbstention micros.Micros) abstention {
	return abstention{until: startedAt + maxAbstention}
}

// extend agrees to abstain until an instant, and reports whether the node is in a position to.
func (a *abstention) extend(until micros.Micros) bool {
	if a.campaigning {
		return false
	}
	a.until = max(a.until, until)
	return true
}

// beginCampaign reports whether the node may campaign now, and notes that it does.
func (a *abstention) beginCampaign(now micros.Micros) bool {
	if now < a.until {
		return false
	}
	a.campaigning = true
	return true
}

// endCampaign notes that no campaign of the node can succeed any more, and that it does not lead.
func (a *abstention) endCampaign() { a.campaigning = false }

// Abstain has this node not campaign for a duration from now on, and reports whether it agrees to that. It does
// not while it leads or while a campaign of it may still succeed: its word would prove nothing then.
func (e *Election) Abstain(duration micros.Micros) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.abstention.extend(micros.Now() + duration)
}

// beginCampaign reports whether this node may campaign, and notes that it does.
func (e *Election) beginCampaign() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.abstention.beginCampaign(micros.Now())
}

// endCampaign notes that the outcome of a campaign is no longer open, and the term that it won over.
func (e *Election) endCampaign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abstention.endCampaign()
}
