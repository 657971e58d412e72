package fake

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"caperlatch/internal/wire"
)

// StateService is a stand-in of the state service.
type StateService struct {
	// InspectTxn is shown each transaction's conditions and the keys that it changes, if set.
	InspectTxn func(conditions []wire.Compare, keys []string)

	mu       sync.Mutex
	revision uint64
	keys     map[string]wire.KeyValue
	log      []wire.Event
	holds    map[uint64]*hold
	nextHold uint64
	changed  chan struct{}
	down     bool
	limits   limits
	fate     func(Transaction) TxnFault // nil: all are carried out
}

type hold struct {
	life  time.Duration
	timer *time.Timer
}

// NewStateService makes an empty state service.
func NewStateService() *StateService {
	return &StateService{keys: map[string]wire.KeyValue{}, holds: map[uint64]*hold{}, changed: make(chan struct{})}
}

// Get reads a key.
func (s *StateService) Get(key string) (wire.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	return e, ok
}

// Entries lists the keys with a prefix, in any order.
func (s *StateService) Entries(prefix string) (entries []wire.KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.keys {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, e)
		}
	}
	return entries
}

// Put stores a value, whatever the limits are.
func (s *StateService) Put(key string, value wire.Raw) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.keys[key] = wire.KeyValue{Key: key, Value: value, ModRevision: s.revision}
	s.log = append(s.log, wire.Event{Put: key, Value: value, ModRevision: s.revision})
	s.wake()
}

// SetOutage begins or ends an outage: requests get 503, open watches wait, and
// afterwards every hold has its full time again.
func (s *StateService) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, h := range s.holds {
		if down {
			h.timer.Stop()
		} else {
			h.timer.Reset(h.life)
		}
	}
	s.wake()
}

// InOutage tells whether there is an outage.
func (s *StateService) InOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Close ends the holds' timers.
func (s *StateService) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holds {
		h.timer.Stop()
	}
}

// ServeHTTP implements http.Handler.
func (s *StateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	down, allowed := s.down, s.limits.take(s.limits.requests, 1)
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !allowed {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	path := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/store":
		s.list(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/watch":
		s.watch(w, r)
	case r.URL.Path == "/txn":
		s.txn(w, r, body)
	case path[0] == "holds":
		s.hold(w, r, path[1:], body)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func send(w http.ResponseWriter, code int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(code)
	w.Write(b)
}

func (s *StateService) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("starts"), r.URL.Query().Get("after")
	page := wire.KeyPage{Entries: []wire.KeyValue{}, Revision: s.revision}
	for key, e := range s.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Entries = append(page.Entries, e)
		}
	}
	slices.SortFunc(page.Entries, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	const most = 3 // small, so that every test goes through several pages
	if len(page.Entries) > most {
		page.Entries, page.HasMore = page.Entries[:most], true
	}
	send(w, http.StatusOK, page)
}

func (s *StateService) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		answer := wire.WatchResponse{Revision: s.revision, Events: []wire.Event{}}
		for _, e := range s.log {
			if e.ModRevision > after && strings.HasPrefix(e.Put+e.Delete, q.Get("starts")) {
				answer.Events = append(answer.Events, e)
			}
		}
		changed, down := s.changed, s.down
		s.mu.Unlock()
		if !down && (len(answer.Events) > 0 || wait == 0) {
			send(w, http.StatusOK, answer)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline.C:
			wait = 0
		case <-changed:
		}
	}
}

// transaction is the body of a request for one.
type transaction struct {
	If   []wire.Compare `json:"when"`
	Then []struct {
		Write  string   `json:"write"`
		Value  wire.Raw `json:"data"`
		Hold   uint64   `json:"permit"`
		Remove string   `json:"remove"`
	} `json:"then"`
}

// keys lists the keys that a transaction changes.
func (t *transaction) keys() (keys []string) {
	for _, op := range t.Then {
		keys = append(keys, op.Write+op.Remove)
	}
	return keys
}

// commit carries a transaction out if its conditions hold.
func (s *StateService) commit(w http.ResponseWriter, t *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var values []wire.Raw
	for _, op := range t.Then {
		if op.Remove == "" {
			values = append(values, op.Value)
		}
	}
	if code := s.limits.check(values, len(t.If), len(t.Then)); code != 0 {
		w.WriteHeader(code)
		return
	}
	for _, op := range t.Then {
		if op.Hold != 0 && s.holds[op.Hold] == nil {
			send(w, http.StatusBadRequest, wire.ErrorResponse{Error: "no such lease"})
			return
		}
	}
	var failed []string
	for _, c := range t.If {
		if s.keys[c.Key].ModRevision != c.ModRevision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		send(w, http.StatusConflict, wire.TxnResponse{Revision: s.revision, Failed: failed})
		return
	}
	s.revision++
	for _, op := range t.Then {
		if op.Remove != "" {
			s.remove(op.Remove)
			continue
		}
		s.keys[op.Write] = wire.KeyValue{Key: op.Write, Value: op.Value, ModRevision: s.revision, SessionID: op.Hold}
		s.log = append(s.log, wire.Event{Put: op.Write, Value: op.Value, ModRevision: s.revision})
	}
	s.wake()
	send(w, http.StatusOK, wire.TxnResponse{Revision: s.revision})
}

func (s *StateService) remove(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.log = append(s.log, wire.Event{Delete: key, ModRevision: s.revision})
	}
}

func (s *StateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *StateService) hold(w http.ResponseWriter, r *http.Request, path []string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(path) == 0 {
		var q wire.SessionRequest
		if wire.Unmarshal(body, &q) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.nextHold++
		id := s.nextHold
		life := time.Duration(q.TTLMS) * time.Millisecond
		s.holds[id] = &hold{life, time.AfterFunc(life, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.end(id)
		})}
		send(w, http.StatusOK, wire.SessionResponse{SessionID: id})
		return
	}
	id, _ := strconv.ParseUint(path[0], 10, 64)
	h := s.holds[id]
	switch {
	case h == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		h.timer.Stop()
		s.end(id)
	default:
		h.timer.Reset(h.life)
	}
}

// end removes a hold and its keys.
func (s *StateService) end(id uint64) {
	delete(s.holds, id)
	s.revision++
	for key, e := range s.keys {
		if e.SessionID == id {
			s.remove(key)
		}
	}
	s.wake()
}
