package placement

// unlimited is more than any machine or team has of a resource, and small enough to be added up.
const unlimited = 1 << 60

// Resources are CPUs, GPUs and GB of memory, each in thousandths, so that sums are exact.
type Resources struct{ CPU, GPU, Memory int64 }

// Add is r with n times o added.
func (r Resources) Add(o Resources, n int64) Resources {
	return Resources{r.CPU + n*o.CPU, r.GPU + n*o.GPU, r.Memory + n*o.Memory}
}

// CountFitting is how often need fits into r, at most limit times.
func (r Resources) CountFitting(need Resources, limit int) int {
	n := int64(limit)
	for _, p := range [...][2]int64{{r.CPU, need.CPU}, {r.GPU, need.GPU}, {r.Memory, need.Memory}} {
		if p[1] > 0 {
			n = min(n, p[0]/p[1])
		}
	}
	return int(max(0, n))
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool { return r.CountFitting(o, 1) == 1 }

// MinNeed is the least that any of the jobs' tasks needs of each resource. A machine with less
// room can start none of them.
func MinNeed(jobs []*Job) Resources {
	least := Resources{unlimited, unlimited, unlimited}
	for _, j := range jobs {
		least = Resources{min(least.CPU, j.Need.CPU), min(least.GPU, j.Need.GPU), min(least.Memory, j.Need.Memory)}
	}
	return least
}

// ImageSet is a set of images, which are small numbers here, as bits: whether a machine has an
// image is what planning asks most often.
type ImageSet []uint64

// Has reports whether an image is in the set.
func (s ImageSet) Has(image int) bool {
	return image/64 < len(s) && s[image/64]&(1<<(image%64)) != 0
}

// With is the set with an image added. s itself stays as it is.
func (s ImageSet) With(image int) ImageSet {
	if s.Has(image) {
		return s
	}
	out := make(ImageSet, max(len(s), image/64+1))
	copy(out, s)
	out[image/64] |= 1 << (image % 64)
	return out
}
