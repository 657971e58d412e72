package main

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the state service, those of the first site of BRIEF-caperlatch.md.
const (
	stateRPS      = 60
	stateWriteRPS = 15
	valueKB       = 8
	txnOps        = 12
	keptChanges   = 10000

	// Of state.next, in the random plays with NEXT=1.
	nextWriteRPS = 10
	nextValueKB  = 4
	nextTxnOps   = 6
)

type entry struct {
	Key    string          `json:"key"`
	Data   cbor.RawMessage `json:"data"`
	Stamp  uint64          `json:"stamp"`
	Permit uint64          `json:"permit,omitempty"`
}

type event struct {
	Write  string          `json:"write,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Data   cbor.RawMessage `json:"data,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type hold struct {
	life time.Duration
	ends time.Time
}

// bucket is a rate limit that allows bursts of one second's worth, or of burst.
type bucket struct {
	rate, burst, level float64
	at                 time.Time
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst, at: time.Now()}
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.level = min(b.burst, b.level+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// stateService is a stand-in of the state service.
type stateService struct {
	rec *recorder

	mu       sync.Mutex
	ledger   uint64
	keys     map[string]entry
	events   []event
	holds    map[uint64]*hold
	lastHold uint64
	changed  chan struct{}
	outage   bool
	refused  map[int]time.Time // nodes that get 503 until then
	requests *bucket
	writes   *bucket
	lowered  bool // the limits of state.next apply
	// txnFault decides what happens to a transaction of a node.
	txnFault func(node int, keys []string) txnFault
}

type txnFault struct {
	delay  time.Duration // the transaction is carried out this much later
	silent bool          // the node gets no answer
}

func newStateService(rec *recorder) *stateService {
	s := &stateService{rec: rec, keys: map[string]entry{}, holds: map[uint64]*hold{}, refused: map[int]time.Time{}, changed: make(chan struct{}), requests: newBucket(stateRPS, stateRPS), writes: newBucket(stateWriteRPS, stateWriteRPS)}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

func (s *stateService) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return
	}
	for id, h := range s.holds {
		if time.Now().After(h.ends) {
			s.end(id)
		}
	}
}

func (s *stateService) end(id uint64) {
	delete(s.holds, id)
	any := false
	for key, e := range s.keys {
		if e.Permit == id {
			if !any {
				s.ledger++
				any = true
			}
			delete(s.keys, key)
			s.events = append(s.events, event{Remove: key, Stamp: s.ledger})
			s.rec.few("state-end", 200, "state  hold %d ended, %s removed", id, key)
		}
	}
	if any {
		s.notify()
	}
}

// setOutage begins or ends an outage. Afterwards every lease has its full time again.
func (s *stateService) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for _, h := range s.holds {
		h.ends = time.Now().Add(h.life)
	}
	s.notify()
}

// front serves the requests of one node.
func (s *stateService) front(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) })
}

func (s *stateService) serve(node int, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	outage, allowed := s.outage || time.Now().Before(s.refused[node]), s.requests.take(1)
	s.mu.Unlock()
	switch {
	case outage:
		reply(w, 503, errorBody{"outage"})
	case !allowed:
		reply(w, 429, errorBody{"too many requests"})
	case r.Method == "GET" && r.URL.Path == "/store":
		s.list(w, r)
	case r.Method == "GET" && strings.HasPrefix(r.URL.Path, "/store/"):
		s.get(w, strings.TrimPrefix(r.URL.Path, "/store/"))
	case r.Method == "GET" && r.URL.Path == "/watch":
		s.watch(node, w, r)
	case r.Method == "POST" && r.URL.Path == "/txn":
		s.txn(node, w, r)
	case strings.HasPrefix(r.URL.Path, "/holds"):
		s.hold(node, w, r)
	default:
		reply(w, 400, errorBody{"malformed"})
	}
}

func (s *stateService) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.keys[key]; ok {
		reply(w, 200, e)
		return
	}
	reply(w, 404, map[string]uint64{"ledger": s.ledger})
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts, after := r.URL.Query().Get("starts"), r.URL.Query().Get("after")
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most > 1000 || most < 1 {
		most = 1000
	}
	entries := []entry{}
	for key, e := range s.keys {
		if strings.HasPrefix(key, starts) && key > after {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(entries) && n < most && (n == 0 || size+len(entries[n].Data) < 400<<10) {
		size += len(entries[n].Data)
		n++
	}
	reply(w, 200, map[string]any{"entries": entries[:n], "has_next": n < len(entries), "ledger": s.ledger})
}

func (s *stateService) watch(node int, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.NewTimer(time.Duration(min(wait, 60000)) * time.Millisecond)
	defer until.Stop()
	for expired := wait == 0; ; {
		s.mu.Lock()
		if len(s.events) > keptChanges && after < s.events[len(s.events)-keptChanges].Stamp-1 {
			s.mu.Unlock()
			reply(w, 410, errorBody{"too old"})
			return
		}
		events := []event{}
		from, _ := slices.BinarySearchFunc(s.events, after+1, func(e event, stamp uint64) int { return int(int64(e.Stamp) - int64(stamp)) })
		for _, e := range s.events[from:] {
			if strings.HasPrefix(e.Write+e.Remove, q.Get("starts")) {
				events = append(events, e)
			}
		}
		ledger, changed, outage := s.ledger, s.changed, s.outage || time.Now().Before(s.refused[node])
		s.mu.Unlock()
		if !outage && (len(events) > 0 || expired) {
			reply(w, 200, map[string]any{"ledger": ledger, "events": events})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-until.C:
			expired = true
		case <-changed:
		}
	}
}

type transaction struct {
	When []struct {
		Key   string `json:"key"`
		Stamp uint64 `json:"stamp"`
	} `json:"when"`
	Then []struct {
		Write  string          `json:"write"`
		Data   cbor.RawMessage `json:"data"`
		Permit uint64          `json:"permit"`
		Remove string          `json:"remove"`
	} `json:"then"`
}

func (s *stateService) txn(node int, w http.ResponseWriter, r *http.Request) {
	var t transaction
	if readInto(r, &t) != nil {
		reply(w, 400, errorBody{"malformed"})
		return
	}
	var keys []string
	for _, op := range t.Then {
		keys = append(keys, op.Write+op.Remove)
	}
	var fault txnFault
	s.mu.Lock()
	decide := s.txnFault
	s.mu.Unlock()
	if decide != nil {
		fault = decide(node, keys)
	}
	if fault.delay > 0 {
		s.rec.logf("state  transaction of host-%d on %v is carried out %.1f s late", node, keys, fault.delay.Seconds())
		time.AfterFunc(fault.delay, func() { s.commit(node, &t) })
		<-r.Context().Done()
		return
	}
	status, body := s.commit(node, &t)
	if fault.silent {
		s.rec.logf("state  the answer to the transaction of host-%d on %v is lost", node, keys)
		<-r.Context().Done()
		return
	}
	reply(w, status, body)
}

func (s *stateService) commit(node int, t *transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	txnOps, valueKB := txnOps, valueKB
	if s.lowered {
		txnOps, valueKB = nextTxnOps, nextValueKB
	}
	if len(t.Then) > txnOps || len(t.When) > 4*txnOps {
		return 400, errorBody{"too many changes"}
	}
	total := 0
	for _, op := range t.Then {
		if len(op.Write) > 200 || op.Write+op.Remove == "" {
			return 400, errorBody{"malformed"}
		}
		if op.Remove == "" {
			size := jsonSize(op.Data)
			total += size + len(op.Write)
			if size > valueKB<<10 {
				return 400, errorBody{"value too large"}
			}
		}
	}
	if total > maxBody {
		return 400, errorBody{"transaction too large"}
	}
	if !s.writes.take(float64(len(t.Then))) {
		return 429, errorBody{"too many changes a second"}
	}
	for _, op := range t.Then {
		if op.Permit != 0 && s.holds[op.Permit] == nil {
			return 400, errorBody{"no such lease"}
		}
	}
	failed := []string{}
	for _, c := range t.When {
		if s.keys[c.Key].Stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "ledger": s.ledger}
	}
	if len(t.Then) > 0 {
		s.ledger++
	}
	for _, op := range t.Then {
		if op.Remove != "" {
			if _, ok := s.keys[op.Remove]; ok {
				delete(s.keys, op.Remove)
				s.events = append(s.events, event{Remove: op.Remove, Stamp: s.ledger})
			}
			continue
		}
		s.keys[op.Write] = entry{op.Write, op.Data, s.ledger, op.Permit}
		s.events = append(s.events, event{Write: op.Write, Data: op.Data, Stamp: s.ledger})
		if op.Write == "c/leader" {
			s.rec.logf("state  host-%d wrote %s", node, op.Write)
		}
	}
	s.notify()
	return 200, map[string]uint64{"ledger": s.ledger}
}

func (s *stateService) hold(node int, w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(parts) == 1 && r.Method == "POST" {
		var q struct {
			LifeMS int `json:"life_ms"`
		}
		if readInto(r, &q) != nil || q.LifeMS < 100 || q.LifeMS > 600000 {
			reply(w, 400, errorBody{"malformed"})
			return
		}
		s.lastHold++
		life := time.Duration(q.LifeMS) * time.Millisecond
		s.holds[s.lastHold] = &hold{life, time.Now().Add(life)}
		reply(w, 200, map[string]uint64{"permit": s.lastHold})
		return
	}
	if len(parts) < 2 {
		reply(w, 400, errorBody{"malformed"})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	h := s.holds[id]
	switch {
	case h == nil:
		reply(w, 404, errorBody{"no such lease"})
	case r.Method == "DELETE":
		s.end(id)
		reply(w, 200, map[string]any{})
	default:
		h.ends = time.Now().Add(h.life)
		reply(w, 200, map[string]any{})
	}
}

// leader returns the member in the leader's key, for the choice of the process to disturb.
func (s *stateService) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var v struct {
		Member string `json:"member"`
	}
	if e, ok := s.keys["c/leader"]; ok {
		decoder.Unmarshal(e.Data, &v)
	}
	return v.Member
}

// refuse makes the service answer one node with 503 for a while.
func (s *stateService) refuse(node int, d time.Duration) {
	s.mu.Lock()
	s.refused[node] = time.Now().Add(d)
	s.mu.Unlock()
	time.AfterFunc(d+10*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notify()
	})
}

// lower brings the limits of state.next into force.
func (s *stateService) lower() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lowered, s.writes = true, newBucket(nextWriteRPS, nextWriteRPS)
	s.rec.logf("trouble the state service lowers its limits")
}
