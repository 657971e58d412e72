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

// maxPageKeys is the maximum number of keys on a page of a list. It is low so that every test reads several pages.
const maxPageKeys = 3

// StateService is a fake of the state service.
type StateService struct {
	// InspectTxn, unless it is nil, is called with the compares of each transaction and the keys that the transaction
	// changes. No lock is held during the call. The field must be set before the first request.
	InspectTxn func(compares []wire.Compare, keys []string)

	mu          sync.Mutex // guards the fields below
	revision    uint64
	keys        map[string]wire.KeyValue
	events      []wire.Event // all changes since the service was created
	sessions    map[uint64]*session
	lastSession uint64
	changed     chan struct{} // closed and replaced after each change
	outage      bool
	limits      limits
	txnFault    func(Transaction) TxnFault // nil: no faults
}

// session is a session. Keys attached to it are removed when it ends.
type session struct {
	ttl   time.Duration
	timer *time.Timer // ends the session
}

// NewStateService returns an empty state service.
func NewStateService() *StateService {
	return &StateService{keys: map[string]wire.KeyValue{}, sessions: map[uint64]*session{}, changed: make(chan struct{})}
}

// Get returns the entry of a key, and whether it exists.
func (s *StateService) Get(key string) (wire.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	return e, ok
}

// Entries returns the entries whose keys have a prefix, in no particular order.
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

// Put stores a value; the limits do not apply.
func (s *StateService) Put(key string, value wire.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.notify()
}

// put stores a value at the current revision. The caller holds the lock.
func (s *StateService) put(key string, value wire.RawMessage, sessionID uint64) {
	s.keys[key] = wire.KeyValue{Key: key, Value: value, ModRevision: s.revision, SessionID: sessionID}
	s.events = append(s.events, wire.Event{Put: key, Value: value, ModRevision: s.revision})
}

// delete removes a key, if it exists, at the current revision. The caller holds the lock.
func (s *StateService) delete(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.events = append(s.events, wire.Event{Delete: key, ModRevision: s.revision})
	}
}

// notify wakes the open watches. The caller holds the lock.
func (s *StateService) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetOutage begins or ends an outage. During an outage, the service answers requests with 503, and open watches get no
// response. When the outage ends, each session starts its full TTL again.
func (s *StateService) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	for _, session := range s.sessions {
		if outage {
			session.timer.Stop()
		} else {
			session.timer.Reset(session.ttl)
		}
	}
	s.notify()
}

// InOutage reports whether an outage is in progress.
func (s *StateService) InOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

// Close stops the timers of the sessions.
func (s *StateService) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, session := range s.sessions {
		session.timer.Stop()
	}
}

// ServeHTTP serves the API of the state service.
func (s *StateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	outage, allowed := s.outage, allowN(s.limits.requests, 1)
	s.mu.Unlock()
	if outage {
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
		s.serveList(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/txn":
		s.serveTxn(w, r, body)
	case path[0] == "holds" && len(path) == 1:
		s.serveNewSession(w, body)
	case path[0] == "holds":
		s.serveSession(w, r, path[1])
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// serveList responds with a page of the entries whose keys have a prefix.
func (s *StateService) serveList(w http.ResponseWriter, r *http.Request) {
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
	if len(page.Entries) > maxPageKeys {
		page.Entries, page.HasMore = page.Entries[:maxPageKeys], true
	}
	respond(w, http.StatusOK, page)
}

// serveWatch responds with the changes, after a given revision, to keys with a prefix. If there are none, it waits for
// the first change until the timeout of the request.
func (s *StateService) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	for expired := waitMS == 0; ; {
		s.mu.Lock()
		response := wire.WatchResponse{Revision: s.revision, Events: s.eventsAfter(after, q.Get("starts"))}
		changed, outage := s.changed, s.outage
		s.mu.Unlock()
		if !outage && (len(response.Events) > 0 || expired) {
			respond(w, http.StatusOK, response)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline.C:
			expired = true
		case <-changed:
		}
	}
}

// eventsAfter returns the changes, after a given revision, to keys with a prefix. The caller holds the lock.
func (s *StateService) eventsAfter(revision uint64, prefix string) []wire.Event {
	events := []wire.Event{}
	for _, e := range s.events {
		if e.ModRevision > revision && strings.HasPrefix(e.Put+e.Delete, prefix) {
			events = append(events, e)
		}
	}
	return events
}

// serveNewSession creates a session.
func (s *StateService) serveNewSession(w http.ResponseWriter, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var q wire.SessionRequest
	if wire.Unmarshal(body, &q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lastSession++
	id := s.lastSession
	ttl := time.Duration(q.TTLMS) * time.Millisecond
	s.sessions[id] = &session{ttl, time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endSession(id)
	})}
	respond(w, http.StatusOK, wire.SessionResponse{SessionID: id})
}

// serveSession renews or ends a session.
func (s *StateService) serveSession(w http.ResponseWriter, r *http.Request, idText string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(idText, 10, 64)
	session := s.sessions[id]
	switch {
	case session == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		session.timer.Stop()
		s.endSession(id)
	default:
		session.timer.Reset(session.ttl)
	}
}

// endSession removes a session and the keys attached to it. The caller holds the lock.
func (s *StateService) endSession(id uint64) {
	delete(s.sessions, id)
	s.revision++
	for key, e := range s.keys {
		if e.SessionID == id {
			s.delete(key)
		}
	}
	s.notify()
}
