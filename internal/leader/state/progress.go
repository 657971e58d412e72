package state

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"caperlatch/internal/replica"
)

// Bitset is a set of a job's tasks, a bit for each.
type Bitset []byte

const bitsPerByte = 8

func newBitset(n int) Bitset { return make(Bitset, (n+bitsPerByte-1)/bitsPerByte) }

// Has reports whether task i is in the set.
func (b Bitset) Has(i int) bool { return b[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 }

// Set adds task i.
func (b Bitset) Set(i int) { b[i/bitsPerByte] |= 1 << (i % bitsPerByte) }

// Chunk is the part of the set that is stored under one progress key.
func (b Bitset) Chunk(chunk int) []byte {
	const bytes = ChunkTasks / bitsPerByte
	return b[chunk*bytes : min(len(b), (chunk+1)*bytes)]
}

// ChunkTasks is how many tasks' progress is kept under one key: 8192 bits are
// 1368 characters, within the least value_kb that the settings admit.
const ChunkTasks = 8192

// TaskProgress is the stored content of a progress key: which tasks are done, as base64.
type TaskProgress struct {
	Done string `json:"done"`
}

// ErrProgressMismatch is returned for stored progress that does not fit its job.
var ErrProgressMismatch = errors.New("does not fit the job")

// ProgressChunks is how many progress keys the job has at most.
func (j *Job) ProgressChunks() int { return (j.Spec.Tasks + ChunkTasks - 1) / ChunkTasks }

// Progress is what is to be stored of a chunk of the job's tasks.
func (j *Job) Progress(chunk int) TaskProgress {
	return TaskProgress{base64.RawStdEncoding.EncodeToString(j.Done.Chunk(chunk))}
}

// RestoreProgress takes over what is stored of a chunk.
func (j *Job) RestoreProgress(chunk int, p TaskProgress) error {
	bits, err := base64.RawStdEncoding.DecodeString(p.Done)
	if err != nil || chunk >= j.ProgressChunks() || len(bits) != len(j.Done.Chunk(chunk)) {
		return fmt.Errorf("progress of %s %w", j.Spec.ID, ErrProgressMismatch)
	}
	copy(j.Done.Chunk(chunk), bits)
	copy(j.StoredDone.Chunk(chunk), bits)
	j.DoneCount = 0
	for i := range j.Spec.Tasks {
		if j.Done.Has(i) {
			j.DoneCount++
		}
	}
	return nil
}

// MarkDone notes that a task is done, unless it was before.
func (j *Job) MarkDone(index int) {
	if !j.Done.Has(index) {
		j.Done.Set(index)
		j.DoneCount++
	}
}

// ProgressKey is the key under which a chunk of a job's progress is stored.
func ProgressKey(jobID string, chunk int) string {
	return replica.ProgressPrefix + jobID + "/" + strconv.Itoa(chunk)
}

// ParseProgressKey splits what ProgressKey made.
func ParseProgressKey(key string) (jobID string, chunk int, err error) {
	return ParseTaskID(strings.TrimPrefix(key, replica.ProgressPrefix))
}
