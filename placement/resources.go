package placement

// Resources are in thousandths, so that sums are exact.
type Resources struct{ CPU, GPU, Memory int64 }

// Add adds n times o.
func (r Resources) Add(o Resources, n int64) Resources {
	return Resources{r.CPU + n*o.CPU, r.GPU + n*o.GPU, r.Memory + n*o.Memory}
}

// CountFitting tells how often need fits into r, at most limit times.
func (r Resources) CountFitting(need Resources, limit int) int {
	n := int64(limit)
	for _, p := range [...][2]int64{{r.CPU, need.CPU}, {r.GPU, need.GPU}, {r.Memory, need.Memory}} {
		if p[1] > 0 {
			n = min(n, p[0]/p[1])
		}
	}
	return int(max(0, n))
}

// Fits tells whether o fits into r.
func (r Resources) Fits(o Resources) bool { return r.CountFitting(o, 1) == 1 }

// MinNeed is what any of the jobs needs at least, of each resource. A machine with
// less room cannot take a task.
func MinNeed(jobs []*Job) Resources {
	least := Resources{1 << 60, 1 << 60, 1 << 60}
	for _, j := range jobs {
		least = Resources{min(least.CPU, j.Need.CPU), min(least.GPU, j.Need.GPU), min(least.Memory, j.Need.Memory)}
	}
	return least
}

// ImageSet is a set of images, which stand here as small numbers: asking whether
// a machine has an image is what planning does most.
type ImageSet []uint64

// Has tells whether an image is in the set.
func (s ImageSet) Has(image int) bool {
	return image/64 < len(s) && s[image/64]&(1<<(image%64)) != 0
}

// With is the set with an image added; s stays as it is.
func (s ImageSet) With(image int) ImageSet {
	if s.Has(image) {
		return s
	}
	out := make(ImageSet, max(len(s), image/64+1))
	copy(out, s)
	out[image/64] |= 1 << (image % 64)
	return out
}
