package standin

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"caperlatch/internal/wire"
)

// workerPort ends the addresses of workers.
const workerPort = ":9000"

// Worker is a stand-in of a machine's worker.
type Worker struct {
	ID      string
	cloud   *Cloud
	address string
	rental  wire.Rental
	cancel  context.CancelFunc
	client  *http.Client

	mu      sync.Mutex
	session uint64
	seq     uint64
	token   uint64
	tasks   []*workerTask
	renewed time.Time // send time of the last answered report
	node    int
	changed chan struct{}
}

type workerTask struct {
	wire.ReportTask
	ends time.Time
}

func newWorker(c *Cloud, id string, r wire.Rental) *Worker {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{ID: id, cloud: c, address: id + workerPort, rental: r, cancel: cancel, session: 1,
		client: &http.Client{Transport: c.Net.From(id)}, renewed: time.Now(), changed: make(chan struct{}, 1)}
	go w.run(ctx)
	return w
}

func (w *Worker) stop() { w.cancel() }

// Token is the highest token that the worker has seen.
func (w *Worker) Token() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.token
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// keepTime ends tasks on time, also while a report waits for its answer.
func (w *Worker) keepTime(ctx context.Context) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.mu.Lock()
			w.step()
			w.mu.Unlock()
		}
	}
}

func (w *Worker) run(ctx context.Context) {
	go w.keepTime(ctx)
	for ctx.Err() == nil {
		pause := w.cloud.ReportS
		if !w.report(ctx) {
			pause = min(pause, 1) // until the next node is tried
		}
		next := time.NewTimer(seconds(pause))
		select {
		case <-ctx.Done():
		case <-next.C:
		case <-w.changed:
			time.Sleep(500 * time.Millisecond)
		}
		next.Stop()
	}
}

// step ends what has run its time, and everything when the lease is over.
func (w *Worker) step() {
	now := time.Now()
	if now.Sub(w.renewed) > seconds(w.cloud.LeaseS) {
		for _, t := range w.tasks {
			w.cloud.left(t.Task, w.ID, false)
		}
		w.tasks = nil
		w.session++
		w.renewed = now
	}
	for _, t := range w.tasks {
		if t.State == wire.TaskRunning && !now.Before(t.ends) {
			t.State, t.Cause = wire.TaskExited, wire.CauseDone
			w.cloud.left(t.Task, w.ID, true)
		}
	}
}

func (w *Worker) message() *wire.Report {
	w.seq++
	r := &wire.Report{Machine: w.ID, Address: w.address, Type: w.rental.Type, Zone: w.rental.Zone, Spot: w.rental.Spot,
		Session: w.session, Seq: w.seq, Token: w.token, Tasks: []wire.ReportTask{}}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.ReportTask)
	}
	return r
}

// report tells whether a node answered.
func (w *Worker) report(ctx context.Context) bool {
	w.mu.Lock()
	w.step()
	r := w.message()
	node := w.cloud.Nodes[w.node%len(w.cloud.Nodes)]
	w.mu.Unlock()
	sent := time.Now()
	code, body := w.post(ctx, node, r)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch code {
	case http.StatusOK:
		var a wire.ReportAnswer
		if wire.Unmarshal(body, &a) != nil || a.Token < w.token || r.Session != w.session {
			return true
		}
		if a.Token > w.token {
			w.token = a.Token
			w.wake()
		}
		w.renewed = sent
		w.step()
		w.execute(a.Commands)
		return true
	case http.StatusMisdirectedRequest:
		var a wire.Redirect
		if wire.Unmarshal(body, &a) == nil {
			if i := slices.IndexFunc(w.cloud.Nodes, func(n string) bool { return n == a.ReportTo+":8080" }); i >= 0 {
				w.node = i
				w.wake()
				return true
			}
		}
		w.node++
	default:
		w.node++
	}
	return false
}

func (w *Worker) wake() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *Worker) post(ctx context.Context, node string, r *wire.Report) (int, []byte) {
	b, err := wire.Marshal(r)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/hello", bytes.NewReader(b))
	if err != nil {
		panic(err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	var buf bytes.Buffer
	if _, err := buf.ReadFrom(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, buf.Bytes()
}

func (w *Worker) execute(commands []wire.Command) {
	for _, c := range commands {
		i := slices.IndexFunc(w.tasks, func(t *workerTask) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		switch c.Verb {
		case wire.VerbStart:
			if i >= 0 {
				continue
			}
			t := &workerTask{ReportTask: wire.ReportTask{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}}
			if slices.ContainsFunc(w.tasks, func(o *workerTask) bool { return o.Task == c.Task && o.State != wire.TaskExited }) {
				t.State, t.Cause = wire.TaskExited, wire.CauseBusy
			} else if w.cloud.Fails != nil && w.cloud.Fails(c.Task, w.ID) {
				t.State, t.Cause = wire.TaskExited, wire.CauseError
				w.cloud.started(c.Task, w.ID)
				w.cloud.left(c.Task, w.ID, false)
			} else {
				run := seconds(w.cloud.RunFor(c.Task))
				t.ends = time.Now().Add(run)
				w.cloud.started(c.Task, w.ID)
				time.AfterFunc(run, w.wake)
			}
			w.tasks = append(w.tasks, t)
		case wire.VerbStop:
			if i >= 0 && w.tasks[i].State != wire.TaskExited {
				w.tasks[i].State, w.tasks[i].Cause = wire.TaskExited, wire.CauseStopped
				w.cloud.left(c.Task, w.ID, false)
			}
		case wire.VerbClear:
			if i >= 0 && w.tasks[i].State == wire.TaskExited {
				w.tasks = slices.Delete(w.tasks, i, i+1)
			}
		}
		w.wake()
	}
}

// ServeHTTP implements http.Handler: commands sent directly.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body)
	var c wire.DirectCommands
	if err != nil || wire.Unmarshal(body, &c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step()
	if c.Token < w.token || c.Session != w.session {
		send(rw, http.StatusConflict, w.message())
		return
	}
	w.token = c.Token
	w.execute(c.Commands)
	send(rw, http.StatusOK, w.message())
}

// String names the worker in messages.
func (w *Worker) String() string { return fmt.Sprintf("worker %s", w.ID) }
