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

// workerPort is the suffix of worker addresses on a Network.
const workerPort = ":9000"

// nodePort is the suffix of controller hosts.
const nodePort = ":8080"

// Timeouts and intervals of workers.
const (
	// responseTimeout is the time for which a worker waits for the response to a heartbeat.
	responseTimeout = 4 * time.Second
	// stepInterval is the interval at which a worker updates the states of its tasks.
	stepInterval = 100 * micros.Millisecond
	// minHeartbeatInterval is the minimum interval between two heartbeats, even if a change is to be reported.
	minHeartbeatInterval = 500 * time.Millisecond
	// nextNodeDelayS is the time, in seconds, after which a worker tries the next node when one does not respond.
	nextNodeDelayS = 1.0
)

// Worker is a fake of the worker on one machine.
type Worker struct {
	ID      string
	cloud   *Cloud
	address string
	launch  wire.LaunchRequest
	ctx     context.Context // cancelled when the machine is terminated
	cancel  context.CancelFunc
	client  *http.Client
	changed chan struct{} // capacity 1: signals that the next heartbeat is to be sent soon

	mu             sync.Mutex // guards the fields below
	restarts       int        // number of restarts so far
	incarnation    uint64
	sequence       uint64
	fencingToken   uint64 // the highest fencing token seen
	tasks          []*workerTask
	leaseRenewedAt time.Time       // send time of the latest heartbeat that got a valid response
	nodeIndex      int             // index of the node that gets the heartbeats, modulo the number of nodes
	resumed        chan struct{}   // closed when the machine resumes; nil: the machine does not hang
	images         map[string]bool // the images that are present
	interruptedAt  time.Time       // when the cloud terminates the machine; zero: the cloud has given no notice
}

// workerTask is a task on a worker. It remains after its exit until a clear command removes it.
type workerTask struct {
	wire.TaskStatus
	// endsAt is when the current state ends. It is not used for a task of a gang after its image pull.
	endsAt time.Time
}

// startWorker creates a worker and starts its goroutines.
func startWorker(c *Cloud, id string, launch wire.LaunchRequest) *Worker {
	w := newWorker(c, id, launch)
	go w.run(w.ctx)
	return w
}

// newWorker creates a worker without starting its goroutines.
func newWorker(c *Cloud, id string, launch wire.LaunchRequest) *Worker {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{
		ID:             id,
		cloud:          c,
		address:        id + workerPort,
		launch:         launch,
		ctx:            ctx,
		cancel:         cancel,
		client:         &http.Client{Transport: c.UnknownFields.Transport(c.Net.From(id))},
		changed:        make(chan struct{}, 1),
		incarnation:    1,
		leaseRenewedAt: time.Now(),
		images:         map[string]bool{},
	}
	if c.ServeWorker != nil {
		w.address = c.ServeWorker(c.UnknownFields.Handler(w))
	}
	return w
}

// stop stops the worker. It does not wait for the worker's goroutines, because they take the cloud's lock, which the
// caller may hold.
func (w *Worker) stop() { w.cancel() }

// Interrupt gives the worker an interruption notice, and terminates the machine when the notice period has passed.
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

// Hang makes the machine hang for a duration d. While it hangs, its tasks make no progress and it sends no heartbeats.
// Commands that arrive in the meantime are executed when it resumes, if their fencing token and incarnation still match.
// If its lease expires while it hangs, its tasks are killed at that time. Hang does nothing if the machine already
// hangs.
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

// RestartMode says with which incarnation, sequence and fencing token a worker begins after a restart.
type RestartMode int

// The modes of restarts. The protocol does not say which of them occurs.
const (
	// RestartWithNextIncarnation begins the incarnation after the last one and keeps the sequence and the token.
	RestartWithNextIncarnation RestartMode = iota
	// RestartFromScratch begins as a new worker does, in incarnation 1 without a token.
	RestartFromScratch
	// RestartWithNewLease begins as a new worker does, but in the incarnation after the last one.
	RestartWithNewLease
)

// Restart ends the worker with all tasks, and starts it again at once under the same machine ID. It receives no response
// to a heartbeat from before. Restart does nothing if the machine hangs or is terminated.
func (w *Worker) Restart(mode RestartMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumed != nil || w.ctx.Err() != nil {
		return
	}
	w.step()
	incarnation := w.incarnation
	w.expireLease(time.Now())
	w.restarts++
	w.images = map[string]bool{}
	if mode != RestartWithNextIncarnation {
		w.sequence, w.fencingToken = 0, 0
	}
	if mode == RestartFromScratch {
		w.incarnation = 1
	} else {
		w.incarnation = incarnation + 1
	}
	w.notifyChange()
}

// awaitResumed blocks while the machine hangs.
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

// PricePerHour returns the hourly price of the machine.
func (w *Worker) PricePerHour() float64 {
	t := InstanceTypes().Types[0]
	if w.launch.Spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// Zone returns the zone of the machine.
func (w *Worker) Zone() string { return w.launch.Zone }

// Tasks returns the tasks of the machine that have not exited.
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

// String returns a name of the worker for messages.
func (w *Worker) String() string { return fmt.Sprintf("worker %s", w.ID) }

// run sends heartbeats until the context is cancelled, and starts runTasks.
func (w *Worker) run(ctx context.Context) {
	go w.runTasks(ctx)
	for ctx.Err() == nil {
		pauseS := w.cloud.HeartbeatIntervalS
		w.awaitResumed()
		if !w.sendHeartbeat(ctx) {
			pauseS = min(pauseS, nextNodeDelayS)
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

// runTasks updates the states of the tasks periodically, independently of heartbeats that wait for their response.
func (w *Worker) runTasks(ctx context.Context) {
	micros.Every(ctx, stepInterval, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.step()
	})
}

// notifyChange requests that the next heartbeat be sent soon.
func (w *Worker) notifyChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// heartbeat builds the next heartbeat. The caller holds the lock.
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

// sendHeartbeat sends a heartbeat, handles the response, and reports whether the node responded with success or with a
// usable redirect. Otherwise the next heartbeat goes to the next node.
func (w *Worker) sendHeartbeat(ctx context.Context) bool {
	w.mu.Lock()
	w.step()
	h, restarts := w.heartbeat(), w.restarts
	node := w.cloud.NodeHosts[w.nodeIndex%len(w.cloud.NodeHosts)]
	w.mu.Unlock()
	sentAt := time.Now()
	code, body := w.post(ctx, node, h)
	w.awaitResumed()
	if time.Since(sentAt) > responseTimeout {
		code = 0 // the response arrived too late, for example because the machine hung
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.restarts != restarts {
		return true // the process that waited for the response has ended
	}
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

// handleResponse renews the lease and executes the commands of a response, unless the response is outdated.
// incarnation and sentAt are those of the heartbeat. The caller holds the lock.
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

// followRedirect directs the next heartbeat to the node that a response names, and reports whether the response names
// a known node. The caller holds the lock.
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

// post sends a heartbeat to a node. The returned code is 0 if the node did not respond in time.
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

// ServeHTTP handles commands that a controller sends directly to the worker.
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
		rw.WriteHeader(http.StatusServiceUnavailable) // commands that arrive before the termination are lost
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
