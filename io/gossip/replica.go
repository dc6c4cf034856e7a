// Package gossip keeps a process's replica of the platform's state up to date. A
// few processes read the platform; the others fetch changes from peers whose
// heartbeats report a newer position.
package gossip

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lagoondrum/core/epoch"
	"lagoondrum/core/mirror"
	"lagoondrum/io/logs"
)

// Timing and limits.
const (
	watchTimeout   = time.Second            // How long a call to the platform waits for changes; a dead connection is detected soon after.
	policyInterval = 100 * time.Millisecond // Between checks whether this process should read the platform.
	retryDelay     = 250 * time.Millisecond // After the first failed call to the platform, doubled up to maxRetry.
	maxRetry       = 2 * time.Second
	pullTimeout    = 700 * time.Millisecond // For a peer's answer; the round trip takes a few milliseconds.
	batchDelay     = 100 * time.Millisecond // After a call that returned changes, so that the next one returns several at once.
	maxUpdateBytes = 32 << 20               // Largest answer of a peer.
)

// ChangesPath is the HTTP path at which a process serves changes to peers.
const ChangesPath = "/v1/changes"

// Store is the platform's store of items.
type Store interface {
	// State returns every item.
	State(ctx context.Context) (position mirror.Position, items []mirror.Item, err error)
	// Changes returns the changes after a position, and waits up to wait for the first
	// one. If the position that it returns is in a higher era, the changes are those
	// after the same revision there.
	Changes(ctx context.Context, after mirror.Position, wait time.Duration) (position mirror.Position, items []mirror.Item, err error)
	// Era returns the highest era that an answer has told, also one that was an error.
	Era() uint64
	// Close closes the connections.
	Close()
}

// Lost reports whether an error means that the platform no longer has the changes
// after the requested position.
type Lost func(err error) bool

// Apply handles changes. It is called from the replica's goroutines, one call at a
// time. It may call methods of the replica that return its state, as those are not
// blocked during the call.
type Apply func(nws News, now time.Time)

// Replica is a process's copy of the platform's state, and decides when the process
// reads the platform itself.
type Replica struct {
	store       Store
	historyLost Lost
	stateKey    func(key string) bool
	log         *zap.Logger
	client      *http.Client
	seeds       []netip.AddrPort
	firstStart  bool
	history     Past

	applyMu         sync.Mutex // Held while the mirror changes and apply is called, so that changes are applied in order.
	mu              sync.Mutex // Guards the fields below, except apply.
	mirror          *mirror.Mirror
	policy          *mirror.ReaderPolicy
	reading         bool
	pulling         bool
	source          netip.AddrPort  // The peer that pull fetches from.
	sourcePosition  mirror.Position // That source reported.
	firstPosition   mirror.Position // Every state from this position on has been seen.
	recovery        epoch.Recovery  // Of the store since the era of the mirror began.
	eraChanges      uint64
	historyRequests int // Requests for former routes so far, or maxHistoryRequests when the history is complete.
	apply           Apply
	calls           uint64
}

// New returns the empty replica of a process on the VM with the IP address self.
// With first set, the whole system starts for the first time. The process asks the
// seeds for their state when it starts. A change at the platform has to take effect
// within maxAge.
func New(sto Store, lost Lost, self [4]byte, balancer, first bool, seeds []netip.AddrPort, maxAge time.Duration, log *zap.Logger) *Replica {
	dialer := &net.Dialer{Timeout: pullTimeout, KeepAlive: -1}
	return &Replica{
		store:       sto,
		historyLost: lost,
		log:         log,
		client:      &http.Client{Timeout: pullTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}},
		mirror:      mirror.New(),
		firstStart:  first,
		policy:      mirror.NewReaderPolicy(self, balancer, ipsOf(seeds), maxAge),
		seeds:       slices.DeleteFunc(slices.Clone(seeds), func(seed netip.AddrPort) bool { return seed.Addr() == netip.AddrFrom4(self) }),
	}
}

// SetSeeds changes which balancers read the platform.
func (rep *Replica) SetSeeds(seeds []netip.AddrPort) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.policy.SetSeeds(ipsOf(seeds))
}

// SetMaxAge changes within which time a change at the platform has to take effect.
func (rep *Replica) SetMaxAge(maxAge time.Duration) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.policy.SetMaxAge(maxAge)
}

func ipsOf(addrs []netip.AddrPort) [][4]byte {
	var ips [][4]byte
	for _, addr := range addrs {
		ips = append(ips, addr.Addr().As4())
	}
	return ips
}

// OnChange sets the function that handles changes, and the source of what peers are sent
// beside the items. It must be called before Serve.
func (rep *Replica) OnChange(apl Apply, pst Past) { rep.apply, rep.history = apl, pst }

// Position returns the position that the state reflects.
func (rep *Replica) Position() mirror.Position {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.mirror.Position()
}

// ConfirmedAt returns when the state was last known to be the newest.
func (rep *Replica) ConfirmedAt() time.Time {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.policy.ConfirmedAt()
}

// AwayAt returns when this process or another reader last knew that the platform does
// not answer.
func (rep *Replica) AwayAt() time.Time {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.policy.AwayAt()
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

// Seed reports whether this process is a seed by its own settings.
func (rep *Replica) Seed() bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.policy.Seed()
}

// Balancers returns the balancers with a recent heartbeat, and those among them
// that read the platform.
func (rep *Replica) Balancers(now time.Time) (heard, reading [][4]byte) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.policy.Balancers(now)
}

// ServeHTTP answers a peer that requests the changes after a position.
func (rep *Replica) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	after, err := rep.requestedPosition(req.URL.Query())
	if err != nil {
		http.Error(rw, "after is not a revision, or era not an era", http.StatusBadRequest)
		return
	}
	now := time.Now()
	if _, err := rw.Write(rep.updateSince(after, now).encode(now)); err != nil {
		rep.log.Debug("peer disconnected before the answer was sent", zap.Error(err))
	}
}

// requestedPosition returns the position after which a peer requests changes. A peer of
// the earlier version tells no era, as it orders states by their revisions alone.
func (rep *Replica) requestedPosition(query url.Values) (mirror.Position, error) {
	revision, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return 0, err
	}
	era := rep.Position().Era()
	if query.Has("era") {
		if era, err = strconv.ParseUint(query.Get("era"), 10, 64); err != nil {
			return 0, err
		}
	}
	return mirror.At(era, min(revision, mirror.MaxRevision))
}

// updateSince returns the changes after a position, with the history of former
// routes and the memory as of the same state.
func (rep *Replica) updateSince(after mirror.Position, now time.Time) update {
	rep.applyMu.Lock()
	defer rep.applyMu.Unlock()
	his, mem := rep.history.History(now), rep.history.Memory(now)
	rep.mu.Lock()
	defer rep.mu.Unlock()
	items, full := rep.mirror.ChangesSince(after)
	return update{after: after, position: rep.mirror.Position(), full: full, items: items, history: his, memory: mem, confirmedAt: rep.policy.ConfirmedAt()}
}

// adoptFromPeer adopts an update from a peer.
func (rep *Replica) adoptFromPeer(upd update, now time.Time) {
	rep.applyMu.Lock()
	defer rep.applyMu.Unlock()
	if upd.position < rep.seenSince() {
		rep.log.Info("state of a peer is older than the first one here", LogPosition(upd.position))
		return // States between the two may have been missed, so the histories do not join.
	}
	covered := rep.ConfirmedAt()
	rep.adopt(upd, Told{history: upd.history, memory: upd.memory, completeUntil: covered}, now)
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if upd.position == rep.mirror.Position() {
		rep.policy.NoteConfirmed(upd.confirmedAt)
	}
}

// adoptFromPlatform adopts an answer of the platform. The error is an *OldEraError.
func (rep *Replica) adoptFromPlatform(upd update, now time.Time) error {
	rep.applyMu.Lock()
	defer rep.applyMu.Unlock()
	if known := rep.Position(); upd.position.Era() < known.Era() {
		return &OldEraError{told: upd.position.Era(), known: known.Era()}
	}
	if upd.full {
		rep.adopt(upd, Read{}, now)
	} else {
		rep.adopt(upd, Watched{}, now)
	}
	return nil
}

// seenSince returns the position from which on the replica has seen every state.
func (rep *Replica) seenSince() mirror.Position {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.firstPosition
}

// adopt applies an update to the mirror and passes the new items to apply. applyMu
// is held.
func (rep *Replica) adopt(upd update, org Origin, now time.Time) {
	rep.mu.Lock()
	before := rep.mirror.Position()
	var applied []mirror.Item
	if upd.full {
		applied = rep.mirror.Replace(upd.position, upd.items)
	} else {
		applied, _ = rep.mirror.Update(upd.after, upd.position, upd.items)
	}
	position := rep.mirror.Position()
	org = withState(org, before != 0 && before.Era() == position.Era() && !slices.ContainsFunc(applied, rep.isState), now)
	advanced := position != before
	if before == 0 || advanced && !continues(org) {
		rep.firstPosition = position
		rep.historyRequests = 0 // Peers may have seen the states that were missed.
	}
	rep.noteEra(before, position, now)
	rep.mu.Unlock()
	if _, fromPeer := org.(Told); fromPeer || advanced || len(applied) > 0 {
		rep.apply(News{items: applied, origin: org, position: position}, now)
	}
}

// Serve asks the seeds for the state, and then reads the platform whenever the
// reader policy selects this process, until ctx ends. A stale state of a seed is
// adopted only if the first call to the platform fails.
func (rep *Replica) Serve(ctx context.Context) error {
	stale := rep.join(ctx)
	delay := retryDelay
	for ctx.Err() == nil {
		rep.settle(time.Now())
		if !rep.shouldRead(time.Now()) {
			sleep(ctx, policyInterval)
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
			rep.adoptFromPeer(*stale, time.Now()) // A stale state is better than none.
			stale = nil
		}
		sleep(ctx, delay)
		delay = min(2*delay, maxRetry)
	}
	return ctx.Err()
}

// shouldRead reports whether this process reads the platform now, and logs when
// that changes.
func (rep *Replica) shouldRead(now time.Time) bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	reads := rep.policy.Reads(now)
	if reads != rep.reading {
		rep.reading = reads
		rep.log.Info("reading the platform", zap.Bool("reads", reads), LogPosition(rep.mirror.Position()),
			logs.Age("age", rep.policy.ConfirmedAt(), now), zap.Bool("seed", rep.policy.Seed()), zap.Int("otherReaders", rep.policy.Readers(now)))
	}
	return reads
}

// read makes one call to the platform: for the full state at first and when the
// platform has dropped its history or is in another era, otherwise for changes.
func (rep *Replica) read(ctx context.Context) error {
	after := rep.Position()
	if after == 0 || rep.store.Era() > after.Era() {
		return rep.readFull(ctx)
	}
	position, items, err := rep.store.Changes(ctx, after, watchTimeout)
	switch {
	case err != nil && rep.historyLost(err):
		rep.log.Info("platform dropped its history", LogPosition(after))
		return rep.readFull(ctx)
	case err != nil:
		return err
	case position.Era() > after.Era():
		return rep.readFull(ctx)
	}
	err = rep.adoptFromPlatform(update{after: after, position: position, items: items}, time.Now())
	if len(items) > 0 {
		sleep(ctx, batchDelay)
	}
	return err
}

func (rep *Replica) readFull(ctx context.Context) error {
	position, items, err := rep.store.State(ctx)
	if err != nil {
		return err
	}
	return rep.adoptFromPlatform(update{position: position, full: true, items: items}, time.Now())
}

// noteCall records the result of a call to the platform, and logs when the platform
// becomes unreachable or reachable.
func (rep *Replica) noteCall(err error) {
	now := time.Now()
	rep.mu.Lock()
	wasReachable := rep.policy.PlatformReachable()
	rep.calls++
	rep.policy.NoteCall(err == nil, now)
	rep.mu.Unlock()
	if errors.Is(err, context.Canceled) {
		return
	}
	switch {
	case err != nil && wasReachable:
		rep.log.Warn("platform lost", zap.Error(err))
	case err == nil && !wasReachable:
		rep.log.Info("platform regained")
	}
}

// Calls returns how many reads of the platform have ended.
func (rep *Replica) Calls() uint64 {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.calls
}

// sleep waits until the duration has passed or ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
