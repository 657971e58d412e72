package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["chaos"] = playChaos }

// playChaos is no case: it plays random troubles of the pages under the rules that users and the platform can see. SEED
// chooses them.
func playChaos(c *cluster, trouble bool) []string {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 7))
	c.cloud.bootS = func(n int, _ build) float64 { return 1 + float64(n%5) }
	c.links = map[[2]int]*link{}
	lowers := os.Getenv("NEXT") == "1" // the state service lowers its limits on the way
	if lowers {
		c.tune = func(s map[string]any) {
			state := s["params"].(map[string]any)["state"].(map[string]any)
			state["next"] = map[string]any{"write_rps": float64(nextWriteRPS), "value_kb": float64(nextValueKB), "txn_ops": nextTxnOps}
		}
		time.AfterFunc(45*time.Second, c.state.lower)
	}
	for i := range c.old {
		c.old[i] = os.Getenv("OLD") // an earlier version, from which the nodes are upgraded on the way
	}
	c.begin()
	for i := range c.old {
		at := time.Duration((5 + 60*rng.Float64()) * float64(time.Second))
		if os.Getenv("OLD") != "" {
			time.AfterFunc(at, func() { c.upgrade(i) })
		}
	}
	begun := time.Now()
	until := begun.Add(lookFor(100))
	slow := 1.0 // a quiet cluster: so many times as long between two jobs
	if v, err := strconv.ParseFloat(os.Getenv("SLOW"), 64); err == nil {
		slow = v
	}
	quiet := 20.0
	if v, err := strconv.ParseFloat(os.Getenv("QUIET_S"), 64); err == nil {
		quiet = v // seconds without new jobs and troubles at the end
	}
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(until.Add(-time.Duration(quiet * float64(time.Second)))); n++ {
		id := fmt.Sprintf("j-%06d", 1000+n)
		team := fmt.Sprintf("counter-ops-%02d", rng.IntN(2))
		runS := 2 + 30*rng.Float64()*rng.Float64()
		j := job{ID: id, Lane: "bagtag-reprint", Desk: team, Shape: "sweep", Rank: []string{"urgent", "normal", "idle", "prod"}[rng.IntN(4)], Pieces: 1 + rng.IntN(25), VCPUs: float64(1 + rng.IntN(4)), MemoryGB: 2, Bundle: fmt.Sprintf("img-%d", rng.IntN(4)), PullGB: 0.3, Standby: rng.IntN(3) > 0, ExpectS: runS, runS: func(i int) float64 { return runS * (0.5 + 0.1*float64(i%10)) }}
		if rng.IntN(3) == 0 {
			j.SaveEvery, j.StoreS = 2, 1
		}
		j.Together = rng.IntN(6) == 0
		if lowers && rng.IntN(3) == 0 {
			j.Bundle += strings.Repeat("x", 3500+rng.IntN(4200))
		}
		again := rng.IntN(2) == 0
		cancelAfter := -1.0
		if rng.IntN(3) == 0 {
			cancelAfter = 25 * rng.Float64() * rng.Float64()
		}
		wg.Go(func() {
			if !c.submit(j) {
				return
			}
			c.lookEverywhere(id)
			cancelAt := time.Now().Add(time.Duration(cancelAfter * float64(time.Second)))
			for time.Now().Before(until) {
				time.Sleep(700 * time.Millisecond)
				if cancelAfter >= 0 && time.Now().After(cancelAt) {
					c.cancel(id, until)
					c.lookEverywhere(id)
					cancelAfter = -1
				}
				if again {
					c.submitOnce(j)
				}
				if s := c.poll(id); s == "done" || s == "withdrawn" {
					c.lookEverywhere(id)
					return
				}
			}
		})
		time.Sleep(time.Duration((0.2 + 1.2*rng.Float64()) * slow * float64(time.Second)))
		if trouble && (rng.IntN(4) == 0 || slow > 1) {
			c.disturb(rng, &wg)
		}
	}
	c.cloud.calm()
	wg.Wait()
	c.rec.with(func() {
		open := 0
		for id, t := range c.rec.jobs {
			if !t.accepted.IsZero() && t.final == "" {
				open++
				c.rec.line("note   %s is open: %d of %d done", id, len(t.done), t.job.Pieces)
			}
		}
		c.rec.line("note   %d jobs, %d open, %d starts, %d ends of nodes by themselves", len(c.rec.jobs), open, c.rec.starts, c.ends)
	})
	if c.ends > 0 {
		return []string{fmt.Sprintf("crash: %d nodes ended by themselves", c.ends)}
	}
	return nil
}

// upgrade kills a node, which comes back with the present version.
func (c *cluster) upgrade(i int) {
	c.old[i] = ""
	c.mu.Lock()
	busy := c.down[i]
	c.mu.Unlock()
	if !busy { // else it comes back so
		c.rec.logf("trouble %s is upgraded", c.names[i])
		c.kill(i)
		time.Sleep(time.Second)
		c.startNode(i)
	}
}

// calm ends the troubles of all workers.
func (c *cloud) calm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker != nil {
			m.worker.mu.Lock()
			m.worker.deaf, m.worker.mute, m.worker.late, m.worker.lateOrders = time.Time{}, time.Time{}, 0, 0
			m.worker.mu.Unlock()
		}
	}
}

// lookEverywhere asks all nodes at the same moment.
func (c *cluster) lookEverywhere(id string) {
	var wg sync.WaitGroup
	for range 2 * len(c.names) {
		wg.Go(func() { c.poll(id) })
	}
	wg.Wait()
}

func (c *cluster) disturb(rng *rand.Rand, wg *sync.WaitGroup) {
	span := func(lo, hi float64) time.Duration {
		return time.Duration((lo + (hi-lo)*rng.Float64()) * float64(time.Second))
	}
	node := rng.IntN(3)
	if l := c.leading(); l >= 0 && rng.IntN(3) > 0 {
		node = l
	}
	var up []*worker
	c.cloud.mu.Lock()
	for _, m := range c.cloud.machines {
		if m.worker != nil && m.gone.IsZero() {
			up = append(up, m.worker)
		}
	}
	c.cloud.mu.Unlock()
	some := up[:0:0]
	for _, w := range up {
		if rng.IntN(3) == 0 {
			some = append(some, w)
		}
	}
	set := func(f func(w *worker)) {
		for _, w := range some {
			w.mu.Lock()
			f(w)
			w.mu.Unlock()
		}
	}
	switch kind := rng.IntN(17); kind {
	case 0, 1:
		back := span(0.1, 6)
		c.mu.Lock()
		busy := c.down[node]
		c.mu.Unlock()
		if !busy {
			wg.Go(func() { c.kill(node); time.Sleep(back); c.startNode(node) })
		}
	case 2:
		d := span(1, 9)
		c.mu.Lock()
		busy := c.down[node]
		c.mu.Unlock()
		if !busy {
			wg.Go(func() {
				c.signal(node, syscall.SIGSTOP)
				time.Sleep(d)
				c.signal(node, syscall.SIGCONT)
			})
		}
	case 3:
		d := span(3, 25)
		wg.Go(func() {
			c.rec.logf("trouble state service is down for %v", d)
			c.state.setOutage(true)
			time.Sleep(d)
			c.state.setOutage(false)
			c.rec.logf("trouble state service is back")
		})
	case 4, 5:
		d := span(2, 30)
		c.rec.logf("trouble state service refuses %s for %v", c.names[node], d)
		c.state.refuse(node, d)
	case 6:
		d := span(1, 20)
		c.rec.logf("trouble %d machines hang for %v", len(some), d)
		for _, w := range some {
			w.hang(d)
		}
	case 7:
		d := span(2, 30)
		c.rec.logf("trouble %d machines are deaf for %v", len(some), d)
		set(func(w *worker) { w.deaf = time.Now().Add(d) })
	case 8:
		d := span(2, 30)
		c.rec.logf("trouble %d machines are mute for %v", len(some), d)
		set(func(w *worker) { w.mute = time.Now().Add(d) })
	case 9:
		c.rec.logf("trouble late reports and commands of %d machines", len(some))
		set(func(w *worker) { w.late, w.lateOrders = 0.4, 0.5 })
	case 16:
		taken := c.cloud.take(func(m *machine) bool { return m.standby && rng.IntN(2) == 0 })
		c.rec.logf("trouble %d machines are taken back", taken)
	case 14, 15:
		d := span(2, 15)
		c.rec.logf("trouble %d machines fail each task that they start for %v", len(some), d)
		set(func(w *worker) { w.faulty = time.Now().Add(d) })
	case 11, 12, 13:
		d, state, peers := span(2, 35), rng.IntN(3) > 0, rng.IntN(3) > 0
		c.rec.logf("trouble %s is cut for %v, from the state service: %t, from its peers: %t", c.names[node], d, state, peers)
		c.cutOff(node, state, peers, d)
	case 10:
		d, share := span(5, 30), 0.5
		c.rec.logf("trouble late transactions for %v", d)
		var mu sync.Mutex
		r := rand.New(rand.NewPCG(rng.Uint64(), 1))
		c.state.mu.Lock()
		c.state.txnFault = func(int, []string) (f txnFault) {
			mu.Lock()
			defer mu.Unlock()
			if r.Float64() < share {
				if r.IntN(2) == 0 {
					f.silent = true
				} else {
					f.delay = time.Duration((2 + 10*r.Float64()) * float64(time.Second))
				}
			}
			return f
		}
		c.state.mu.Unlock()
		time.AfterFunc(d, func() {
			c.state.mu.Lock()
			c.state.txnFault = nil
			c.state.mu.Unlock()
		})
	}
}
