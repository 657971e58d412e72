package staffing

// batchDecay is the factor by which the weight of older jobs decreases with each new job.
const batchDecay = 0.98

// BatchSizes tracks how much work jobs bring at once, for formulas (18) and (19). Its sums decay with each job.
type BatchSizes struct {
	total        float64 // sum of the jobs' weights w, in machines
	batchSquares float64 // sum of w² over jobs that cannot wait
	taskSquares  float64 // sum of w times the weight of one task, over jobs that cannot wait
	immediate    float64 // sum of w over jobs that cannot wait
}

// Add counts a job that brings weight machines' worth of work, divided into a number of tasks. Spare machines are
// kept for jobs that cannot wait until a machine has booted; a job that can wait counts only toward the mean.
func (b *BatchSizes) Add(weight float64, tasks int, canWait bool) {
	if tasks <= 0 {
		return
	}
	b.total, b.immediate = b.total*batchDecay+weight, b.immediate*batchDecay
	b.batchSquares, b.taskSquares = b.batchSquares*batchDecay, b.taskSquares*batchDecay
	if !canWait {
		b.immediate += weight
		b.batchSquares += weight * weight
		b.taskSquares += weight * weight / float64(tasks)
	}
}

// Peakedness returns formula (18) for the observed jobs, or 1, the default of the paper, if there are none.
func (b *BatchSizes) Peakedness() float64 {
	if b.total <= 0 {
		return 1
	}
	return Peakedness(b.batchSquares/b.total, b.taskSquares/b.total)
}

// ImmediateShare returns the share of the work that belongs to jobs that cannot wait, or 1 if no jobs were observed.
func (b *BatchSizes) ImmediateShare() float64 {
	if b.total <= 0 {
		return 1
	}
	return b.immediate / b.total
}
