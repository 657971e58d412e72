package placement

// unlimited exceeds what any machine or team has of a resource, and is small enough to be added up without
// overflow.
const unlimited = 1 << 60

// Resources are CPUs, GPUs and GB of memory, each in thousandths, so that sums are exact, and a number of tasks, of which
// a machine can hold a limited number.
type Resources struct{ CPU, GPU, Memory, Tasks int64 }

// Add returns r plus n times o.
func (r Resources) Add(o Resources, n int64) Resources {
	return Resources{r.CPU + n*o.CPU, r.GPU + n*o.GPU, r.Memory + n*o.Memory, r.Tasks + n*o.Tasks}
}

// CountFitting returns how many times need fits into r, at most limit.
func (r Resources) CountFitting(need Resources, limit int) int {
	n := int64(limit)
	for _, p := range [...][2]int64{{r.CPU, need.CPU}, {r.GPU, need.GPU}, {r.Memory, need.Memory}, {r.Tasks, need.Tasks}} {
		if p[1] > 0 {
			n = min(n, p[0]/p[1])
		}
	}
	return int(max(0, n))
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool { return r.CountFitting(o, 1) == 1 }

// MinNeed returns, for each resource, the least that a task of any of the jobs needs. A machine with less free can
// start none of them.
func MinNeed(jobs []*Job) Resources {
	minimum := Resources{unlimited, unlimited, unlimited, unlimited}
	for _, j := range jobs {
		need := j.Need
		minimum = Resources{min(minimum.CPU, need.CPU), min(minimum.GPU, need.GPU), min(minimum.Memory, need.Memory), min(minimum.Tasks, need.Tasks)}
	}
	return minimum
}

// ImageSet is a bit set of images, which are identified by small numbers. Planning checks very often whether a
// machine has an image, so the check must be cheap.
type ImageSet []uint64

// Has reports whether the set contains an image.
func (s ImageSet) Has(image int) bool {
	return image/64 < len(s) && s[image/64]&(1<<(image%64)) != 0
}

// With returns the set with an image added; s is not changed.
func (s ImageSet) With(image int) ImageSet {
	if s.Has(image) {
		return s
	}
	out := make(ImageSet, max(len(s), image/64+1))
	copy(out, s)
	out[image/64] |= 1 << (image % 64)
	return out
}
