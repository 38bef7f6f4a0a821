package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the pages and the settings file state them.
const (
	maxEntries  = 100
	maxRowBytes = 65536
	maxTxBytes  = 1 << 20
	pageRows    = 500
	answerTime  = 4 * time.Millisecond
	txTime      = 8 * time.Millisecond
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	began   time.Time
	parts   map[string]*sync.Mutex // a partition runs one transaction at a time
	tooBig  map[string]int         // transactions refused for their size, by the key of the largest row
	down    bool                   // all calls are answered with 503
	lost    float64                // share of the writes that get no answer, and are done 1 to 6 s later
	beats   map[string]time.Time   // by executor, when its entry was last written
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), began: time.Now(), parts: map[string]*sync.Mutex{}, tooBig: map[string]int{}, beats: map[string]time.Time{}}
}

// loseAnswers sets the share of writes that get no answer and are done later.
func (s *store) loseAnswers(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = share
}

// setDown makes the store unavailable, or available again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// report writes an executor's entry. It returns false if the store is unavailable.
func (s *store) report(id string, entry []byte) bool {
	if s.isDown() {
		return false
	}
	s.mu.Lock()
	s.beats[id] = time.Now()
	s.mu.Unlock()
	s.put("servers", id, entry)
	return true
}

// expire removes the entries of executors that have been silent for three reports, also while
// the store is down. It returns their ids.
func (s *store) expire() []string {
	s.mu.Lock()
	var gone []string
	for id, at := range s.beats {
		if time.Since(at) > 3*heartbeat {
			gone = append(gone, id)
			delete(s.beats, id)
		}
	}
	s.mu.Unlock()
	for _, id := range gone {
		s.put("servers", id, nil)
	}
	return gone
}

// put writes a row as the operator or an executor does. A nil value deletes it.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: value, Ver: s.version, Deleted: value == nil})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) apply(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

// get returns a row's value.
func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}

func (s *store) refusedForSize() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.tooBig {
		out[k] = v
	}
	return out
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/rows-tx":
		s.write(w, r)
	case "/api/rows-get":
		time.Sleep(answerTime)
		s.read(w, r)
	case "/api/rows-feed":
		time.Sleep(answerTime)
		s.feed(w, r)
	case "/api/rows-parts":
		s.listParts(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = float64(time.Since(s.began).Microseconds()) / 1000
	writeJSON(w, status, body)
}

type transaction struct {
	Expect []row `json:"expect"`
	Put    []row `json:"put"`
	Delete []row `json:"delete"`
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	part, all, size := "", slices.Concat(tx.Expect, tx.Put, tx.Delete), 0
	for i, e := range all {
		if i > 0 && e.Part != part {
			w.WriteHeader(http.StatusBadRequest) // Transactions over several parts aren't allowed here.
			return
		}
		part = e.Part
		size += len(e.Value)*4/3 + len(e.Key) + len(e.Table) + len(e.Part)
	}
	for _, p := range tx.Put {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(p.Value) > maxRowBytes {
			s.mu.Lock()
			s.tooBig[p.Table+"/"+p.Key+" of "+strconv.Itoa(len(p.Value)/1024)+" KiB"]++
			s.mu.Unlock()
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if len(all) > maxEntries || size > maxTxBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	turn := s.parts[part]
	if turn == nil {
		turn = &sync.Mutex{}
		s.parts[part] = turn
	}
	s.mu.Unlock()
	s.mu.Lock()
	lost := rand.Float64() < s.lost
	s.mu.Unlock()
	if lost {
		time.AfterFunc(time.Second+rand.N(5*time.Second), func() { _, _, _ = s.commit(&tx) })
		<-r.Context().Done() // The connection delivers nothing further.
		return
	}
	turn.Lock()
	time.Sleep(txTime)
	current, version, done := s.commit(&tx)
	turn.Unlock()
	if !done {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{"ver": version})
}

func (s *store) commit(tx *transaction) (current []row, version int64, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current = []row{}
	for _, e := range tx.Expect {
		have := s.rows[rowKey{e.Table, e.Part, e.Key}]
		conflict = conflict || have.Ver != e.Ver
		if have.Ver != 0 {
			current = append(current, have)
		}
	}
	if conflict {
		return current, 0, false
	}
	s.version++
	for _, p := range tx.Put {
		p.Ver = s.version
		s.apply(p)
	}
	for _, d := range tx.Delete {
		s.apply(row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, s.version, true
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	rows := []row{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, v)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(rows) && n < limit && size < maxTxBytes {
		size += len(rows[n].Value) * 4 / 3
		n++
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:n], "has_more": n < len(rows), "ver": version})
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	parts := []string{}
	for k := range s.rows {
		if k.table == q.Get("table") && k.part > q.Get("after") && !slices.Contains(parts, k.part) {
			parts = append(parts, k.part)
		}
	}
	s.mu.Unlock()
	slices.Sort(parts)
	s.answer(w, http.StatusOK, map[string]any{"parts": parts, "has_more": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		from, _ := slices.BinarySearchFunc(s.history, after+1, func(c row, v int64) int { return int(c.Ver - v) })
		for _, c := range s.history[from:] {
			if c.Table == q.Get("table") {
				rows = append(rows, c)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // The caller may have gone.
}
