package staffing

// batchDecay is what older jobs count for after each newer one.
const batchDecay = 0.98

// BatchSizes keeps how much work jobs bring at once, for formulas (18) and (19). The sums decay.
type BatchSizes struct {
	total        float64 // of the jobs' weights w, in machines
	batchSquares float64 // of w², of jobs that cannot wait
	taskSquares  float64 // of w times the weight of one task, of jobs that cannot wait
	immediate    float64 // of w, of jobs that cannot wait
}

// Add counts a job that brings weight machines' worth of work in a number of tasks. Spare machines
// are for jobs that cannot wait until one has booted; a job that can counts in the mean alone.
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

// Peakedness is formula (18) for the jobs that came in; 1, the paper's default, while none has.
func (b *BatchSizes) Peakedness() float64 {
	if b.total <= 0 {
		return 1
	}
	return Peakedness(b.batchSquares/b.total, b.taskSquares/b.total)
}

// ImmediateShare is the share of the work whose jobs cannot wait; 1 while none has come in.
func (b *BatchSizes) ImmediateShare() float64 {
	if b.total <= 0 {
		return 1
	}
	return b.immediate / b.total
}
