package state

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"caperlatch/internal/replica"
)

// Bitset is a set of a job's tasks, with one bit for each task.
type Bitset []byte

const bitsPerByte = 8

func newBitset(n int) Bitset { return make(Bitset, (n+bitsPerByte-1)/bitsPerByte) }

// Has reports whether task i is in the set.
func (b Bitset) Has(i int) bool { return b[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 }

// Set adds task i.
func (b Bitset) Set(i int) { b[i/bitsPerByte] |= 1 << (i % bitsPerByte) }

// Chunk returns the bytes of the set that are stored under the progress key with the index chunk. They share memory
// with the set.
func (b Bitset) Chunk(chunk int) []byte {
	const chunkBytes = ChunkTasks / bitsPerByte
	return b[chunk*chunkBytes : min(len(b), (chunk+1)*chunkBytes)]
}

// ChunkTasks is the number of tasks whose progress is stored under one key. 8192 bits are 1366 characters, which
// fits the smallest value_kb that the settings allow.
const ChunkTasks = 8192

// TaskProgress is the value stored under a progress key: the set of done tasks, encoded as base64.
type TaskProgress struct {
	Done string `json:"done"`
}

// ErrProgressMismatch is returned if stored progress does not match its job.
var ErrProgressMismatch = errors.New("the stored set of done tasks does not match the job")

// ProgressChunks returns the number of chunks into which the progress of the job is divided.
func (j *Job) ProgressChunks() int { return (j.Spec.Tasks + ChunkTasks - 1) / ChunkTasks }

// Progress returns the value to store for a chunk of the job's tasks.
func (j *Job) Progress(chunk int) TaskProgress {
	return TaskProgress{base64.RawStdEncoding.EncodeToString(j.Done.Chunk(chunk))}
}

// RestoreProgress sets the done tasks of a chunk, also in StoredDone, from the stored progress.
func (j *Job) RestoreProgress(chunk int, p TaskProgress) error {
	bits, err := base64.RawStdEncoding.DecodeString(p.Done)
	if err != nil || chunk >= j.ProgressChunks() || len(bits) != len(j.Done.Chunk(chunk)) {
		return fmt.Errorf("restore progress of job %s: %w", j.Spec.ID, ErrProgressMismatch)
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

// MarkDone marks a task as done. It has no effect if the task is done already.
func (j *Job) MarkDone(index int) {
	if !j.Done.Has(index) {
		j.Done.Set(index)
		j.DoneCount++
	}
}

// ProgressKey returns the key under which a chunk of a job's progress is stored.
func ProgressKey(jobID string, chunk int) string {
	return replica.ProgressPrefix + jobID + "/" + strconv.Itoa(chunk)
}

// ParseProgressKey splits a key made by ProgressKey into the job's ID and the chunk's index.
func ParseProgressKey(key string) (jobID string, chunk int, err error) {
	return ParseTaskID(strings.TrimPrefix(key, replica.ProgressPrefix))
}
