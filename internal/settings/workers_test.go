package settings

import (
	"testing"

	"caperlatch/internal/micros"
)

// TestLeaseRenewalWindow checks that a lease renewed at the very end of the window expires before the cancellation
// timeout.
func TestLeaseRenewalWindow(t *testing.T) {
	for _, w := range []Workers{{HeartbeatIntervalS: 2, LeaseDurationS: 16, CancellationTimeoutS: 41}, {HeartbeatIntervalS: 3, LeaseDurationS: 45, CancellationTimeoutS: 75}, {HeartbeatIntervalS: 1, LeaseDurationS: 10, CancellationTimeoutS: 11}} {
		if end := w.LeaseRenewalWindow() + w.LeaseDuration() + micros.MaxClockDrift(w.LeaseDuration()); end > w.CancellationTimeout() {
			t.Errorf("%+v: leases may last until %v s, want at most CancellationTimeoutS", w, end.Seconds())
		}
	}
}
