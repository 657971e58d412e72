package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	answerTimeout = 4 * time.Second
	nextNodeAfter = time.Second
	leastBetween  = 500 * time.Millisecond
	stepEvery     = 25 * time.Millisecond
)

type task struct {
	piece
	job   job
	index int
	ends  time.Time
	begun time.Time
	fails bool
}

// worker is a stand-in of the worker on one machine.
type worker struct {
	c   *cloud
	m   *machine
	b   build
	rec *recorder

	client  *http.Client
	changed chan struct{}

	mu     sync.Mutex
	dead   bool
	shift  uint64
	tick   uint64
	baton  uint64
	tasks  []*task
	leased time.Time // when the last answered report was sent, or the session began
	raised time.Time // when a higher token last counted as a change
	node   int
	images map[string]time.Time // when an image is there
	// Troubles: until these times the machine hangs, loses all answers and direct commands, or reaches no node. late is the
	// share of its reports of which a copy arrives again, lateOrders that of direct commands that are held up.
	hung, deaf, mute time.Time
	faulty           time.Time // until then it fails each task that it starts, half a second after the start
	late, lateOrders float64
}

var (
	progressMu sync.Mutex
	progress   = map[string]float64{}
	results    = map[string]bool{}
)

func newWorker(c *cloud, m *machine, b build) *worker {
	return &worker{c: c, m: m, b: b, rec: c.rec, shift: 1, images: map[string]time.Time{}, changed: make(chan struct{}, 1), node: rand.IntN(len(c.nodes)),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

func (w *worker) notify() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// kill ends all tasks, as the machine is gone.
func (w *worker) kill(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for _, t := range w.tasks {
		w.rec.left(t.Piece, w.m.id, why, false)
	}
	w.tasks = nil
}

func (w *worker) run(after time.Duration) {
	select {
	case <-w.m.stop:
		return
	case <-time.After(after):
	}
	w.mu.Lock()
	w.leased = time.Now()
	w.mu.Unlock()
	w.rec.few("up", 100, "worker %s is up at %s", w.m.id, w.m.address)
	go http.Serve(w.m.listener, w)
	go func() {
		for {
			select {
			case <-w.m.stop:
				return
			case <-time.After(stepEvery):
				w.mu.Lock()
				w.step()
				w.mu.Unlock()
			}
		}
	}()
	for {
		sent := time.Now()
		pause := time.Duration(reportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
		if !w.sendReport() {
			pause = nextNodeAfter
			select {
			case <-w.m.stop:
				return
			case <-time.After(pause):
			}
			continue
		}
		select {
		case <-w.m.stop:
			return
		case <-time.After(max(0, pause-time.Since(sent))):
		case <-w.changed:
			select {
			case <-w.m.stop:
				return
			case <-time.After(max(0, leastBetween-time.Since(sent))):
			}
		}
	}
}

// state returns the report; the caller holds the lock.
func (w *worker) state() report {
	w.tick++
	r := report{Host: w.m.id, Address: w.m.address, Build: w.m.build, Hall: w.m.hall, Standby: w.m.standby, Shift: w.shift, Tick: w.tick, Baton: w.baton, Pieces: []piece{}}
	for _, t := range w.tasks {
		r.Pieces = append(r.Pieces, t.piece)
	}
	return r
}

// sendReport sends a report and tells whether the worker stays with a node that it knows.
func (w *worker) sendReport() bool {
	w.awaitResumed()
	w.mu.Lock()
	w.step()
	if w.dead {
		w.mu.Unlock()
		return false
	}
	if time.Now().Before(w.mute) {
		w.mu.Unlock()
		select {
		case <-w.m.stop:
		case <-time.After(answerTimeout):
		}
		return false
	}
	r := w.state()
	node := w.node
	w.mu.Unlock()
	sent := time.Now()
	body := encode(r)
	if rand.Float64() < w.late {
		after := time.Duration((2 + 40*rand.Float64()) * float64(time.Second))
		to := w.c.nodes[rand.IntN(len(w.c.nodes))]
		time.AfterFunc(after, func() { w.post(to, body) })
	}
	status, answerBody := w.post(w.c.nodes[node], body)
	if time.Now().Before(w.isDeaf()) {
		status = 0
		select {
		case <-w.m.stop:
		case <-time.After(time.Until(sent.Add(answerTimeout))):
		}
	}
	w.awaitResumed()
	if time.Since(sent) > answerTimeout {
		status = 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if status != 200 && status != 421 {
		w.rec.few("refused "+w.m.id, 8, "worker %s report %d/%d of %d tasks, %d bytes as JSON, to %s: %d", w.m.id, r.Shift, r.Tick, len(r.Pieces), jsonSize(body), w.c.names[node], status)
	}
	switch status {
	case 200:
		var a answer
		err := decoder.Unmarshal(answerBody, &a)
		if err == nil && jsonSize(answerBody) <= maxBody {
			w.accept(&a, r.Shift, sent)
		}
		if n := len(r.Pieces) + len(a.Orders); n > 0 || err != nil {
			w.rec.few("answer "+w.m.id, 30, "worker %s report %d/%d of %d tasks, %d bytes as JSON, to %s: 200 with %s, %v", w.m.id, r.Shift, r.Tick, len(r.Pieces), jsonSize(body), w.c.names[node], describe(a.Orders), err)
		}
		return true
	case 421:
		var a struct {
			ReportsTo string `json:"reports_to"`
		}
		decoder.Unmarshal(answerBody, &a)
		if n := slices.Index(w.c.names, a.ReportsTo); n >= 0 && n != node {
			w.node = n
			w.notify()
			return true
		}
	}
	w.node = (node + 1) % len(w.c.nodes)
	return false
}

func (w *worker) post(addr string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/hello", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// accept takes the response to a report; the caller holds the lock.
func (w *worker) accept(a *answer, shift uint64, sent time.Time) {
	if w.dead || a.Baton == nil || *a.Baton < w.baton || shift != w.shift {
		return
	}
	if *a.Baton > w.baton {
		w.baton = *a.Baton
		if time.Since(w.raised).Seconds() > leaseS/2 {
			w.raised = time.Now()
			w.notify()
		}
	}
	w.leased = sent
	w.step()
	w.execute(a.Orders)
}

// ServeHTTP serves direct commands.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if time.Now().Before(w.isDeaf()) {
		<-r.Context().Done()
		return
	}
	if rand.Float64() < w.lateOrders {
		time.Sleep(time.Duration((2 + 14*rand.Float64()) * float64(time.Second)))
	}
	w.awaitResumed()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step()
	switch r.Method + r.URL.Path {
	case "GET/status":
		reply(rw, 200, w.state())
	case "POST/commands":
		var a answer
		if decoder.Unmarshal(body, &a) != nil || a.Baton == nil || a.Shift == nil {
			reply(rw, 400, errorBody{"baton or shift is missing"})
			return
		}
		if w.dead || *a.Baton < w.baton || *a.Shift != w.shift {
			reply(rw, 409, w.state())
			return
		}
		w.baton = *a.Baton
		w.execute(a.Orders)
		reply(rw, 200, w.state())
	default:
		reply(rw, 404, errorBody{"no such path"})
	}
}

// execute executes orders in order; the caller holds the lock.
func (w *worker) execute(orders []order) {
	for _, o := range orders {
		i := slices.IndexFunc(w.tasks, func(t *task) bool { return t.Piece == o.Piece && t.Try == o.Try })
		switch {
		case o.Verb == "start" && i < 0:
			w.start(o)
			w.notify()
		case o.Verb == "stop" && i >= 0 && w.tasks[i].Status != "ended":
			w.stopTask(w.tasks[i], o)
			w.notify()
		case o.Verb == "clear" && i >= 0 && w.tasks[i].Status == "ended":
			w.tasks = slices.Delete(w.tasks, i, i+1)
			w.notify()
		}
	}
}

func (w *worker) start(o order) {
	t := &task{piece: piece{Piece: o.Piece, Try: o.Try}}
	refuse := func(cause string) {
		t.Status, t.Cause = "ended", cause
		w.tasks = append(w.tasks, t)
	}
	j, ok := w.rec.jobOf(o.Piece)
	if !ok {
		refuse("no_such")
		return
	}
	cpus, memory := j.VCPUs, j.MemoryGB
	for _, other := range w.tasks {
		if other.Status == "ended" {
			continue
		}
		if other.Piece == o.Piece {
			refuse("busy")
			return
		}
		cpus, memory = cpus+other.job.VCPUs, memory+other.job.MemoryGB
	}
	if cpus > w.b.VCPUs+1e-6 || memory > w.b.MemoryGB+1e-6 {
		refuse("no_room")
		return
	}
	t.job, t.Status = j, "pulling"
	_, t.index = splitPiece(o.Piece)
	if _, ok := w.images[j.Bundle]; !ok {
		w.images[j.Bundle] = time.Now().Add(time.Duration(j.PullGB / w.b.FetchGB * float64(time.Second)))
	}
	w.tasks = append(w.tasks, t)
	w.step()
}

func (w *worker) stopTask(t *task, o order) {
	leeway := 0.0
	if o.LeewayS != nil {
		leeway = *o.LeewayS
	}
	switch {
	case t.Status == "running" && t.job.SaveEvery > 0 && leeway >= t.job.StoreS && t.job.StoreS > 0:
		t.Status, t.ends = "flushing", time.Now().Add(time.Duration(t.job.StoreS*float64(time.Second)))
		progressMu.Lock()
		progress[t.Piece] += time.Since(t.begun).Seconds()
		progressMu.Unlock()
	case t.Status == "flushing" && leeway > 0:
	default:
		if t.Status == "running" || t.Status == "flushing" {
			w.rec.left(t.Piece, w.m.id, "stopped", false)
		}
		t.Status, t.Cause = "ended", "stopped"
	}
}

// step brings the states of tasks up to now; the caller holds the lock.
func (w *worker) step() {
	if w.dead || w.leased.IsZero() {
		return
	}
	now := time.Now()
	if now.Sub(w.leased).Seconds() > leaseS {
		w.rec.few("lease", 60, "worker %s: its lease of session %d has ended, %d tasks are killed and forgotten", w.m.id, w.shift, len(w.tasks))
		for _, t := range w.tasks {
			w.rec.left(t.Piece, w.m.id, "its machine's lease ended", false)
		}
		w.tasks, w.leased = nil, now
		w.shift++
		w.notify()
	}
	if now.Before(w.hung) {
		return
	}
	for _, t := range w.tasks {
		switch {
		case t.Status == "pulling" && !now.Before(w.images[t.job.Bundle]):
			progressMu.Lock()
			done, saved := results[t.Piece], progress[t.Piece]
			progressMu.Unlock()
			w.rec.started(t.Piece, t.Try, w.m)
			t.Status, t.begun = "running", now
			t.ends = now.Add(time.Duration(max(0, t.job.runS(t.index)-saved) * float64(time.Second)))
			if done {
				t.ends = now
			} else if now.Before(w.faulty) {
				t.fails, t.ends = true, now.Add(500*time.Millisecond)
			}
			w.notify()
		case t.Status == "running" && t.fails && !now.Before(t.ends):
			t.Status, t.Cause = "ended", "error"
			w.rec.left(t.Piece, w.m.id, "error", false)
			w.notify()
		case t.Status == "running" && !now.Before(t.ends):
			t.Status, t.Cause = "ended", "done"
			progressMu.Lock()
			results[t.Piece] = true
			progressMu.Unlock()
			w.rec.left(t.Piece, w.m.id, "done", true)
			w.notify()
		case t.Status == "flushing" && !now.Before(t.ends):
			t.Status, t.Cause, t.Stored = "ended", "stopped", true
			w.rec.left(t.Piece, w.m.id, "stopped and saved", false)
			w.notify()
		}
	}
}

// describe counts orders by verb.
func describe(orders []order) string {
	n := map[string]int{}
	for _, o := range orders {
		n[o.Verb]++
	}
	return fmt.Sprintf("%d starts, %d stops, %d clears", n["start"], n["stop"], n["clear"])
}

// fits tells whether the worker hears the controllers and has room for one more task of a job.
func (w *worker) fits(j job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	cpus, memory := j.VCPUs, j.MemoryGB
	for _, t := range w.tasks {
		if t.Status != "ended" {
			cpus, memory = cpus+t.job.VCPUs, memory+t.job.MemoryGB
		}
	}
	return !w.dead && w.baton > 0 && time.Since(w.leased).Seconds() < leaseS/2 && cpus <= w.b.VCPUs && memory <= w.b.MemoryGB
}

func (w *worker) isDeaf() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.deaf
}

// hang makes the machine hang: its tasks make no progress, it sends nothing, and commands wait.
func (w *worker) hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !time.Now().After(w.hung) {
		return
	}
	w.hung = time.Now().Add(d)
	for _, t := range w.tasks {
		t.ends = t.ends.Add(d)
	}
}

// awaitResumed waits while the machine hangs.
func (w *worker) awaitResumed() {
	for {
		w.mu.Lock()
		left := time.Until(w.hung)
		w.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}
