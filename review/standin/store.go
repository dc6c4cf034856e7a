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

// store stands in for the platform's store. Every machine reaches it at an address of
// its own, so that single machines can be partitioned from it.
type store struct {
	mu       sync.Mutex
	rev      uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
	cut      map[string]chan struct{} // Machines that are partitioned; closed when the cut heals.
	lastRead string
	lastAt   map[string]time.Time // Start of the last call that was answered.
}

func newStore() *store {
	return &store{rev: 100, items: map[string]item{}, changed: make(chan struct{}), cut: map[string]chan struct{}{}, lastAt: map[string]time.Time{}}
}

// put writes an item and returns its revision.
func (sto *store) put(key string, value []byte) uint64 {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.rev++
	created := sto.rev
	if old, found := sto.items[key]; found {
		created = old.Created
	}
	itm := item{Key: key, Value: value, Revision: sto.rev, Created: created}
	sto.items[key] = itm
	sto.note(itm)
	return sto.rev
}

func (sto *store) remove(key string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.rev++
	delete(sto.items, key)
	sto.note(item{Key: key, Revision: sto.rev, Deleted: true})
}

func (sto *store) note(itm item) {
	sto.events = append(sto.events, itm)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// partition cuts a machine off silently, and heal ends that.
func (sto *store) partition(machine string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.cut[machine] = make(chan struct{})
}

func (sto *store) heal(machine string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if done := sto.cut[machine]; done != nil {
		close(done)
		delete(sto.cut, machine)
	}
}

// reader returns the machine whose call was answered last.
func (sto *store) reader() string {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.lastRead
}

// readers returns how long ago each machine read.
func (sto *store) readers(now time.Time) map[string]time.Duration {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	ages := map[string]time.Duration{}
	for machine, at := range sto.lastAt {
		ages[machine] = now.Sub(at)
	}
	return ages
}

// serve serves the store to one machine.
func (sto *store) serve(machine string, lst net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("/api/kv-range", func(rw http.ResponseWriter, req *http.Request) { sto.answer(machine, rw, req, sto.rangeOf) })
	mux.HandleFunc("/api/kv-watch", func(rw http.ResponseWriter, req *http.Request) { sto.answer(machine, rw, req, sto.watch) })
	go http.Serve(lst, mux)
}

// answer answers a call unless the machine is cut off when it comes or when its answer
// leaves; it then gets none on this connection.
func (sto *store) answer(machine string, rw http.ResponseWriter, req *http.Request, call func(*http.Request, <-chan struct{}) any) {
	if sto.held(machine, req) {
		panic(http.ErrAbortHandler)
	}
	begun := time.Now()
	body := call(req, req.Context().Done())
	if sto.held(machine, req) {
		panic(http.ErrAbortHandler)
	}
	sto.mu.Lock()
	sto.lastRead = machine
	sto.lastAt[machine] = begun
	sto.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	if body == nil {
		rw.WriteHeader(http.StatusGone)
		return
	}
	json.NewEncoder(rw).Encode(body)
}

// held waits while the machine is cut off and reports whether it was.
func (sto *store) held(machine string, req *http.Request) bool {
	sto.mu.Lock()
	done := sto.cut[machine]
	sto.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
	case <-req.Context().Done():
	}
	return true
}

const pageItems = 500

func (sto *store) rangeOf(req *http.Request, _ <-chan struct{}) any {
	prefix, after := req.URL.Query().Get("prefix"), req.URL.Query().Get("after")
	sto.mu.Lock()
	defer sto.mu.Unlock()
	items := []item{}
	for key, itm := range sto.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, itm)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	return map[string]any{"items": items, "has-more": more, "at-rev": sto.rev}
}

func (sto *store) watch(req *http.Request, gone <-chan struct{}) any {
	prefix := req.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		sto.mu.Lock()
		events := []item{}
		for _, itm := range sto.events {
			if itm.Revision > after && strings.HasPrefix(itm.Key, prefix) {
				events = append(events, itm)
			}
		}
		rev, changed := sto.rev, sto.changed
		sto.mu.Unlock()
		if len(events) > 0 {
			return map[string]any{"events": events, "at-rev": rev}
		}
		select {
		case <-changed:
		case <-timeout:
			return map[string]any{"events": events, "at-rev": rev}
		case <-gone:
			return map[string]any{"events": events, "at-rev": rev}
		}
	}
}
