package main

import (
	"fmt"
	"time"
)

// Plays that are no cases of their own; REPORT.md names them.
func init() { cases["room"], cases["round"] = playRoom, playRound }

// playRoom submits one job of small tasks that one machine holds at once. The trouble: it has more tasks than the
// commands that one response carries.
func playRoom(c *cluster, trouble bool) []string {
	c.cloud.bootS = func(int, build) float64 { return 1.5 }
	c.begin()
	begun := time.Now()
	j := job{ID: "j-000401", Lane: "lookup", Desk: "counter-ops-00", Shape: "sweep", Rank: "normal", Pieces: 250, VCPUs: 0.008, MemoryGB: 0.01, Bundle: "img-1", PullGB: 0.5, Standby: true, ExpectS: 130, runS: always(130)}
	if trouble {
		j.Pieces = 350
	}
	if !c.submit(j) {
		c.fail("the job was not accepted")
	}
	until := begun.Add(lookFor(110))
	var roomSince time.Time
	for time.Now().Before(until) {
		time.Sleep(250 * time.Millisecond)
		starts := 0
		c.rec.with(func() { starts = c.rec.track(j.ID).starts })
		if starts == j.Pieces {
			c.poll(j.ID)
			return nil
		}
		if !c.cloud.hasRoom(j) {
			roomSince = time.Time{}
		} else if roomSince.IsZero() {
			roomSince = time.Now()
			c.rec.logf("note   %d of %d tasks were started, and a machine that reports has room for another", starts, j.Pieces)
		}
		if !roomSince.IsZero() && time.Since(roomSince) > 90*time.Second {
			c.poll(j.ID)
			return []string{fmt.Sprintf("left_waiting: %d of %d tasks of %s wait for %s while a machine that fits has room, and the team is under its limit", j.Pieces-starts, j.Pieces, j.ID, since(roomSince))}
		}
	}
	c.poll(j.ID)
	return nil
}

// playRound submits a job whose tasks fill a machine exactly, where amounts have four decimals.
func playRound(c *cluster, trouble bool) []string {
	c.cloud.bootS = func(int, build) float64 { return 1.5 }
	for i := range builds {
		builds[i].MemoryGB -= 0.0605
	}
	c.begin()
	j := job{ID: "j-000601", Lane: "lookup", Desk: "counter-ops-00", Shape: "sweep", Rank: "normal", Pieces: 2, VCPUs: 1, MemoryGB: 31.9395, Builds: []string{"gate-mid"}, Bundle: "img-1", PullGB: 0.5, Standby: true, ExpectS: 20, runS: always(20)}
	if !trouble {
		j.MemoryGB = 31.9
	}
	if !c.submit(j) {
		return nil
	}
	if !c.watchJob(j.ID, time.Now().Add(lookFor(100))) {
		return []string{fmt.Sprintf("nothing_ran: asked %d times, %d starts", c.cloud.launches, c.rec.starts)}
	}
	return nil
}
