package state

// Resources are counted in thousandths, so that sums are exact; see placement.Resources.
const (
	milliPerUnit = 1000
	// roundingTolerance is the floating-point error, in thousandths, that is tolerated in amounts that are sums of
	// decimals.
	roundingTolerance = 1e-6
)

// FloorMilli converts the capacity of a machine or a quota to thousandths, rounded down.
func FloorMilli(amount float64) int64 { return int64(amount*milliPerUnit + roundingTolerance) }

// CeilMilli converts an amount that a task needs to thousandths, rounded up.
func CeilMilli(amount float64) int64 {
	n := int64(amount * milliPerUnit)
	if float64(n) < amount*milliPerUnit-roundingTolerance {
		n++
	}
	return n
}
