package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Settings of the first site of BRIEF-caperlatch.md.
const (
	cloudRPS = 8
	listLag  = 4 * time.Second
	reportS  = 2.0
	leaseS   = 16.0
	cancelS  = 41.0
)

type build struct {
	Name     string   `json:"name"`
	VCPUs    float64  `json:"vcpus"`
	Cards    float64  `json:"cards"`
	MemoryGB float64  `json:"memory_gb"`
	LocalGB  float64  `json:"local_gb"`
	FetchGB  float64  `json:"fetch_gb_per_s"`
	Price    float64  `json:"price"`
	LowPrice float64  `json:"low_price"`
	StartupS float64  `json:"startup_s"`
	Halls    []string `json:"halls"`
}

var halls = []string{"danang", "noibai", "phuquoc", "tansonnhat"}

// builds are the machine types of the first site of BRIEF-caperlatch.md.
var builds = []build{
	{"kiosk-small", 4, 0, 32, 60, 0.25, 0.21, 0.07, 20, halls},
	{"gate-mid", 16, 0, 32, 30, 0.6, 0.63, 0.2, 40, halls},
	{"hub-large", 32, 0, 128, 60, 0.2, 1.62, 0.51, 20, halls},
}

type machine struct {
	id, build, hall string
	standby         bool
	address         string
	rented          time.Time
	up              time.Time // when its worker reports for the first time
	gone            time.Time
	worker          *worker
	stop            chan struct{}
	listener        net.Listener
}

// cloud is a stand-in of the cloud; it rents machines whose workers run in this process.
type cloud struct {
	rec   *recorder
	nodes []string // addresses of the controllers for workers
	names []string // their members

	// bootS returns how long a machine takes to come up; negative: it never does. refuse tells whether a request for
	// machines is refused for want of capacity. most is how many machines there are.
	bootS  func(n int, b build) float64
	refuse func(build, hall string, standby bool) bool
	most   int

	mu       sync.Mutex
	bookings map[string][]string
	machines []*machine
	calls    *bucket
	trouble  bool
	launches int // requests for machines that reached the cloud
}

func newCloud(rec *recorder) *cloud {
	return &cloud{rec: rec, bookings: map[string][]string{}, calls: newBucket(cloudRPS, 2*cloudRPS), most: 32,
		bootS: func(_ int, b build) float64 { return b.StartupS * (0.6 + 0.9*rand.Float64()) }}
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	allowed, trouble := c.calls.take(1), c.trouble
	c.mu.Unlock()
	switch {
	case trouble:
		reply(w, 503, errorBody{"trouble"})
	case !allowed:
		reply(w, 429, errorBody{"too many requests"})
	case r.Method == "GET" && r.URL.Path == "/catalog":
		reply(w, 200, map[string]any{"builds": builds})
	case r.Method == "GET" && r.URL.Path == "/hosts":
		c.list(w, r)
	case r.Method == "POST" && r.URL.Path == "/hosts":
		c.rent(w, r)
	case r.Method == "POST" && r.URL.Path == "/hosts/return":
		c.giveBack(w, r)
	default:
		reply(w, 400, errorBody{"malformed"})
	}
}

func (c *cloud) alive() (n int) {
	for _, m := range c.machines {
		if m.gone.IsZero() {
			n++
		}
	}
	return n
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Booking string `json:"booking"`
		Build   string `json:"build"`
		Hall    string `json:"hall"`
		Standby bool   `json:"standby"`
		HowMany int    `json:"how_many"`
	}
	i := -1
	if readInto(r, &q) == nil {
		i = slices.IndexFunc(builds, func(b build) bool { return b.Name == q.Build })
	}
	if i < 0 || !slices.Contains(halls, q.Hall) || q.HowMany < 1 || q.HowMany > 50 || q.Booking == "" {
		reply(w, 400, errorBody{"malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.launches++
	ids, known := c.bookings[q.Booking]
	if !known {
		if c.alive() >= c.most || c.refuse != nil && c.refuse(q.Build, q.Hall, q.Standby) {
			c.rec.few("no capacity", 40, "cloud  %s %d of %s in %s, standby %t: no capacity", q.Booking, q.HowMany, q.Build, q.Hall, q.Standby)
			reply(w, 503, errorBody{"no capacity"})
			return
		}
		for n := 0; n < q.HowMany && c.alive() < c.most; n++ {
			ids = append(ids, c.start(builds[i], q.Hall, q.Standby))
		}
		c.bookings[q.Booking] = ids
	}
	c.rec.few("rent", 100, "cloud  %s %d of %s in %s, standby %t: %v", q.Booking, q.HowMany, q.Build, q.Hall, q.Standby, ids)
	c.rec.with(func() { c.rec.asked = append(c.rec.asked, time.Now()) })
	reply(w, 200, map[string]any{"hosts": ids})
}

// start rents a machine; the caller holds the lock.
func (c *cloud) start(b build, hall string, standby bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	m := &machine{id: fmt.Sprintf("i-%06d", len(c.machines)+1), build: b.Name, hall: hall, standby: standby, address: l.Addr().String(), rented: time.Now(), stop: make(chan struct{}), listener: l}
	c.machines = append(c.machines, m)
	boot := c.bootS(len(c.machines), b)
	if boot < 0 {
		l.Close()
		return m.id
	}
	m.up = m.rented.Add(time.Duration(boot * float64(time.Second)))
	m.worker = newWorker(c, m, b)
	go m.worker.run(time.Until(m.up))
	return m.id
}

// end ends a machine with everything on it; the caller holds the lock.
func (c *cloud) end(m *machine, why string) {
	if !m.gone.IsZero() {
		return
	}
	m.gone = time.Now()
	close(m.stop)
	m.listener.Close()
	c.rec.few("gone", 100, "cloud  %s is gone: %s", m.id, why)
	if m.worker != nil {
		m.worker.kill("its machine is gone")
	}
}

func (c *cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Hosts []string `json:"hosts"`
	}
	if readInto(r, &q) != nil || len(q.Hosts) > 100 {
		reply(w, 400, errorBody{"malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if slices.Contains(q.Hosts, m.id) {
			c.end(m, "returned")
		}
	}
	reply(w, 200, map[string]any{})
}

// list describes the machines as they were listLag ago.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	after, most := r.URL.Query().Get("after"), 500
	if n, err := strconv.Atoi(r.URL.Query().Get("most")); err == nil && n < most {
		most = n
	}
	type row struct {
		ID      string  `json:"id"`
		Address string  `json:"address"`
		Build   string  `json:"build"`
		Hall    string  `json:"hall"`
		Standby bool    `json:"standby"`
		Status  string  `json:"status"`
		AgeS    float64 `json:"age_s"`
	}
	rows := []row{}
	at := time.Now().Add(-listLag)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.id <= after || m.rented.After(at) || !m.gone.IsZero() && m.gone.Before(at) {
			continue
		}
		status := "booting"
		if !m.up.IsZero() && m.up.Before(at) {
			status = "running"
		}
		rows = append(rows, row{m.id, m.address, m.build, m.hall, m.standby, status, at.Sub(m.rented).Seconds()})
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.ID, b.ID) })
	more := len(rows) > most
	if more {
		rows = rows[:most]
	}
	reply(w, 200, map[string]any{"hosts": rows, "has_next": more})
}

// take takes machines back without notice.
func (c *cloud) take(chosen func(*machine) bool) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.gone.IsZero() && chosen(m) {
			c.end(m, "taken back without notice")
			n++
		}
	}
	return n
}
