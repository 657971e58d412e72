package state

// Resources are counted in thousandths, so that sums are exact; see placement.Resources.
const (
	thousandths = 1000
	// rounding is how many thousandths an amount may be off for being a sum of decimals.
	rounding = 1e-6
)

// FloorMilli converts an amount of a machine or a quota to thousandths, rounded down.
func FloorMilli(amount float64) int64 { return int64(amount*thousandths + rounding) }

// CeilMilli converts an amount that a task needs to thousandths, rounded up.
func CeilMilli(amount float64) int64 {
	n := int64(amount * thousandths)
	if float64(n) < amount*thousandths-rounding {
		n++
	}
	return n
}
