package replica

import (
	"fmt"
	"strings"
	"testing"

	"caperlatch/internal/wire"
)

// messageBytes is what a message between nodes may hold (maxMessage in internal/peer).
const messageBytes = 1 << 20

// TestCancelledInParts has more cancellations than one message between nodes holds, by
// number and by size. The listener gets all of them in messages that each fit: descriptions
// of 8 KB made messages of several MB, which the listener refused again and again.
func TestCancelledInParts(t *testing.T) {
	cases := []struct {
		name      string
		jobs      int
		imageName int // its length, in bytes
		sharing   int // cancellations that share a transaction
	}{
		{"few", 10, 10, 3},
		{"many", 2*maxCancellations + 5, 10, 12},
		{"large", 300, 7000, 8},
		{"all in one transaction", 60, 1000, 60},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			teller, listener := New(nil), New(nil)
			for i := range tc.jobs {
				id := fmt.Sprintf("j-%06d", i)
				job := Job{State: wire.JobCancelled, Spec: &wire.Job{ID: id, Image: strings.Repeat("x", tc.imageName)}}
				teller.ApplyPut(JobPrefix+id, job, uint64(10+i/tc.sharing))
			}
			teller.revision = uint64(10 + tc.jobs)
			messages := 0
			for whole := false; !whole; messages++ {
				if messages > tc.jobs {
					t.Fatal("the listener learns nothing new any more")
				}
				told := teller.CancelledSince(listener.CancelledThrough())
				message, err := wire.Marshal(told.List)
				if err != nil {
					t.Fatal(err)
				}
				if len(message) > messageBytes {
					t.Fatalf("a message of %d bytes", len(message))
				}
				listener.AdoptCancellations(told.List, told.KnownThrough)
				whole = told.Complete
			}
			if len(listener.cancelledJobs) != tc.jobs {
				t.Errorf("%d of %d cancellations were told in %d messages", len(listener.cancelledJobs), tc.jobs, messages)
			}
		})
	}
}
