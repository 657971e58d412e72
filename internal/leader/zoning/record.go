package zoning

import (
	"log/slog"

	"caperlatch/internal/leader/persist"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/zone"
)

// Restore goes on from what an earlier term stored of zones. What cannot be read is derived anew.
func (z *Zones) Restore(now micros.Micros) {
	var r zone.Record
	modRevision, err := z.Replica.Get(replica.ZonesKey, &r)
	if err != nil {
		slog.Error("stored record of zones unreadable", "key", replica.ZonesKey, "error", err)
		return
	}
	if modRevision != 0 {
		z.Policy.Restore(&r, now, micros.Wall())
		z.applyDecisions(z.evidence(now))
	}
}

// EncodeRecord makes the record of zones for the next leader. Its second result says whether there is
// anything to write.
func (z *Zones) EncodeRecord(w persist.Write) (persist.Write, bool) {
	r := z.Policy.Record(micros.Now(), micros.Wall())
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
