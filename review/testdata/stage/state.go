package main

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"caperlatch/internal/wire"
)

// Limits of the state service, as the protocol states them.
const (
	maxPageEntries = 1000
	maxPageBytes   = 512 << 10
	keptChanges    = 10000
)

// stateLimits are the limits of a state service that the settings name.
type stateLimits struct {
	rps, writeRPS float64
	txnOps        int
	valueKB       float64
}

// stateService is a stand-in of the state service. All nodes share one; each has an address of its own, so that it can
// be refused alone.
type stateService struct {
	limits stateLimits

	mu       sync.Mutex // guards the fields below
	requests bucket
	writes   bucket
	revision uint64
	entries  map[string]wire.KeyValue
	keys     []string // sorted
	changes  []wire.Event
	dropped  uint64 // the revision up to which changes are no longer kept
	leases   map[uint64]*lease
	lastID   uint64
	changed  chan struct{} // closed and replaced after each change
	refused  map[string]bool
	counts   map[string]int // answers by node and status
}

// lease is a lease with the time at which it ends.
type lease struct {
	life  time.Duration
	timer *time.Timer
}

// bucket admits a rate of events, and bursts of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

// take reports whether n more events are within the rate, and counts them if so.
func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStateService(l stateLimits) *stateService {
	now := time.Now()
	return &stateService{
		limits:   l,
		requests: bucket{l.rps, l.rps, now},
		writes:   bucket{l.writeRPS, l.writeRPS, now},
		entries:  map[string]wire.KeyValue{},
		leases:   map[uint64]*lease{},
		changed:  make(chan struct{}),
		refused:  map[string]bool{},
		counts:   map[string]int{},
	}
}

// preload stores entries that were written long ago. It is called before the first request.
func (s *stateService) preload(keys []string, value func(i int) []byte) {
	for i, key := range keys {
		s.revision++
		s.entries[key] = wire.KeyValue{Key: key, Value: value(i), ModRevision: s.revision}
	}
	s.keys = slices.Sorted(slices.Values(keys))
	s.dropped = s.revision
}

// handler returns the handler of the address that a node uses.
func (s *stateService) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, body := s.serve(node, r)
		if status == 0 {
			return // the client has gone
		}
		s.mu.Lock()
		s.counts[node+" "+strconv.Itoa(status)]++
		s.mu.Unlock()
		respond(w, status, body)
	})
}

// takeCounts returns and resets the numbers of answers by node and status.
func (s *stateService) takeCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	s.counts = map[string]int{}
	return counts
}

func (s *stateService) serve(node string, r *http.Request) (status int, body any) {
	content, err := wire.ReadBody(r.Body)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	refused, admitted := s.refused[node], s.requests.take(1)
	s.mu.Unlock()
	if refused {
		return http.StatusServiceUnavailable, nil
	}
	if !admitted {
		return http.StatusTooManyRequests, nil
	}
	switch path := r.URL.Path; {
	case r.Method == http.MethodGet && path == "/store":
		return s.list(r)
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/store/"):
		return s.get(strings.TrimPrefix(path, "/store/"))
	case r.Method == http.MethodGet && path == "/watch":
		return s.watch(r, node)
	case r.Method == http.MethodPost && path == "/txn":
		return s.commit(content)
	case r.Method == http.MethodPost && path == "/holds":
		return s.newLease(content)
	case strings.HasPrefix(path, "/holds/"):
		return s.useLease(r)
	}
	return http.StatusBadRequest, nil
}

func (s *stateService) get(key string) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[key]; ok {
		return http.StatusOK, e
	}
	return http.StatusNotFound, wire.KeyPage{Revision: s.revision}
}

func (s *stateService) list(r *http.Request) (status int, body any) {
	q := r.URL.Query()
	most, err := strconv.Atoi(q.Get("most"))
	if err != nil || most <= 0 || most > maxPageEntries {
		most = maxPageEntries
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := wire.KeyPage{Entries: []wire.KeyValue{}, Revision: s.revision}
	first := max(q.Get("starts"), q.Get("after"))
	i, found := slices.BinarySearch(s.keys, first)
	if found && first == q.Get("after") {
		i++
	}
	size := 0
	for ; i < len(s.keys) && strings.HasPrefix(s.keys[i], q.Get("starts")); i++ {
		e := s.entries[s.keys[i]]
		// A value is longer as JSON than as CBOR, by less than a half here.
		size += len(e.Key) + len(e.Value)*3/2 + 64
		if len(page.Entries) == most || size > maxPageBytes {
			page.HasMore = true
			break
		}
		page.Entries = append(page.Entries, e)
	}
	return http.StatusOK, page
}

func (s *stateService) watch(r *http.Request, node string) (status int, body any) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	for expired := waitMS == 0; ; {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		response := wire.WatchResponse{Revision: s.revision, Events: []wire.Event{}}
		for i := len(s.changes) - 1; i >= 0 && s.changes[i].ModRevision > after; i-- {
			if strings.HasPrefix(s.changes[i].Put+s.changes[i].Delete, q.Get("starts")) {
				response.Events = append(response.Events, s.changes[i])
			}
		}
		changed, refused := s.changed, s.refused[node]
		s.mu.Unlock()
		slices.Reverse(response.Events)
		if !refused && (expired || len(response.Events) > 0) {
			return http.StatusOK, response
		}
		select {
		case <-r.Context().Done():
			return 0, nil
		case <-deadline.C:
			expired = true
		case <-changed:
		}
	}
}

// transaction is the body of a transaction.
type transaction struct {
	When []wire.Compare `json:"when"`
	Then []struct {
		Write  string          `json:"write"`
		Data   wire.RawMessage `json:"data"`
		Permit uint64          `json:"permit"`
		Remove string          `json:"remove"`
	} `json:"then"`
}

func (s *stateService) commit(content []byte) (status int, body any) {
	var t transaction
	if wire.Unmarshal(content, &t) != nil || len(t.Then) > s.limits.txnOps || len(t.When) > 4*s.limits.txnOps {
		return http.StatusBadRequest, nil
	}
	for _, op := range t.Then {
		var v any
		if op.Write != "" && (wire.Unmarshal(op.Data, &v) != nil || float64(wire.JSONSize(v)) > s.limits.valueKB*1024) {
			return http.StatusBadRequest, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writes.take(float64(len(t.Then))) {
		return http.StatusTooManyRequests, nil
	}
	for _, op := range t.Then {
		if op.Permit != 0 && s.leases[op.Permit] == nil {
			return http.StatusBadRequest, wire.ErrorResponse{Message: "no such lease"}
		}
	}
	var failed []string
	for _, c := range t.When {
		if s.entries[c.Key].ModRevision != c.ModRevision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return http.StatusConflict, wire.TxnResponse{Revision: s.revision, FailedKeys: failed}
	}
	if len(t.Then) > 0 {
		s.revision++
	}
	for _, op := range t.Then {
		if op.Write != "" {
			s.put(op.Write, op.Data, op.Permit)
		} else {
			s.remove(op.Remove)
		}
	}
	s.notify()
	return http.StatusOK, wire.TxnResponse{Revision: s.revision}
}

// put writes a key at the current revision; mu must be held.
func (s *stateService) put(key string, value wire.RawMessage, permit uint64) {
	if _, ok := s.entries[key]; !ok {
		i, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, i, key)
	}
	s.entries[key] = wire.KeyValue{Key: key, Value: value, ModRevision: s.revision, SessionID: permit}
	s.record(wire.Event{Put: key, Value: value, ModRevision: s.revision})
}

// remove deletes a key at the current revision; mu must be held.
func (s *stateService) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	if i, found := slices.BinarySearch(s.keys, key); found {
		s.keys = slices.Delete(s.keys, i, i+1)
	}
	s.record(wire.Event{Delete: key, ModRevision: s.revision})
}

// record keeps a change, and drops the oldest one beyond keptChanges; mu must be held.
func (s *stateService) record(e wire.Event) {
	s.changes = append(s.changes, e)
	if len(s.changes) > keptChanges {
		s.dropped = s.changes[0].ModRevision
		s.changes = s.changes[1:]
	}
}

// notify wakes the open watches; mu must be held.
func (s *stateService) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) newLease(content []byte) (status int, body any) {
	var q wire.SessionRequest
	if wire.Unmarshal(content, &q) != nil || q.TTLMS < 100 || q.TTLMS > 600000 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	id, life := s.lastID, time.Duration(q.TTLMS)*time.Millisecond
	s.leases[id] = &lease{life, time.AfterFunc(life, func() { s.endLease(id) })}
	return http.StatusOK, wire.SessionResponse{SessionID: id}
}

func (s *stateService) useLease(r *http.Request) (status int, body any) {
	text, extend := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/holds/"), "/extend")
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	l := s.leases[id]
	if l == nil {
		s.mu.Unlock()
		return http.StatusNotFound, nil
	}
	if extend {
		l.timer.Reset(l.life)
		s.mu.Unlock()
		return http.StatusOK, struct{}{}
	}
	l.timer.Stop()
	s.mu.Unlock()
	s.endLease(id)
	return http.StatusOK, struct{}{}
}

// endLease ends a lease and deletes the keys that are attached to it.
func (s *stateService) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	s.revision++
	for _, e := range s.entries {
		if e.SessionID == id {
			s.remove(e.Key)
		}
	}
	s.notify()
}

// respond sends a response with an encoded body.
func respond(w http.ResponseWriter, status int, body any) {
	content := []byte{}
	if body != nil {
		var err error
		if content, err = wire.Marshal(body); err != nil {
			status = http.StatusInternalServerError
		}
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(content) // a client that has gone needs no response
}
