package rig3

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row of the platform's store, or the record of its deletion.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type storeKey struct{ table, part, key string }

// Limits of PROTOCOL.md and of a small site file.
const (
	pageRows   = 500
	pageBytes  = 1_000_000
	txEntries  = 100
	txBytes    = 1_000_000
	rowBytes   = 65536
	historyFor = 20 * time.Second
	storeDelay = 4 * time.Millisecond
)

// store stands in for the platform's store: linearizable, with transactions in one part, pages
// of 500 rows, and a feed. It may refuse, delay or lose calls by hook.
type store struct {
	mu      sync.Mutex
	rows    map[storeKey]storeRow
	feed    []storeRow
	at      []time.Time // of the entries of feed
	dropped int64       // changes up to this version are forgotten
	ver     int64
	began   time.Time
	changed chan struct{}
	// hook is called before a call is executed; it may wait. It returns false if the connection
	// is to be cut without an execution.
	hook func(r *http.Request, body []byte) bool
	// afterWrite is called once a transaction is applied. It returns false if the answer is lost.
	afterWrite func(r *http.Request, body []byte) bool
}

func newStore() *store {
	return &store{rows: make(map[storeKey]storeRow), began: time.Now(), changed: make(chan struct{})}
}

// put writes a row as operators and executors do; nil deletes it.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(storeRow{Table: table, Key: key, Value: value, Ver: s.ver, Deleted: value == nil})
	s.wake()
}

func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[storeKey{table, part, key}].Value
}

func (s *store) apply(r storeRow) {
	k := storeKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		if _, ok := s.rows[k]; !ok {
			return
		}
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	now := time.Now()
	s.feed, s.at = append(s.feed, r), append(s.at, now)
	for len(s.at) > 0 && now.Sub(s.at[0]) > historyFor {
		s.dropped = s.feed[0].Ver
		s.feed, s.at = s.feed[1:], s.at[1:]
	}
}

func (s *store) wake() { close(s.changed); s.changed = make(chan struct{}) }

type storeTx struct {
	Expect []storeRow `json:"expect"`
	Put    []storeRow `json:"put"`
	Delete []storeRow `json:"delete"`
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	s.mu.Lock()
	hook, after := s.hook, s.afterWrite
	s.mu.Unlock()
	if hook != nil && !hook(r, body) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeDelay)
	switch r.URL.Path {
	case "/api/rows-tx":
		var tx storeTx
		if json.Unmarshal(body, &tx) != nil || len(tx.Expect)+len(tx.Put)+len(tx.Delete) > txEntries || len(body) > txBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, out := s.commit(&tx)
		if after != nil && status == http.StatusOK && !after(r, body) {
			panic(http.ErrAbortHandler)
		}
		s.answer(w, status, out)
	case "/api/rows-get":
		s.serveGet(w, r)
	case "/api/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) commit(tx *storeTx) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := make(map[string]bool)
	for _, l := range [][]storeRow{tx.Expect, tx.Put, tx.Delete} {
		for _, x := range l {
			parts[x.Part] = true
			if x.Part == "" && (x.Table == "op" || x.Table == "servers") {
				return http.StatusForbidden, map[string]any{}
			}
		}
	}
	for _, p := range tx.Put {
		if len(p.Value) > rowBytes {
			return http.StatusBadRequest, map[string]any{}
		}
	}
	if len(parts) > 1 {
		return http.StatusBadRequest, map[string]any{}
	}
	current, failed := []storeRow{}, false
	for _, e := range tx.Expect {
		have := s.rows[storeKey{e.Table, e.Part, e.Key}]
		failed = failed || have.Ver != e.Ver
		if have.Ver != 0 {
			current = append(current, have)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"rows": current}
	}
	s.ver++
	for _, p := range tx.Put {
		p.Ver = s.ver
		s.apply(p)
	}
	for _, d := range tx.Delete {
		d.Ver, d.Deleted = s.ver, true
		s.apply(d)
	}
	s.wake()
	return http.StatusOK, map[string]any{"ver": s.ver}
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	if _, ok := body["ver"]; !ok {
		s.mu.Lock()
		body["ver"] = s.ver
		s.mu.Unlock()
	}
	body["now_ms"] = time.Since(s.began).Milliseconds()
	writeJSON(w, status, body)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	rows := []storeRow{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, v)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(rows) && n < pageRows && (n == 0 || size+len(rows[n].Value)*4/3 < pageBytes) {
		size += len(rows[n].Value) * 4 / 3
		n++
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:n], "has_more": n < len(rows), "ver": ver})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			s.answer(w, http.StatusGone, map[string]any{})
			return
		}
		rows := []storeRow{}
		for _, c := range s.feed {
			if c.Ver > after && c.Table == q.Get("table") {
				rows = append(rows, c)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		over := false
		if len(rows) == 0 {
			select {
			case <-changed:
				continue
			case <-deadline:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if len(rows) > 0 || over {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
	}
}
