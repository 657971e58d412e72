package fake

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
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
	rental  wire.LaunchRequest
	ctx     context.Context // ends with the machine
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
	hung    chan struct{} // closed when the machine goes on; nil: it does not hang
	images  map[string]bool
	recall  time.Time // when the cloud takes the machine; zero: nobody said
}

type workerTask struct {
	wire.TaskStatus
	ends time.Time // of what its state says
}

// newWorker is a worker that runs.
func newWorker(c *Cloud, id string, r wire.LaunchRequest) *Worker {
	w := makeWorker(c, id, r)
	go w.run(w.ctx)
	return w
}

// makeWorker is a worker that does not run yet.
func makeWorker(c *Cloud, id string, r wire.LaunchRequest) *Worker {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{ID: id, cloud: c, address: id + workerPort, rental: r, ctx: ctx, cancel: cancel, session: 1,
		client: &http.Client{Transport: c.Net.From(id)}, renewed: time.Now(), changed: make(chan struct{}, 1), images: map[string]bool{}}
	if c.ServeWorker != nil {
		w.address = c.ServeWorker(w)
	}
	return w
}

func (w *Worker) stop() { w.cancel() }

// Hang has the machine hang for a while: it runs nothing, reports nothing, and executes
// what was sent to it when it goes on, if token and session still match. Its lease ends
// meanwhile all the same: that is the first thing that it notices when it goes on.
func (w *Worker) Hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hung != nil {
		return
	}
	over := make(chan struct{})
	w.hung = over
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, t := range w.tasks {
			t.ends = t.ends.Add(d)
		}
		w.hung = nil
		w.step()
		close(over)
		w.wake()
	})
}

// awake waits until the machine does not hang.
func (w *Worker) awake() {
	for {
		w.mu.Lock()
		hung := w.hung
		w.mu.Unlock()
		if hung == nil {
			return
		}
		<-hung
	}
}

// PricePerHour is what the machine costs an hour.
func (w *Worker) PricePerHour() float64 {
	t := InstanceTypes().Types[0]
	if w.rental.Spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// Zone is where the machine is.
func (w *Worker) Zone() string { return w.rental.Zone }

// Tasks lists the tasks that the machine has and that have not ended.
func (w *Worker) Tasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, t := range w.tasks {
		if t.State != wire.TaskExited {
			out = append(out, t.TaskID)
		}
	}
	return out
}

// FencingToken is the highest token that the worker has seen.
func (w *Worker) FencingToken() uint64 {
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
		pause := w.cloud.HeartbeatIntervalS
		w.awake()
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
	if w.ctx.Err() != nil {
		w.tasks = nil
		return
	}
	now := time.Now()
	if now.Sub(w.renewed) > seconds(w.cloud.LeaseDurationS) {
		for _, t := range w.tasks {
			w.cloud.left(t.TaskID, w.ID, false)
		}
		w.tasks = nil
		w.session++
		w.renewed = now
	}
	if w.hung != nil {
		return
	}
	for _, t := range w.tasks {
		if job := w.job(t.TaskID); job.Kind == wire.KindGang && t.State != wire.TaskExited && t.State != wire.TaskPullingImage {
			w.stepGang(t, &job)
			continue
		}
		if now.Before(t.ends) {
			continue
		}
		switch t.State {
		case wire.TaskPullingImage:
			w.images[w.image(t.TaskID)] = true
			w.begin(t)
		case wire.TaskRunning:
			t.State, t.ExitReason = wire.TaskExited, wire.ExitDone
			w.cloud.left(t.TaskID, w.ID, true)
		case wire.TaskCheckpointing:
			t.State, t.ExitReason, t.Checkpointed = wire.TaskExited, wire.ExitStopped, true
			w.cloud.left(t.TaskID, w.ID, false)
		default:
			continue
		}
		w.wake()
	}
}

// job is the description of a task's job, which its user has uploaded.
func (w *Worker) job(task string) wire.Job {
	id, _, _ := strings.Cut(task, "/")
	return w.cloud.Rules.Job(id)
}

func (w *Worker) image(task string) string { return w.job(task).Image }

// stepGang has a gang's task keep up with the others.
func (w *Worker) stepGang(t *workerTask, job *wire.Job) {
	if !w.cloud.gangs.step(t, job, w.cloud.RuntimeOf(t.TaskID)) {
		return
	}
	if t.State == wire.TaskExited {
		w.cloud.left(t.TaskID, w.ID, t.ExitReason == wire.ExitDone)
	}
	w.wake()
}

// begin has a task run that has its image.
func (w *Worker) begin(t *workerTask) {
	if job := w.job(t.TaskID); job.Kind == wire.KindGang {
		w.cloud.started(t.TaskID, w.ID)
		w.cloud.gangs.join(t, &job)
		w.stepGang(t, &job)
		return
	}
	run := seconds(w.cloud.RuntimeOf(t.TaskID))
	t.State, t.ends = wire.TaskRunning, time.Now().Add(run)
	w.cloud.started(t.TaskID, w.ID)
	time.AfterFunc(run, w.wake)
}

func (w *Worker) message() *wire.Heartbeat {
	w.seq++
	r := &wire.Heartbeat{MachineID: w.ID, Address: w.address, InstanceType: w.rental.InstanceType, Zone: w.rental.Zone, Spot: w.rental.Spot,
		Incarnation: w.session, Sequence: w.seq, FencingToken: w.token, Tasks: []wire.TaskStatus{}}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	if !w.recall.IsZero() {
		left := max(0, time.Until(w.recall).Seconds())
		r.InterruptionNoticeS = &left
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
	w.awake()
	if time.Since(sent) > answerWithin {
		code = 0 // it waited too long, perhaps hanging
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch code {
	case http.StatusOK:
		var a wire.HeartbeatResponse
		if w.ctx.Err() != nil {
			return true
		}
		if wire.Unmarshal(body, &a) != nil || a.FencingToken < w.token || r.Incarnation != w.session {
			return true
		}
		if a.FencingToken > w.token {
			w.token = a.FencingToken
			w.wake()
		}
		w.renewed = sent
		w.step()
		w.execute(a.Commands)
		return true
	case http.StatusMisdirectedRequest:
		var a wire.Redirect
		if wire.Unmarshal(body, &a) == nil {
			if i := slices.IndexFunc(w.cloud.Nodes, func(n string) bool { return n == a.Member+":8080" }); i >= 0 {
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

// answerWithin is how long a worker waits for the answer to a report.
const answerWithin = 4 * time.Second

func (w *Worker) wake() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *Worker) post(ctx context.Context, node string, r *wire.Heartbeat) (int, []byte) {
	b, err := wire.Marshal(r)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
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
		i := slices.IndexFunc(w.tasks, func(t *workerTask) bool { return t.TaskID == c.TaskID && t.Attempt == c.Attempt })
		switch c.Verb {
		case wire.VerbStart:
			if i >= 0 {
				continue
			}
			t := &workerTask{TaskStatus: wire.TaskStatus{TaskID: c.TaskID, Attempt: c.Attempt, State: wire.TaskRunning}}
			if slices.ContainsFunc(w.tasks, func(o *workerTask) bool { return o.TaskID == c.TaskID && o.State != wire.TaskExited }) {
				t.State, t.ExitReason = wire.TaskExited, wire.ExitOtherAttemptPresent
			} else if w.cloud.TaskFails != nil && w.cloud.TaskFails(c.TaskID, w.ID) {
				t.State, t.ExitReason = wire.TaskExited, wire.ExitError
				w.cloud.started(c.TaskID, w.ID)
				w.cloud.left(c.TaskID, w.ID, false)
			} else if w.cloud.ImagePullS > 0 && !w.images[w.image(c.TaskID)] {
				t.State, t.ends = wire.TaskPullingImage, time.Now().Add(seconds(w.cloud.ImagePullS))
			} else {
				w.begin(t)
			}
			w.tasks = append(w.tasks, t)
		case wire.VerbStop:
			if i < 0 || w.tasks[i].State == wire.TaskExited {
				continue
			}
			grace := 0.0
			if c.GracePeriodS != nil {
				grace = *c.GracePeriodS
			}
			job := w.job(c.TaskID)
			if job.Kind == wire.KindGang && w.tasks[i].State != wire.TaskPullingImage {
				if w.cloud.gangs.stop(w.tasks[i], &job, grace); w.tasks[i].State == wire.TaskExited {
					w.cloud.left(c.TaskID, w.ID, false)
				}
				w.wake()
				continue
			}
			switch {
			case w.tasks[i].State == wire.TaskRunning && job.CheckpointIntervalS > 0 && job.CheckpointDurationS > 0 && grace >= job.CheckpointDurationS:
				w.tasks[i].State, w.tasks[i].ends = wire.TaskCheckpointing, time.Now().Add(seconds(job.CheckpointDurationS))
			case w.tasks[i].State == wire.TaskCheckpointing && grace > 0:
			default:
				w.tasks[i].State, w.tasks[i].ExitReason = wire.TaskExited, wire.ExitStopped
				w.cloud.left(c.TaskID, w.ID, false)
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
	var c wire.CommandRequest
	if err != nil || wire.Unmarshal(body, &c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.awake()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step()
	if w.ctx.Err() != nil {
		rw.WriteHeader(http.StatusServiceUnavailable) // what was held by the machine is gone with it
		return
	}
	if c.FencingToken < w.token || c.Incarnation != w.session {
		send(rw, http.StatusConflict, w.message())
		return
	}
	w.token = c.FencingToken
	w.execute(c.Commands)
	send(rw, http.StatusOK, w.message())
}

// String names the worker in messages.
func (w *Worker) String() string { return fmt.Sprintf("worker %s", w.ID) }
