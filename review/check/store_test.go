package check

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, from the settings (row_bytes, tx_ms) and PROTOCOL.md.
const (
	rowBytes     = 65536
	txBytes      = 1 << 20
	txEntries    = 100
	txTime       = 8 * time.Millisecond
	readTime     = 4 * time.Millisecond
	historyKept  = 20 * time.Second
	entryExpires = 3 * heartbeat
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

type change struct {
	row
	at time.Time
}

// store is the platform's metadata store.
type store struct {
	rec   *record
	began time.Time

	mu        sync.Mutex
	rows      map[rowKey]row
	changes   []change
	compacted int64
	version   int64
	changed   chan struct{}
	parts     map[string]*sync.Mutex // one transaction of a part at a time
	refused   map[string]int         // refused transactions by reason
}

func newStore(rec *record) *store {
	return &store{rec: rec, began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, refused: map[string]int{}}
}

func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

// put writes a row as the operator and the executors do.
func (s *store) put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: value, Ver: s.version, Deleted: value == nil})
	s.notify()
	return s.version
}

func (s *store) get(table, part, key string) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table, part, key}]
	return r, ok
}

func (s *store) apply(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		r.Value = nil
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	now := time.Now()
	s.changes = append(s.changes, change{r, now})
	drop := 0
	for drop < len(s.changes) && now.Sub(s.changes[drop].at) > historyKept {
		s.compacted = s.changes[drop].Ver
		drop++
	}
	s.changes = s.changes[drop:]
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) respond(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.began).Milliseconds()
	respond(w, status, body)
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/rows-tx":
		s.serveTx(w, r)
	case "/api/rows-get":
		s.serveGet(w, r)
	case "/api/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type transaction struct {
	Expect []row `json:"expect"`
	Put    []row `json:"put"`
	Delete []row `json:"delete"`
}

// check returns why a transaction isn't allowed, with the status of the refusal.
func (tx *transaction) check(size int64) (int, string) {
	all := slices.Concat(tx.Expect, tx.Put, tx.Delete)
	switch {
	case len(all) == 0 || len(all) > txEntries:
		return http.StatusBadRequest, "entries"
	case size > txBytes:
		return http.StatusRequestEntityTooLarge, "more than 1 MB"
	}
	for _, e := range all {
		if e.Part != all[0].Part {
			return http.StatusBadRequest, "several parts"
		}
	}
	for _, e := range slices.Concat(tx.Put, tx.Delete) {
		if e.Table == "op" || e.Table == "servers" {
			return http.StatusForbidden, "reserved table"
		}
		if len(e.Value) > rowBytes {
			return http.StatusRequestEntityTooLarge, "a row of " + e.Table + " above row_bytes"
		}
	}
	return 0, ""
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status, why := tx.check(r.ContentLength); status != 0 {
		s.mu.Lock()
		s.refused[why]++
		n := s.refused[why]
		s.mu.Unlock()
		if n <= 3 || n%50 == 0 {
			s.rec.add("store refuses a transaction: %s (no. %d)", why, n)
		}
		w.WriteHeader(status)
		return
	}
	part := s.part(slices.Concat(tx.Expect, tx.Put, tx.Delete)[0].Part)
	part.Lock()
	time.Sleep(txTime)
	current, version, ok := s.commit(&tx)
	part.Unlock()
	if !ok {
		s.respond(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": version})
		return
	}
	s.respond(w, http.StatusOK, map[string]any{"ver": version})
}

func (s *store) commit(tx *transaction) (current []row, version int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok = []row{}, true
	for _, e := range tx.Expect {
		have := s.rows[rowKey{e.Table, e.Part, e.Key}]
		ok = ok && have.Ver == e.Ver
		if have.Ver != 0 {
			current = append(current, have)
		}
	}
	if !ok {
		return current, s.version, false
	}
	s.version++
	for _, p := range tx.Put {
		p.Ver = s.version
		s.apply(p)
	}
	for _, d := range tx.Delete {
		d.Ver, d.Deleted = s.version, true
		s.apply(d)
	}
	s.notify()
	return nil, s.version, true
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
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
	n, size := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value)*4/3 < txBytes) {
		size += len(rows[n].Value) * 4 / 3
		n++
	}
	s.respond(w, http.StatusOK, map[string]any{"rows": rows[:n], "has_more": n < len(rows), "ver": version})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		lost := after < s.compacted
		rows := []row{}
		for _, c := range s.changes {
			if c.Ver > after && c.Table == q.Get("table") {
				rows = append(rows, c.row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || wait == 0 {
			s.respond(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}
