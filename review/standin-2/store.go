package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	oldest   uint64 // Changes up to this revision are no longer in the history.
	muted    bool   // Watches hear nothing.
	changed  chan struct{}
	srv      *http.Server
}

func newStore(addr netip.AddrPort) (*store, error) {
	sto := &store{revision: 10, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", sto.serveKey)
	mux.HandleFunc("GET /api/kv-range", sto.serveRange)
	mux.HandleFunc("GET /api/kv-watch", sto.serveWatch)
	lst, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	sto.srv = &http.Server{Handler: mux}
	go func() { _ = sto.srv.Serve(lst) }()
	return sto, nil
}

// put writes an item, whose acknowledgement is the return of the call.
func (sto *store) put(key string, value any) {
	raw, isRaw := value.([]byte)
	if !isRaw {
		raw, _ = json.Marshal(value)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.revision++
	itm := item{Key: key, Value: base64.StdEncoding.EncodeToString(raw), Revision: sto.revision, Created: sto.items[key].Created}
	if itm.Created == 0 {
		itm.Created = sto.revision
	}
	sto.items[key] = itm
	sto.note(itm)
}

func (sto *store) remove(key string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if _, found := sto.items[key]; !found {
		return
	}
	sto.revision++
	delete(sto.items, key)
	sto.note(item{Key: key, Revision: sto.revision, Deleted: true})
}

func (sto *store) note(itm item) {
	sto.history = append(sto.history, itm)
	if !sto.muted {
		sto.wake()
	}
}

func (sto *store) wake() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// compact makes the store forget its history: watches hear nothing while change is
// called and for the rest of a second, then the history is dropped.
func (sto *store) compact(change func()) {
	sto.mu.Lock()
	sto.muted = true
	sto.mu.Unlock()
	change()
	time.Sleep(time.Second)
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.muted, sto.history, sto.oldest = false, nil, sto.revision
	sto.wake()
}

func reply(rw http.ResponseWriter, body any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body)
}

func (sto *store) serveKey(rw http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	itm, found := sto.items[req.URL.Query().Get("key")]
	if !found {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	reply(rw, map[string]any{"key": itm.Key, "value": itm.Value, "revision": itm.Revision, "created": itm.Created, "lease": 0, "at-rev": sto.revision})
}

func (sto *store) serveRange(rw http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	sto.mu.Lock()
	defer sto.mu.Unlock()
	all := []item{}
	for key, itm := range sto.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			all = append(all, itm)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	more := len(all) > 500
	reply(rw, map[string]any{"items": all[:min(len(all), 500)], "has-more": more, "at-rev": sto.revision})
}

func (sto *store) serveWatch(rw http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || err2 != nil || wait < 0 || wait > 30000 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		sto.mu.Lock()
		events := []item{}
		gone := !sto.muted && after < sto.oldest
		for _, itm := range sto.history {
			if !sto.muted && itm.Revision > after && strings.HasPrefix(itm.Key, query.Get("prefix")) {
				events = append(events, itm)
			}
		}
		revision, changed := sto.revision, sto.changed
		sto.mu.Unlock()
		if gone {
			rw.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(rw, map[string]any{"events": events, "at-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply(rw, map[string]any{"events": events, "at-rev": revision})
			return
		case <-req.Context().Done():
			return
		}
	}
}
