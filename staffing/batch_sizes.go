package staffing

// BatchSizes counts what jobs bring at once, for the peakedness.
type BatchSizes struct{ total, batchSquares, taskSquares, immediate float64 }

// Add counts a job that brings weight machines' worth of work in tasks tasks.
// Spare machines are for those who cannot wait until one has booted; a job that
// can counts in the mean alone.
func (l *BatchSizes) Add(weight float64, tasks int, canWait bool) {
	if tasks <= 0 {
		return
	}
	const decay = 0.98
	l.total, l.batchSquares, l.taskSquares, l.immediate = l.total*decay+weight, l.batchSquares*decay, l.taskSquares*decay, l.immediate*decay
	if !canWait {
		l.immediate += weight
		l.batchSquares += weight * weight
		l.taskSquares += weight * weight / float64(tasks)
	}
}

// Peakedness of what came in; 1, the paper's default, while nothing has.
func (l *BatchSizes) Peakedness() float64 {
	if l.total <= 0 {
		return 1
	}
	return Peakedness(l.batchSquares/l.total, l.taskSquares/l.total)
}

// ImmediateShare is the share of the work whose jobs cannot wait; all of it while
// nothing has come in.
func (l *BatchSizes) ImmediateShare() float64 {
	if l.total <= 0 {
		return 1
	}
	return l.immediate / l.total
}
