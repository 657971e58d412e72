package fake

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// workerPort ends the addresses of workers.
const workerPort = ":9000"

// nodePort ends the hosts of controllers.
const nodePort = ":8080"

// Times of workers.
const (
	// responseTimeout is how long a worker waits for the response to a heartbeat.
	responseTimeout = 4 * time.Second
	// stepInterval is how often a worker looks what its tasks have come to.
	stepInterval = 100 * micros.Millisecond
	// minHeartbeatInterval is between two heartbeats, also if something changes.
	minHeartbeatInterval = 500 * time.Millisecond
	// nextNodeS is after how many seconds the next node is tried when one does not answer.
	nextNodeS = 1.0
)

// Worker is a fake of the worker of one machine.
type Worker struct {
	ID      string
	cloud   *Cloud
	address string
	launch  wire.LaunchRequest
	ctx     context.Context // ends with the machine
	cancel  context.CancelFunc
	client  *http.Client
	changed chan struct{} // capacity 1: something is to be reported soon

	mu             sync.Mutex // guards what follows
	incarnation    uint64
	sequence       uint64
	fencingToken   uint64 // the highest seen
	tasks          []*workerTask
	leaseRenewedAt time.Time     // when the last heartbeat was sent that got a valid response
	nodeIndex      int           // of the node that gets the heartbeats; counts on beyond the last one
	resumed        chan struct{} // closed when the machine goes on; nil: it does not hang
	images         map[string]bool
	interruptedAt  time.Time // when the cloud takes the machine; zero: there was no notice
}

// workerTask is a task that a worker has, also after its exit until it is cleared.
type workerTask struct {
	wire.TaskStatus
	endsAt time.Time // of its present state, unless it is one of a gang's beyond the pulling of its image
}

// startWorker returns a worker that runs.
func startWorker(c *Cloud, id string, launch wire.LaunchRequest) *Worker {
	w := newWorker(c, id, launch)
	go w.run(w.ctx)
	return w
}

// newWorker returns a worker that does not run yet.
func newWorker(c *Cloud, id string, launch wire.LaunchRequest) *Worker {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{
		ID:             id,
		cloud:          c,
		address:        id + workerPort,
		launch:         launch,
		ctx:            ctx,
		cancel:         cancel,
		client:         &http.Client{Transport: c.Net.From(id)},
		changed:        make(chan struct{}, 1),
		incarnation:    1,
		leaseRenewedAt: time.Now(),
		images:         map[string]bool{},
	}
	if c.ServeWorker != nil {
		w.address = c.ServeWorker(w)
	}
	return w
}

// stop ends the worker. It does not wait for the worker's goroutines: they take the cloud's lock,
// which callers hold.
func (w *Worker) stop() { w.cancel() }

// Interrupt has the cloud take the machine after a notice.
func (w *Worker) Interrupt(notice time.Duration) {
	w.mu.Lock()
	w.interruptedAt = time.Now().Add(notice)
	w.notifyChange()
	w.mu.Unlock()
	time.AfterFunc(notice, func() {
		c := w.cloud
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.machines[w.ID] == w {
			c.terminate(w)
		}
	})
}

// Hang has the machine hang for a while: it runs nothing, sends no heartbeat, and executes what was
// sent to it when it goes on, if fencing token and incarnation still match. Its lease expires
// meanwhile all the same: that is the first thing that it notices when it goes on. It does nothing
// if the machine hangs already.
func (w *Worker) Hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumed != nil {
		return
	}
	resumed := make(chan struct{})
	w.resumed = resumed
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, t := range w.tasks {
			t.endsAt = t.endsAt.Add(d)
		}
		w.resumed = nil
		w.step()
		close(resumed)
		w.notifyChange()
	})
}

// awaitResumed waits until the machine does not hang.
func (w *Worker) awaitResumed() {
	for {
		w.mu.Lock()
		resumed := w.resumed
		w.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

// PricePerHour returns the price of the machine.
func (w *Worker) PricePerHour() float64 {
	t := InstanceTypes().Types[0]
	if w.launch.Spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// Zone returns the zone of the machine.
func (w *Worker) Zone() string { return w.launch.Zone }

// Tasks lists the tasks that the machine has, without those that have exited.
func (w *Worker) Tasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var tasks []string
	for _, t := range w.tasks {
		if t.State != wire.TaskExited {
			tasks = append(tasks, t.TaskID)
		}
	}
	return tasks
}

// FencingToken returns the highest fencing token that the worker has seen.
func (w *Worker) FencingToken() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fencingToken
}

// String names the worker in messages.
func (w *Worker) String() string { return fmt.Sprintf("worker %s", w.ID) }

// run sends heartbeats until the machine ends.
func (w *Worker) run(ctx context.Context) {
	go w.runTasks(ctx)
	for ctx.Err() == nil {
		pauseS := w.cloud.HeartbeatIntervalS
		w.awaitResumed()
		if !w.sendHeartbeat(ctx) {
			pauseS = min(pauseS, nextNodeS)
		}
		pause := time.NewTimer(seconds(pauseS))
		select {
		case <-ctx.Done():
		case <-pause.C:
		case <-w.changed:
			time.Sleep(minHeartbeatInterval)
		}
		pause.Stop()
	}
}

// runTasks has tasks change their states on time, also while a heartbeat waits for its response.
func (w *Worker) runTasks(ctx context.Context) {
	micros.Every(ctx, stepInterval, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.step()
	})
}

// notifyChange has the next heartbeat be sent soon.
func (w *Worker) notifyChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// heartbeat returns the next heartbeat; the caller holds the lock.
func (w *Worker) heartbeat() *wire.Heartbeat {
	w.sequence++
	h := &wire.Heartbeat{
		MachineID:    w.ID,
		Address:      w.address,
		InstanceType: w.launch.InstanceType,
		Zone:         w.launch.Zone,
		Spot:         w.launch.Spot,
		Incarnation:  w.incarnation,
		Sequence:     w.sequence,
		FencingToken: w.fencingToken,
		Tasks:        []wire.TaskStatus{},
	}
	for _, t := range w.tasks {
		h.Tasks = append(h.Tasks, t.TaskStatus)
	}
	if !w.interruptedAt.IsZero() {
		left := max(0, time.Until(w.interruptedAt).Seconds())
		h.InterruptionNoticeS = &left
	}
	return h
}

// sendHeartbeat sends a heartbeat, executes the commands of the response, and reports whether a node
// answered.
func (w *Worker) sendHeartbeat(ctx context.Context) bool {
	w.mu.Lock()
	w.step()
	h := w.heartbeat()
	node := w.cloud.NodeHosts[w.nodeIndex%len(w.cloud.NodeHosts)]
	w.mu.Unlock()
	sentAt := time.Now()
	code, body := w.post(ctx, node, h)
	w.awaitResumed()
	if time.Since(sentAt) > responseTimeout {
		code = 0 // it came too late, perhaps because the machine hung
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case code == http.StatusOK:
		w.handleResponse(body, h.Incarnation, sentAt)
		return true
	case code == http.StatusMisdirectedRequest && w.followRedirect(body):
		return true
	}
	w.nodeIndex++
	return false
}

// handleResponse renews the lease and executes the commands of a response, unless it is out of date;
// the caller holds the lock. The heartbeat was sent in an incarnation at a time.
func (w *Worker) handleResponse(body []byte, incarnation uint64, sentAt time.Time) {
	var response wire.HeartbeatResponse
	if w.ctx.Err() != nil || wire.Unmarshal(body, &response) != nil {
		return
	}
	if response.FencingToken < w.fencingToken || incarnation != w.incarnation {
		return
	}
	if response.FencingToken > w.fencingToken {
		w.fencingToken = response.FencingToken
		w.notifyChange()
	}
	w.leaseRenewedAt = sentAt
	w.step()
	w.execute(response.Commands)
}

// followRedirect has the next heartbeat go to the node that a response names, and reports whether it
// names one; the caller holds the lock.
func (w *Worker) followRedirect(body []byte) bool {
	var redirect wire.Redirect
	if wire.Unmarshal(body, &redirect) != nil {
		return false
	}
	i := slices.Index(w.cloud.NodeHosts, redirect.Member+nodePort)
	if i < 0 {
		return false
	}
	w.nodeIndex = i
	w.notifyChange()
	return true
}

// post sends a heartbeat to a node. The code is 0 if there was no response in time.
func (w *Worker) post(ctx context.Context, node string, h *wire.Heartbeat) (code int, body []byte) {
	b, err := wire.Marshal(h)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/hello", bytes.NewReader(b))
	if err != nil {
		panic(err)
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	var buffer bytes.Buffer
	if _, err := buffer.ReadFrom(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, buffer.Bytes()
}

// ServeHTTP implements http.Handler: commands that are sent directly.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body)
	var q wire.CommandRequest
	if err != nil || wire.Unmarshal(body, &q) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.awaitResumed()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step()
	if w.ctx.Err() != nil {
		rw.WriteHeader(http.StatusServiceUnavailable) // what reached the machine before its end is lost with it
		return
	}
	if q.FencingToken < w.fencingToken || q.Incarnation != w.incarnation {
		respond(rw, http.StatusConflict, w.heartbeat())
		return
	}
	w.fencingToken = q.FencingToken
	w.execute(q.Commands)
	respond(rw, http.StatusOK, w.heartbeat())
}
