package fake

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"caperlatch/internal/sim/checker"
	"caperlatch/internal/wire"
)

// CloudConfig configures a Cloud and its workers. A test may change a field while no operation that reads the field
// is in progress; SetMaxMachines may be called at any time.
type CloudConfig struct {
	Net       *Network
	Rules     *checker.Rules // receives the launches of machines, and the starts and exits of tasks
	NodeHosts []string       // hosts of the controllers
	// UnknownFields adds unknown fields to the messages of workers; nil: none.
	UnknownFields *UnknownFields

	HeartbeatIntervalS float64 // time between two heartbeats of a worker, in seconds
	LeaseDurationS     float64 // duration of a worker's lease, in seconds
	ImagePullS         float64 // duration of an image pull, in seconds; 0: every image is already present on each machine

	Zones             []string       // nil: zone a only
	MaxMachines       int            // maximum in all zones together; 0: unlimited
	MaxMachinesByZone map[string]int // maximum by zone; a zone without an entry is unlimited
	// HasCapacity reports whether the cloud has capacity for the machines of a launch request; nil: it always has. It
	// is called with the cloud's lock held.
	HasCapacity func(request wire.LaunchRequest) bool

	// RuntimeOf returns the runtime of a task, in seconds. It is called with locks held.
	RuntimeOf func(task string) float64
	// TaskFails reports whether a task fails immediately when it starts on a machine; nil: no task fails. It is
	// called with locks held.
	TaskFails func(task, machine string) bool
	// ServeWorker starts to serve the handler of a worker and returns the address; nil: Net serves the handler. It
	// is called with the cloud's lock held.
	ServeWorker func(h http.Handler) (address string)
}

// Cloud is a fake of the cloud. It has one instance type, and a machine is up as soon as it is launched.
type Cloud struct {
	CloudConfig

	gangs *gangRegistry

	mu                sync.Mutex          // guards the fields below
	machinesByRequest map[string][]string // machine IDs by the request ID of their launch
	machines          map[string]*Worker  // the machines that are up, by ID
	nextMachine       int                 // number in the ID of the next machine
	machineByTask     map[string]string   // ID of the machine on which a task is, by task
	startCount        int
	startsByJob       map[string]int
	launchCount       int
}

// NewCloud returns a cloud without machines.
func NewCloud(config CloudConfig) *Cloud {
	return &Cloud{
		CloudConfig:       config,
		gangs:             newGangRegistry(),
		machinesByRequest: map[string][]string{},
		machines:          map[string]*Worker{},
		machineByTask:     map[string]string{},
		startsByJob:       map[string]int{},
	}
}

// InstanceTypes returns the instance types of every Cloud, with zone a as their only zone. The caller may modify the
// list.
func InstanceTypes() wire.InstanceTypeList {
	return wire.InstanceTypeList{Types: []wire.InstanceType{{
		Name: "m4", CPUs: 4, MemoryGB: 16, ImageCacheGB: 50, ImagePullGBPerS: 1, OnDemandPrice: 1, SpotPrice: 0.3, BootTimeS: 2, Zones: []string{"a"},
	}}}
}

// ServeHTTP serves the API of the cloud.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.Method + r.URL.Path {
	case "GET/catalog":
		list := InstanceTypes()
		if c.Zones != nil {
			list.Types[0].Zones = c.Zones
		}
		respond(w, http.StatusOK, list)
	case "GET/hosts":
		respond(w, http.StatusOK, wire.InstancePage{Instances: []wire.InstanceStatus{}})
	case "POST/hosts":
		c.serveLaunch(w, body)
	case "POST/hosts/return":
		c.serveTerminate(w, body)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// serveLaunch answers a launch request. A repeated request ID returns the machines of the first request. The caller
// holds the lock.
func (c *Cloud) serveLaunch(w http.ResponseWriter, body []byte) {
	var q wire.LaunchRequest
	if wire.Unmarshal(body, &q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ids, repeated := c.machinesByRequest[q.RequestID]
	if !repeated && (c.isFull(q.Zone) || c.HasCapacity != nil && !c.HasCapacity(q)) {
		respond(w, http.StatusServiceUnavailable, wire.ErrorResponse{Message: "no capacity"})
		return
	}
	for i := 0; i < q.Count && !repeated && !c.isFull(q.Zone); i++ {
		ids = append(ids, c.launch(q))
	}
	c.machinesByRequest[q.RequestID] = ids
	respond(w, http.StatusOK, wire.InstanceIDs{IDs: ids})
}

// launch launches a machine and returns its ID. The caller holds the lock.
func (c *Cloud) launch(q wire.LaunchRequest) string {
	id := fmt.Sprintf(machineFormat, c.nextMachine)
	c.nextMachine++
	c.launchCount++
	c.Rules.ObserveLaunch(id, q)
	worker := startWorker(c, id, q)
	c.machines[id] = worker
	c.Net.Handle(worker.address, c.UnknownFields.Handler(worker))
	return id
}

// machineFormat is the format of machine IDs.
const machineFormat = "i-%06d"

// Configure changes the configuration between two requests to the cloud. Fields that workers read must not be changed
// once a machine was launched.
func (c *Cloud) Configure(change func(config *CloudConfig)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.CloudConfig)
}

// SetMaxMachines changes MaxMachines; it may be called while the cloud serves requests.
func (c *Cloud) SetMaxMachines(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.MaxMachines = n
}

// isFull reports whether MaxMachines or the zone's entry in MaxMachinesByZone prevents a further machine in the zone.
// The caller holds the lock.
func (c *Cloud) isFull(zone string) bool {
	inZone := 0
	for _, w := range c.machines {
		if w.Zone() == zone {
			inZone++
		}
	}
	zoneMax, limited := c.MaxMachinesByZone[zone]
	return limited && inZone >= zoneMax || c.MaxMachines > 0 && len(c.machines) >= c.MaxMachines
}

// serveTerminate answers a request to terminate machines. The caller holds the lock.
func (c *Cloud) serveTerminate(w http.ResponseWriter, body []byte) {
	var q wire.InstanceIDs
	if wire.Unmarshal(body, &q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, id := range q.IDs {
		if worker := c.machines[id]; worker != nil {
			c.terminate(worker)
		}
	}
}

// terminate terminates a machine that is up, and all tasks on it. The caller holds the lock.
func (c *Cloud) terminate(w *Worker) {
	w.stop()
	delete(c.machines, w.ID)
	c.Net.Handle(w.address, nil)
	for task, machine := range c.machineByTask {
		if machine == w.ID {
			delete(c.machineByTask, task)
			c.Rules.ObserveExit(task, w.ID, false)
		}
	}
}

// taskStarted records that a task has started on a machine.
func (c *Cloud) taskStarted(task, machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startCount++
	job, _, _ := strings.Cut(task, "/")
	c.startsByJob[job]++
	c.Rules.ObserveStart(task, machine)
	c.machineByTask[task] = machine
}

// taskExited records that a task has exited on a machine; done reports whether the task completed.
func (c *Cloud) taskExited(task, machine string, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machineByTask[task] == machine {
		delete(c.machineByTask, task)
		c.Rules.ObserveExit(task, machine, done)
	}
}

// Violations returns the rule violations recorded so far.
func (c *Cloud) Violations() []string { return c.Rules.Violations() }

// Starts returns the number of task starts so far.
func (c *Cloud) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startCount
}

// StartsOf returns the number of starts of a job's tasks so far.
func (c *Cloud) StartsOf(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsByJob[job]
}

// Launched returns the number of machines launched so far.
func (c *Cloud) Launched() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.launchCount
}

// TasksOnMachines returns the tasks that have started on a machine and not exited, in no particular order.
func (c *Cloud) TasksOnMachines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var tasks []string
	for task := range c.machineByTask {
		tasks = append(tasks, task)
	}
	return tasks
}

// TaskStates returns the state of each task that a worker reports, by task. Exited tasks are not included.
func (c *Cloud) TaskStates() map[string]string {
	states := map[string]string{}
	for _, w := range c.Workers() {
		w.mu.Lock()
		for _, t := range w.tasks {
			if t.State != wire.TaskExited {
				states[t.TaskID] = t.State
			}
		}
		w.mu.Unlock()
	}
	return states
}

// Workers returns the workers of the machines that are up, in no particular order.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, w := range c.machines {
		workers = append(workers, w)
	}
	return workers
}

// WorkersOf returns the workers on which any task of a job has not exited, sorted by ID.
func (c *Cloud) WorkersOf(job string) (workers []*Worker) {
	for _, w := range c.Workers() {
		if slices.ContainsFunc(w.Tasks(), func(task string) bool { return strings.HasPrefix(task, job+"/") }) {
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) })
	return workers
}

// Machines returns the zone, the CPUs and the price of each machine that is up, for checker.History.
func (c *Cloud) Machines() []checker.Machine {
	cpus := int(InstanceTypes().Types[0].CPUs)
	var machines []checker.Machine
	for _, w := range c.Workers() {
		machines = append(machines, checker.Machine{Zone: w.Zone(), CPUs: cpus, PricePerHour: w.PricePerHour()})
	}
	return machines
}

// Close stops the workers of all machines without waiting for their goroutines to return.
func (c *Cloud) Close() {
	for _, w := range c.Workers() {
		w.stop()
	}
}
