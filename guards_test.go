package caperlatch

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/standin"
	"caperlatch/internal/wire"
)

// The tests in this file bring about the moments for which single guards are there. Each
// shows that its moment came, and fails when the guard is taken out.

// storedNames lists the machines that stand in the stored values under a prefix.
func (c *cluster) storedNames(prefix string) map[string]bool {
	names := map[string]bool{}
	for _, e := range c.state.Entries(prefix) {
		var value struct {
			Listed []string `json:"m"`        // of a list of machines that are up
			Booked []string `json:"machines"` // of a booking
		}
		if wire.Unmarshal(e.Value, &value) != nil {
			c.t.Fatalf("stored %s is unreadable", e.Key)
		}
		for _, entry := range append(value.Listed, value.Booked...) {
			id, _, _ := strings.Cut(entry, " ")
			names[id] = true
		}
	}
	return names
}

// unbooked counts the machines that stand in a stored list, but in no stored booking.
func (c *cluster) unbooked() (n int) {
	booked := c.storedNames(replica.BookingPrefix)
	for id := range c.storedNames(replica.UpPrefix) {
		if !booked[id] {
			n++
		}
	}
	return n
}

// cutAll has the machines with tasks of a job be out of reach.
func (c *cluster) cutAll(job string, cut *tally) func(string, *http.Request) standin.Fault {
	ids := map[string]bool{}
	for _, w := range c.cloud.Workers() {
		ids[w.ID] = ids[w.ID] || slices.ContainsFunc(w.Tasks(), func(task string) bool { return strings.HasPrefix(task, job+"/") })
	}
	return cutMachines(ids, cut)
}

// TestListedNotBooked has the state service take lists of machines that are up, and the
// bookings that name these machines not: refused, lost or carried out late. Then the leader
// ends. The next one finds machines listed that no booking has, and takes them for gone:
// none of them may have got a task (the guard is `stored` in machine.open).
func TestListedNotBooked(t *testing.T) {
	fates := []struct {
		name string
		fate standin.Fate
	}{{"refused", standin.Unserved}, {"lost", standin.Unheard}, {"carried out late", standin.Delayed}}
	for _, f := range fates {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RunFor = func(string) float64 { return 40 }
				c.submit("j-000009", 4) // it fills a machine that stays in reach
				time.Sleep(3 * time.Second)
				// One that changes both is too large, and comes again in parts.
				c.state.SetFate(func(x standin.Transaction) standin.Fate {
					names := slices.ContainsFunc(x.Conditions, func(k wire.Condition) bool {
						return strings.HasPrefix(k.Key, replica.BookingPrefix) && k.Stamp != 0
					})
					switch {
					case names && len(x.Keys) > 1:
						return standin.Oversized
					case names:
						return f.fate
					}
					return standin.Executed
				})
				long := testJob("j-000001", 12)
				long["expect_s"] = 200.0
				c.submitJob(long)
				for i := 0; c.unbooked() == 0 && i < 200; i++ {
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(1500 * time.Millisecond)
				unbooked, before := c.unbooked(), c.token()
				var cut tally
				c.setFault(c.cutAll("j-000001", &cut))
				c.back(c.leader())
				c.ledAfter(before)
				c.state.SetFate(nil)
				time.Sleep(time.Duration(leaseS-1) * time.Second)
				c.setFault(nil)
				if unbooked == 0 {
					t.Error("no machine was listed and not booked")
				}
				c.await("j-000001", wire.JobDone, 4*time.Minute)
				c.broken()
			})
		})
	}
}
