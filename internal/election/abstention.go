package election

import "caperlatch/internal/micros"

// abstention records until when a node must not campaign, because it has agreed to abstain for a leader that cannot
// reach the state service (see Term.IsExclusive). The caller provides the locking and the current time.
type abstention struct {
	// until is the instant before which this node must not campaign.
	until micros.Micros
	// campaigning is set from the start of a campaign until it has failed, or until the term that it won is over.
	// While it is set, the node cannot agree to abstain.
	campaigning bool
}

// newAbstention returns the abstention of a node whose process started at startedAt. An earlier process of the node
// may have agreed to abstain, which is not stored, so the node abstains for the longest time that may be left of it.
func newAbstention(startedAt, maxAbstention micros.Micros) abstention {
	return abstention{until: startedAt + maxAbstention}
}

// extend extends the abstention until the given instant. It returns false, and changes nothing, during a campaign.
func (a *abstention) extend(until micros.Micros) bool {
	if a.campaigning {
		return false
	}
	a.until = max(a.until, until)
	return true
}

// beginCampaign marks the node as campaigning. It returns false, and changes nothing, if the node must abstain at now.
func (a *abstention) beginCampaign(now micros.Micros) bool {
	if now < a.until {
		return false
	}
	a.campaigning = true
	return true
}

// endCampaign marks the node as not campaigning: its last campaign can no longer succeed, and the node does not lead.
func (a *abstention) endCampaign() { a.campaigning = false }

// Abstain keeps this node from campaigning for the given duration from now on, and reports whether the node agrees.
// It refuses while the node leads or while a campaign of the node may still succeed, as the node could then lead
// in spite of its agreement.
func (e *Election) Abstain(duration micros.Micros) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.abstention.extend(micros.Now() + duration)
}

// beginCampaign marks this node as campaigning. It returns false, and changes nothing, if the node must abstain now.
func (e *Election) beginCampaign() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.abstention.beginCampaign(micros.Now())
}

// endCampaign marks the end of a campaign, which has failed or whose term is over.
func (e *Election) endCampaign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abstention.endCampaign()
}
