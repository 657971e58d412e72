package replica

import (
	"fmt"
	"strings"
	"testing"

	"caperlatch/internal/wire"
)

// maxPeerMessageBytes is the largest message that a node accepts from another (maxMessageBytes in internal/peer).
const maxPeerMessageBytes = 1 << 20

// TestCancellationPaging checks that a node receives all cancellations in messages that each fit the limit when one
// message cannot hold them, by number or by size. Without paging, job descriptions of 8 KB resulted in messages of
// several MB, which the receiver rejected each time.
func TestCancellationPaging(t *testing.T) {
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
					t.Fatalf("%d messages for %d cancellations, want at most one each", messages, tc.jobs)
				}
				page := sender.CancelledSince(receiver.CancelledThrough())
				message, err := wire.Marshal(page.List)
				if err != nil {
					t.Fatal(err)
				}
				if len(message) > maxPeerMessageBytes {
					t.Fatalf("message of %d bytes, want at most %d", len(message), maxPeerMessageBytes)
				}
				receiver.AdoptCancellations(page.List, page.KnownThrough)
				complete = page.Complete
			}
			if len(receiver.jobs.cancelled) != tc.jobs {
				t.Errorf("received %d cancellations in %d messages, want %d cancellations", len(receiver.jobs.cancelled), messages, tc.jobs)
			}
		})
	}
}
