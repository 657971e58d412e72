package zoning

import (
	"log/slog"

	"caperlatch/internal/leader/persist"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/zone"
)

// Restore restores the policy's state from the record of zones that an earlier term stored, and applies its decisions.
// If the record cannot be read, the state is derived from new observations.
func (z *Zones) Restore(now micros.Micros) {
	var r zone.Record
	modRevision, err := z.Replica.Get(replica.ZonesKey, &r)
	if err != nil {
		slog.Error("stored record of zones could not be read; zone states are derived from new observations", "key", replica.ZonesKey, "error", err)
		return
	}
	if modRevision != 0 {
		z.Policy.Restore(&r, now, micros.WallTime())
		z.applyDecisions(z.evidence(now))
	}
}

// EncodeRecord fills in the write of the record of zones for the next leader. Its second result reports whether there
// is anything to write, which may be the deletion of a stored record. A record that is too large is not written.
func (z *Zones) EncodeRecord(w persist.Write) (persist.Write, bool) {
	r := z.Policy.Record(micros.Now(), micros.WallTime())
	if r == nil || len(r.Zones) == 0 {
		return w, w.ModRevision != 0
	}
	w.Value = r
	if !z.ValueFits(r) {
		slog.Error("record of zones too large, not stored", "key", w.Key, "count", len(r.Zones))
		return w, false
	}
	return w, true
}
