// Package gossip keeps a process's copy of the platform's state up to date: by
// reading the platform if the process is one of its readers, and from peers.
package gossip

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lagoondrum/core/mirror"
	"lagoondrum/io/logs"
)

// Timing and limits.
const (
	watchWait   = time.Second            // A call to the platform waits this long for changes; a silent connection is found soon after.
	idleDelay   = 100 * time.Millisecond // Between two checks whether this process reads the platform.
	retryDelay  = 250 * time.Millisecond // After the first failed call, doubled up to maxRetry.
	maxRetry    = 2 * time.Second
	pullTimeout = 700 * time.Millisecond // For a peer's answer; it is some milliseconds away.
	watchPause  = 100 * time.Millisecond // After changes, so that the next call brings several.
	maxUpdate   = 32 << 20               // Bytes of a peer's answer.
)

// ChangesPath is where a process answers peers.
const ChangesPath = "/v1/changes"

// Store is the platform as the replica reads it.
type Store interface {
	// State reads every item.
	State(ctx context.Context) (revision uint64, items []mirror.Item, err error)
	// Changes waits for changes after a revision.
	Changes(ctx context.Context, after uint64, wait time.Duration) (revision uint64, items []mirror.Item, err error)
	// Close drops the connections.
	Close()
}

// Lost reports whether an error says that the platform dropped its history.
type Lost func(err error) bool

// Apply takes news, in a call of the replica's own goroutines. The replica is not
// locked during the call; calls come one after the other.
type Apply func(nws News, now time.Time)

// Replica is a process's copy of the platform's state.
type Replica struct {
	store  Store
	lost   Lost
	log    *zap.Logger
	client *http.Client
	seeds  []netip.AddrPort
	first  bool
	past   Past

	applyMu sync.Mutex // Held to change the mirror and to hand on what changed, in order.
	mu      sync.Mutex
	mir     *mirror.Mirror
	policy  *mirror.ReaderPolicy
	reading bool
	pulling bool
	source  netip.AddrPort // A peer that knows more.
	ahead   uint64         // What it knows.
	asks    int            // Peers that were asked for former routes.
	apply   Apply
	calls   uint64
}

// New returns an empty replica of a process on the VM with an IP number. With first
// set the whole system starts for the first time. Seeds are processes that it asks for their state at the start.
func New(sto Store, lost Lost, self [4]byte, balancer, first bool, seeds []netip.AddrPort, log *zap.Logger) *Replica {
	dialer := &net.Dialer{Timeout: pullTimeout, KeepAlive: -1}
	return &Replica{
		store:  sto,
		lost:   lost,
		log:    log,
		client: &http.Client{Timeout: pullTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}},
		mir:    mirror.New(),
		first:  first,
		policy: mirror.NewReaderPolicy(self, balancer, ipsOf(seeds)),
		seeds:  slices.DeleteFunc(slices.Clone(seeds), func(seed netip.AddrPort) bool { return seed.Addr() == netip.AddrFrom4(self) }),
	}
}

// SetSeeds sets which balancers read the platform from now on.
func (rep *Replica) SetSeeds(seeds []netip.AddrPort) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.policy.SetSeeds(ipsOf(seeds))
}

func ipsOf(addrs []netip.AddrPort) [][4]byte {
	var ips [][4]byte
	for _, addr := range addrs {
		ips = append(ips, addr.Addr().As4())
	}
	return ips
}

// OnChange sets who takes what is new, and who tells peers of former routes. It
// is called before Serve.
func (rep *Replica) OnChange(apl Apply, pst Past) { rep.apply, rep.past = apl, pst }

// Revision returns the revision of the state.
func (rep *Replica) Revision() uint64 {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.mir.Revision()
}

// ConfirmedAt returns when the state was last known to be the newest.
func (rep *Replica) ConfirmedAt() time.Time {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.policy.ConfirmedAt()
}

// Able reports whether the platform answered this process's last call.
func (rep *Replica) Able() bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.policy.PlatformReachable()
}

// Reading reports whether this process reads the platform.
func (rep *Replica) Reading() bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.reading
}

// Balancers returns the balancers that were heard lately, and of those the ones
// that read the platform.
func (rep *Replica) Balancers(now time.Time) (heard, reading [][4]byte) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.policy.Balancers(now)
}

// Heard takes a peer's word on what it knows: a revision that it confirmed at a
// time. A peer that knows more is asked for it.
func (rep *Replica) Heard(from netip.AddrPort, balancer, able, reads bool, revision uint64, confirmedAt, now time.Time) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if balancer {
		rep.policy.NotePeer(from.Addr().As4(), able, reads, now)
	}
	if revision <= rep.mir.Revision() {
		if revision == rep.mir.Revision() {
			rep.policy.NoteConfirmed(confirmedAt)
		}
		if revision > 0 && rep.asks < maxAsks && !rep.pulling {
			rep.asks++
			rep.pulling = true
			go rep.mergeHistory(from, revision)
		}
		return
	}
	if revision > rep.ahead || !rep.pulling {
		rep.source, rep.ahead = from, revision
	}
	if !rep.pulling {
		rep.pulling = true
		go rep.pull()
	}
}

// pull asks peers until none is known that knows more.
func (rep *Replica) pull() {
	for {
		rep.mu.Lock()
		source, after := rep.source, rep.mir.Revision()
		if rep.ahead <= after {
			rep.pulling = false
			rep.mu.Unlock()
			return
		}
		rep.mu.Unlock()
		upd, err := rep.fetch(context.Background(), source, after)
		if err != nil {
			rep.log.Info("peer did not answer", zap.Stringer("peer", source), zap.Uint64("after", after), zap.Error(err))
			rep.mu.Lock()
			rep.pulling = false // The next heartbeat starts another try.
			rep.ahead = 0
			rep.mu.Unlock()
			return
		}
		rep.adoptTold(upd, time.Now())
		rep.mu.Lock()
		if rep.mir.Revision() < rep.ahead {
			rep.ahead = rep.mir.Revision()
		}
		rep.mu.Unlock()
	}
}

// StatusError reports a peer's answer other than success.
type StatusError struct{ code int }

func (err *StatusError) Error() string { return fmt.Sprintf("gossip: peer answered %d", err.code) }

func (rep *Replica) fetch(ctx context.Context, source netip.AddrPort, after uint64) (update, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source.String()+ChangesPath+"?after="+strconv.FormatUint(after, 10), nil)
	if err != nil {
		return update{}, err
	}
	rsp, err := rep.client.Do(req)
	if err != nil {
		return update{}, err
	}
	defer rsp.Body.Close()
	if rsp.StatusCode != http.StatusOK {
		return update{}, &StatusError{code: rsp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxUpdate))
	if err != nil {
		return update{}, err
	}
	return decodeUpdate(body, time.Now())
}

// ServeHTTP answers a peer that asks for what changed after a revision.
func (rep *Replica) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	after, err := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(rw, "after is not a revision", http.StatusBadRequest)
		return
	}
	now := time.Now()
	if _, err := rw.Write(rep.since(after, now).encode(now)); err != nil {
		rep.log.Debug("peer left before its answer", zap.Error(err))
	}
}

// since returns what changed after a revision, with a history that fits it.
func (rep *Replica) since(after uint64, now time.Time) update {
	rep.applyMu.Lock()
	defer rep.applyMu.Unlock()
	his := rep.past.History(now)
	rep.mu.Lock()
	defer rep.mu.Unlock()
	items, whole := rep.mir.ChangesSince(after)
	return update{after: after, revision: rep.mir.Revision(), whole: whole, items: items, history: his, confirmedAt: rep.policy.ConfirmedAt()}
}

// adoptTold takes an update of a peer.
func (rep *Replica) adoptTold(upd update, now time.Time) {
	rep.applyMu.Lock()
	defer rep.applyMu.Unlock()
	covered := rep.ConfirmedAt()
	rep.adopt(upd, Told{history: upd.history, covered: covered}, now)
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if upd.revision == rep.mir.Revision() {
		rep.policy.NoteConfirmed(upd.confirmedAt)
	}
}

// adoptCall takes what the platform answered.
func (rep *Replica) adoptCall(upd update, now time.Time) {
	rep.applyMu.Lock()
	defer rep.applyMu.Unlock()
	if upd.whole {
		rep.adopt(upd, Read{}, now)
	} else {
		rep.adopt(upd, Watched{}, now)
	}
}

// adopt takes an update into the mirror and hands on what is new.
func (rep *Replica) adopt(upd update, org Origin, now time.Time) {
	rep.mu.Lock()
	before := rep.mir.Revision()
	var news []mirror.Item
	if upd.whole {
		news = rep.mir.Replace(upd.revision, upd.items)
	} else {
		news, _ = rep.mir.Update(upd.after, upd.revision, upd.items)
	}
	moved := rep.mir.Revision() != before
	rep.mu.Unlock()
	if _, told := org.(Told); told || moved || len(news) > 0 {
		rep.apply(News{items: news, origin: org}, now)
	}
}

// Serve asks the seeds for the state, and then reads the platform whenever the
// reader policy selects this process, until ctx ends.
func (rep *Replica) Serve(ctx context.Context) error {
	stale := rep.join(ctx)
	delay := retryDelay
	for ctx.Err() == nil {
		if !rep.shouldRead(time.Now()) {
			sleep(ctx, idleDelay)
			continue
		}
		err := rep.read(ctx)
		rep.noteCall(err)
		if err == nil {
			delay = retryDelay
			stale = nil
			continue
		}
		if stale != nil {
			rep.adoptTold(*stale, time.Now()) // An old state is better than none.
			stale = nil
		}
		sleep(ctx, delay)
		delay = min(2*delay, maxRetry)
	}
	return ctx.Err()
}

func (rep *Replica) shouldRead(now time.Time) bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	reads := rep.policy.Reads(now)
	if reads != rep.reading {
		rep.reading = reads
		rep.log.Info("reading the platform", zap.Bool("reads", reads), zap.Uint64("revision", rep.mir.Revision()),
			logs.Age("age", rep.policy.ConfirmedAt(), now))
	}
	return reads
}

// read makes one call: for the whole state at first and when the history is
// lost, else for changes.
func (rep *Replica) read(ctx context.Context) error {
	after := rep.Revision()
	if after == 0 {
		return rep.readWhole(ctx)
	}
	revision, items, err := rep.store.Changes(ctx, after, watchWait)
	if err != nil && rep.lost(err) {
		rep.log.Info("platform dropped its history", zap.Uint64("revision", after))
		return rep.readWhole(ctx)
	}
	if err == nil {
		rep.adoptCall(update{after: after, revision: revision, items: items}, time.Now())
		if len(items) > 0 {
			sleep(ctx, watchPause)
		}
	}
	return err
}

func (rep *Replica) readWhole(ctx context.Context) error {
	revision, items, err := rep.store.State(ctx)
	if err == nil {
		rep.adoptCall(update{revision: revision, whole: true, items: items}, time.Now())
	}
	return err
}

func (rep *Replica) noteCall(err error) {
	now := time.Now()
	rep.mu.Lock()
	was := rep.policy.PlatformReachable()
	rep.calls++
	rep.policy.NoteCall(err == nil, now)
	rep.mu.Unlock()
	if errors.Is(err, context.Canceled) {
		return
	}
	switch {
	case err != nil && was:
		rep.log.Warn("platform lost", zap.Error(err))
	case err == nil && !was:
		rep.log.Info("platform regained")
	}
}

// Calls returns how many calls the platform was sent.
func (rep *Replica) Calls() uint64 {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.calls
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
