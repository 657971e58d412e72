package staffing

import "testing"

// TestPeakedness checks formula (18) for single arrivals, which give the default of the paper, and for batches.
func TestPeakedness(t *testing.T) {
	// Poisson arrivals of whole machines give the default of the paper, v = m.
	var single BatchSizes
	single.Add(1, 1, false)
	single.Add(1, 1, false)
	if got := single.Peakedness(); !near(got, 1) {
		t.Errorf("single arrivals: peakedness %v, want 1", got)
	}
	// Batches of four whole machines give (4+1)/2.
	var batches BatchSizes
	batches.Add(4, 4, false)
	if got := batches.Peakedness(); !near(got, 2.5) {
		t.Errorf("batches of four: peakedness %v, want 2.5", got)
	}
}
