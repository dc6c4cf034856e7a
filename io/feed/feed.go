// Package feed keeps the lists in force at a process. It reads them from the
// platform while the process is a reader, and notifies subscribers of changes.
package feed

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"lagoondrum/core/dissem"
	"lagoondrum/core/inidoc"
	"lagoondrum/core/lists"
	"lagoondrum/core/table"
	"lagoondrum/io/stats"
)

// Lists is the set of lists in force, safe for concurrent use.
type Lists struct {
	notifyMu sync.Mutex // Held while subscribers run, so that the last call sees the newest lists.

	mu          sync.Mutex
	store       *dissem.Store
	subscribers []func(lists.Name)
	refusals    map[lists.Name]Refusal
	scope       *stats.Scope
	log         *zap.Logger
	locality    table.Locality
	overlay     *dissem.Overlay // Computed from the VMs in force.
}

// Refusal is the newest revision of a list that was refused, and why.
type Refusal struct {
	revision uint64
	err      error
}

// Revision returns the revision that was refused.
func (ref Refusal) Revision() uint64 { return ref.revision }

// Err returns the reason of the refusal.
func (ref Refusal) Err() error { return ref.err }

// State describes one list: the version in force and the newest refused revision.
type State struct {
	version dissem.Version
	since   time.Time
	refusal *Refusal
}

// Version returns the version in force.
func (sta State) Version() dissem.Version { return sta.version }

// Since returns when the version in force was adopted.
func (sta State) Since() time.Time { return sta.since }

// Refusal returns the newest refused revision above the one in force, or nil.
func (sta State) Refusal() *Refusal { return sta.refusal }

// New returns an empty set of lists for a process at loc.
func New(loc table.Locality, scope *stats.Scope, log *zap.Logger) *Lists {
	return &Lists{
		store: dissem.NewStore(), refusals: make(map[lists.Name]Refusal), scope: scope, log: log,
		locality: loc, overlay: &dissem.Overlay{},
	}
}

// Overlay returns the process's peers and reader rank, computed from the VMs in
// force.
func (lst *Lists) Overlay() *dissem.Overlay {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	return lst.overlay
}

// Subscribe registers fn to be called after each change with the name of the list.
// Calls do not overlap. fn must read the list itself, because a newer version may be
// in force by then.
func (lst *Lists) Subscribe(fn func(lists.Name)) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.subscribers = append(lst.subscribers, fn)
}

// Offer puts a list, in the text that the platform publishes, in force unless it is
// invalid or outdated.
func (lst *Lists) Offer(name lists.Name, revision uint64, raw []byte, now time.Time) {
	lst.mu.Lock()
	res := lst.store.Offer(name, revision, raw, now)
	lst.recordAndNotify(name, revision, res)
}

// Apply applies an update from a peer. It reports whether the whole list has to be
// requested because the patch does not apply.
func (lst *Lists) Apply(upd dissem.Update, now time.Time) (needsWhole bool) {
	lst.mu.Lock()
	res := lst.store.Apply(upd, now)
	if ref, ok := res.(dissem.Refused); ok {
		if _, ok := ref.Err.(*dissem.BaseMismatchError); ok {
			lst.mu.Unlock()
			return true
		}
	}
	lst.recordAndNotify(upd.Name(), upd.Version().Revision(), res)
	return false
}

// recordAndNotify records the result of an offer or update, unlocks lst.mu, which
// the caller has locked, and then notifies the subscribers of an adopted list.
func (lst *Lists) recordAndNotify(name lists.Name, revision uint64, res dissem.Result) {
	var subscribers []func(lists.Name)
	switch res := res.(type) {
	case dissem.Adopted:
		delete(lst.refusals, name)
		subscribers = lst.subscribers
		if vms, ok := res.List.(*lists.VMs); ok {
			lst.overlay = dissem.NewOverlay(vms, lst.locality.Self(), lst.locality.Zone())
		}
		lst.scope.Gauge("listRevision", "list", string(name)).Update(float64(revision))
		lst.log.Info("list in force", zap.String("list", string(name)), zap.Uint64("revision", revision))
	case dissem.Refused:
		lst.recordRefusal(name, revision, res.Err)
	case dissem.Outdated:
		lst.scope.Counter("listsOlder", "list", string(name)).Inc(1)
	case dissem.Unchanged:
	}
	lst.mu.Unlock()
	lst.notifyMu.Lock()
	defer lst.notifyMu.Unlock()
	for _, fn := range subscribers {
		fn(name)
	}
}

// recordRefusal counts a refused list. It stores and logs the refusal only once for
// each revision.
func (lst *Lists) recordRefusal(name lists.Name, revision uint64, err error) {
	lst.scope.Counter("listsRefused", "list", string(name)).Inc(1)
	if lst.refusals[name].revision == revision {
		return
	}
	lst.refusals[name] = Refusal{revision, err}
	lst.log.Warn("list refused", zap.String("list", string(name)), zap.Uint64("revision", revision), zap.Error(err))
}

// Confirm records that a reader compared the lists with the platform.
func (lst *Lists) Confirm(at time.Time) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.store.ConfirmAt(at)
}

// Confirmed returns when a reader last compared the lists with the platform.
func (lst *Lists) Confirmed() time.Time {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	return lst.store.ConfirmedAt()
}

// Complete reports whether every list is in force.
func (lst *Lists) Complete() bool {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	return lst.store.Complete()
}

// Version returns the version of a list in force.
func (lst *Lists) Version(name lists.Name) dissem.Version {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	return lst.store.Version(name)
}

// UpdateFor returns the update for a peer that has a version of a list, and reports
// whether the peer needs one.
func (lst *Lists) UpdateFor(name lists.Name, have dissem.Version) (dissem.Update, bool) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	return lst.store.UpdateFor(name, have)
}

// State returns the state of a list.
func (lst *Lists) State(name lists.Name) State {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	sta := State{version: lst.store.Version(name), since: lst.store.AdoptedAt(name)}
	if ref, ok := lst.refusals[name]; ok && ref.revision > sta.version.Revision() {
		sta.refusal = &ref
	}
	return sta
}

func (lst *Lists) list(name lists.Name) lists.List {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	return lst.store.List(name)
}

// Customers returns the customers in force, nil when there are none.
func (lst *Lists) Customers() *lists.Customers {
	cus, _ := lst.list(lists.CustomersName).(*lists.Customers)
	return cus
}

// Plans returns the plans in force, nil when there are none.
func (lst *Lists) Plans() *lists.Plans {
	pls, _ := lst.list(lists.PlansName).(*lists.Plans)
	return pls
}

// VMs returns the VMs in force, nil when there are none.
func (lst *Lists) VMs() *lists.VMs {
	vms, _ := lst.list(lists.VMsName).(*lists.VMs)
	return vms
}

// Keys returns the token keys in force, nil when there are none.
func (lst *Lists) Keys() *lists.Keys {
	kys, _ := lst.list(lists.KeysName).(*lists.Keys)
	return kys
}

// Check parses a list without putting it in force and returns its faults, nil when
// it is valid.
func Check(name lists.Name, raw []byte) *inidoc.Faults {
	_, err := lists.Parse(name, raw)
	if err == nil {
		return nil
	}
	if fs, ok := err.(*inidoc.Faults); ok {
		return fs
	}
	fs := inidoc.NewFaults(string(name))
	fs.Add(0, err.Error())
	return fs
}

// Mismatches describes inconsistencies between lists that are each valid: customers
// with unknown plans, and granted services that no live VM serves. A nil list is
// not published, and checks that need it are skipped.
func Mismatches(cus *lists.Customers, pls *lists.Plans, vms *lists.VMs) []string {
	found := []string{}
	if cus != nil && pls != nil {
		for _, cu := range cus.All() {
			if !pls.HasPlan(cu.Plan()) {
				found = append(found, "customer "+cu.Name()+" has the unknown plan "+cu.Plan())
			}
		}
	}
	if pls == nil || vms == nil {
		return found
	}
	served := make(map[string]bool)
	for _, vm := range vms.All() {
		served[vm.Service()] = served[vm.Service()] || !vm.Leaving()
	}
	for _, gr := range pls.Grants() {
		if !served[gr.Service()] {
			found = append(found, "no live VM serves "+gr.Service()+", which plan "+gr.Plan()+" may use")
		}
	}
	return found
}
