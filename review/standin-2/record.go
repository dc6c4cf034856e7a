package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record keeps what was sent, answered and run, writes it to a file and judges it.
type record struct {
	mu       sync.Mutex
	file     *os.File
	began    time.Time
	runs     map[string][]run
	openAt   map[flowKey]openFlow
	breaches []string
	counts   map[string]int
	astray   map[flowKey][]time.Time // When the flow's packets reached other backends since one last reached its own.
	misled   func(key flowKey, flw openFlow, astray []time.Time)
}

// openFlow is the backend at which a flow was opened, and when.
type openFlow struct {
	backend *backend
	at      time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now(), runs: make(map[string][]run), openAt: make(map[flowKey]openFlow), counts: make(map[string]int), astray: make(map[flowKey][]time.Time)}, nil
}

func (rec *record) note(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.write(format, args...)
}

// write writes a line; the caller holds mu.
func (rec *record) write(format string, args ...any) {
	fmt.Fprintf(rec.file, "%8.3f %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that a rule was broken.
func (rec *record) breach(rule, what string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.addBreach(rule, what)
}

// addBreach is breach for a caller that holds mu.
func (rec *record) addBreach(rule, what string) {
	rec.breaches = append(rec.breaches, rule+": "+what)
	rec.write("BREACH %s %s", rule, what)
}

func (rec *record) count(what string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.counts[what]++
}

func (rec *record) opening(bck *backend, key flowKey, _ time.Time) {
	rec.note("opening %v>%v at %s (%s)", key.client, key.service, bck.cfg.id, bck.cfg.service)
}

func (rec *record) opened(bck *backend, key flowKey, now time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.openAt[key] = openFlow{backend: bck, at: now}
	rec.write("open %v>%v at %s", key.client, key.service, bck.cfg.id)
}

// bounced records a packet of a flow at a backend that does not hold it.
func (rec *record) bounced(bck *backend, key flowKey, now time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.write("bounced %v>%v by %s", key.client, key.service, bck.cfg.id)
	flw, found := rec.openAt[key]
	if !found || flw.backend == bck || rec.misled == nil {
		return
	}
	rec.astray[key] = append(rec.astray[key], now)
	rec.misled(key, flw, rec.astray[key])
}

// reached records a packet of a flow at its own backend.
func (rec *record) reached(key flowKey) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	delete(rec.astray, key)
}

func (rec *record) shed(bck *backend, id string) { rec.note("shed %s by %s", id, bck.cfg.id) }

func (rec *record) ran(one run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.runs[one.id] = append(rec.runs[one.id], one)
	rec.write("run %s at %s (%s)", one.id, one.backend, one.service)
	if len(rec.runs[one.id]) > 1 {
		rec.breaches = append(rec.breaches, "TWICE: "+one.id)
		rec.write("BREACH TWICE %s", one.id)
	}
}

// holder returns the backend at which a flow is open, nil if there is none.
func (rec *record) holder(key flowKey) (openFlow, bool) {
	rec.mu.Lock()
	flw, found := rec.openAt[key]
	rec.mu.Unlock()
	if !found || !flw.backend.holds(key) {
		return openFlow{}, false
	}
	return flw, true
}

// close writes the sums and returns how often a rule was broken.
func (rec *record) close() int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for what, count := range rec.counts {
		rec.write("sum %s %d", what, count)
	}
	rec.write("breaches %d", len(rec.breaches))
	_ = rec.file.Close()
	return len(rec.breaches)
}
