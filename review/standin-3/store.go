package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{} // Closed at the next change.
	server   *http.Server
	watchAt  time.Time // When a watch was answered last.
}

// watchAnswered returns when the store last answered a watch.
func (sto *store) watchAnswered() time.Time {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.watchAt
}

// answerWatch answers a watch.
func (sto *store) answerWatch(rw http.ResponseWriter, events []item, atRev uint64) {
	sto.mu.Lock()
	sto.watchAt = time.Now()
	sto.mu.Unlock()
	answer(rw, map[string]any{"events": events, "at-rev": atRev})
}

func newStore(addr string) (*store, error) {
	sto := &store{items: make(map[string]item), revision: 400, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", sto.serveKey)
	mux.HandleFunc("GET /api/kv-range", sto.serveRange)
	mux.HandleFunc("GET /api/kv-watch", sto.serveWatch)
	lst, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	sto.server = &http.Server{Handler: mux}
	go func() { _ = sto.server.Serve(lst) }()
	return sto, nil
}

// put writes an item and returns its revision; a nil value deletes the key.
func (sto *store) put(key string, value []byte) uint64 {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.revision++
	itm := item{Key: key, Value: value, Revision: sto.revision, Created: sto.revision, Deleted: value == nil}
	if known, found := sto.items[key]; found {
		itm.Created = known.Created
	}
	if itm.Deleted {
		delete(sto.items, key)
	} else {
		sto.items[key] = itm
	}
	sto.events = append(sto.events, itm)
	close(sto.changed)
	sto.changed = make(chan struct{})
	return sto.revision
}

func (sto *store) putJSON(key string, value any) uint64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return sto.put(key, raw)
}

func answer(rw http.ResponseWriter, body any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body)
}

func (sto *store) serveKey(rw http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	itm, found := sto.items[req.URL.Query().Get("key")]
	atRev := sto.revision
	sto.mu.Unlock()
	if !found {
		http.NotFound(rw, req)
		return
	}
	answer(rw, struct {
		item
		AtRev uint64 `json:"at-rev"`
	}{itm, atRev})
}

func (sto *store) serveRange(rw http.ResponseWriter, req *http.Request) {
	const page = 500
	query := req.URL.Query()
	sto.mu.Lock()
	items := []item{}
	for key, itm := range sto.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, itm)
		}
	}
	atRev := sto.revision
	sto.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > page
	answer(rw, map[string]any{"items": items[:min(len(items), page)], "has-more": more, "at-rev": atRev})
}

func (sto *store) serveWatch(rw http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || waitErr != nil {
		http.Error(rw, "after or wait-ms is no number", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		sto.mu.Lock()
		events := []item{}
		for _, itm := range sto.events {
			if itm.Revision > after && strings.HasPrefix(itm.Key, query.Get("prefix")) {
				events = append(events, itm)
			}
		}
		atRev, changed := sto.revision, sto.changed
		sto.mu.Unlock()
		if len(events) > 0 {
			sto.answerWatch(rw, events, atRev)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			sto.answerWatch(rw, events, atRev)
			return
		case <-req.Context().Done():
			return
		}
	}
}
