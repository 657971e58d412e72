package replica

import (
	"fmt"
	"strings"
	"testing"

	"caperlatch/internal/wire"
)

// messageBytes is what a message between nodes may hold (maxMessageBytes in internal/peer).
const messageBytes = 1 << 20

// TestCancellationsInParts has more cancellations than one message between nodes holds, by
// number and by size. The receiver gets all of them in messages that each fit: descriptions
// of 8 KB made messages of several MB, which the receiver rejected again and again.
func TestCancellationsInParts(t *testing.T) {
	cases := []struct {
		name           string
		jobs           int
		imageNameBytes int
		perTransaction int
	}{
		{"few", 10, 10, 3},
		{"many", 2*maxCancellations + 5, 10, 12},
		{"large", 300, 7000, 8},
		{"all in one transaction", 60, 1000, 60},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			sender, receiver := New(nil), New(nil)
			for i := range tc.jobs {
				id := fmt.Sprintf("j-%06d", i)
				job := Job{State: wire.JobCancelled, Spec: &wire.Job{ID: id, Image: strings.Repeat("x", tc.imageNameBytes)}}
				sender.ApplyPut(JobPrefix+id, job, uint64(10+i/tc.perTransaction))
			}
			sender.revision = uint64(10 + tc.jobs)
			messages := 0
			for complete := false; !complete; messages++ {
				if messages > tc.jobs {
					t.Fatal("the receiver gets nothing new any more")
				}
				part := sender.CancelledSince(receiver.CancelledThrough())
				message, err := wire.Marshal(part.List)
				if err != nil {
					t.Fatal(err)
				}
				if len(message) > messageBytes {
					t.Fatalf("a message of %d bytes", len(message))
				}
				receiver.AdoptCancellations(part.List, part.KnownThrough)
				complete = part.Complete
			}
			if len(receiver.jobs.cancelled) != tc.jobs {
				t.Errorf("%d of %d cancellations arrived in %d messages", len(receiver.jobs.cancelled), tc.jobs, messages)
			}
		})
	}
}
