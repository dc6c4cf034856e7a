package model

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoondrum/core/dissem"
	"lagoondrum/core/lists"
)

// storeRules are the decisions that keep lists from reverting to an older
// revision. Mutants replace one of them.
type storeRules struct {
	offer func(sto *dissem.Store, revision uint64, raw []byte, now time.Time) dissem.Result
	apply func(sto *dissem.Store, upd dissem.Update, now time.Time) dissem.Result
}

func realStoreRules() storeRules {
	return storeRules{
		offer: func(sto *dissem.Store, revision uint64, raw []byte, now time.Time) dissem.Result {
			return sto.Offer(lists.CustomersName, revision, raw, now)
		},
		apply: (*dissem.Store).Apply,
	}
}

// dissemMachine runs operators that edit the customer list, a platform that may
// serve old revisions, and processes that exchange updates over a network that
// loses, duplicates and reorders them.
type dissemMachine struct {
	rules    storeRules
	stores   []*dissem.Store
	edits    []string  // Valid texts; revision i+1 is edit i.
	inFlight []message // Updates that may still be delivered.
	lastSeen []uint64  // By process, the revision in force at the last check.
}

// message is an update on its way to a process.
type message struct {
	to  int
	upd dissem.Update
}

// dissemNodes is the number of processes.
const dissemNodes = 4

func newDissemMachine(rules storeRules) *dissemMachine {
	mch := &dissemMachine{rules: rules, lastSeen: make([]uint64, dissemNodes)}
	for range dissemNodes {
		mch.stores = append(mch.stores, dissem.NewStore())
	}
	return mch
}

// drawNode picks one of the processes.
func (mch *dissemMachine) drawNode(t *rapid.T, name string) int {
	return rapid.IntRange(0, dissemNodes-1).Draw(t, name)
}

// edit publishes a new revision: customers with random plans.
func (mch *dissemMachine) edit(t *rapid.T) {
	plans := rapid.SliceOfN(rapid.SampledFrom([]string{"gold", "silver", "bronze"}), 1, 5).Draw(t, "plans")
	var sb strings.Builder
	for i, plan := range plans {
		fmt.Fprintf(&sb, "[customer c%d]\nplan = %s\ncertificate = c%d\n", i, plan, i)
	}
	mch.edits = append(mch.edits, sb.String()+"[end]\n")
}

// read has a process read the platform, which may serve any published revision,
// cut off in the middle at times.
func (mch *dissemMachine) read(t *rapid.T) {
	if len(mch.edits) == 0 {
		t.Skip()
	}
	idx := rapid.IntRange(0, len(mch.edits)-1).Draw(t, "revision")
	raw := mch.edits[idx]
	if rapid.IntRange(0, 3).Draw(t, "damage") == 0 {
		raw = raw[:len(raw)/2]
	}
	mch.rules.offer(mch.stores[mch.drawNode(t, "reader")], uint64(idx+1), []byte(raw), epoch)
}

// exchange sends an update from one process to another. It is made for the
// receiver's current version, or as if the receiver had no list yet.
func (mch *dissemMachine) exchange(t *rapid.T) {
	from, to := mch.drawNode(t, "from"), mch.drawNode(t, "to")
	have := mch.stores[to].Version(lists.CustomersName)
	if rapid.Bool().Draw(t, "oldDigest") {
		have = dissem.Version{}
	}
	if upd, ok := mch.stores[from].UpdateFor(lists.CustomersName, have); ok {
		mch.inFlight = append(mch.inFlight, message{to, upd})
	}
}

// deliver delivers any message. Some stay in flight and are delivered again.
func (mch *dissemMachine) deliver(t *rapid.T) {
	if len(mch.inFlight) == 0 {
		t.Skip()
	}
	idx := rapid.IntRange(0, len(mch.inFlight)-1).Draw(t, "letter")
	msg := mch.inFlight[idx]
	mch.rules.apply(mch.stores[msg.to], msg.upd, epoch)
	if rapid.Bool().Draw(t, "once") {
		mch.inFlight = append(mch.inFlight[:idx], mch.inFlight[idx+1:]...)
	}
}

// restart restarts a process with an empty store.
func (mch *dissemMachine) restart(t *rapid.T) {
	idx := mch.drawNode(t, "node")
	mch.stores[idx] = dissem.NewStore()
	mch.lastSeen[idx] = 0
}

// check is the oracle: the revision of a process never decreases, and the list in
// force is the one that the operators published under that revision.
func (mch *dissemMachine) check(t *rapid.T) {
	for i, sto := range mch.stores {
		revision := sto.Version(lists.CustomersName).Revision()
		if revision < mch.lastSeen[i] {
			t.Fatalf("process %d went back from revision %d to %d", i, mch.lastSeen[i], revision)
		}
		mch.lastSeen[i] = revision
		if revision == 0 {
			continue
		}
		if got, want := mch.inForceText(sto), mch.edits[revision-1]; got != want {
			t.Fatalf("process %d has %q in force as revision %d, published as %q", i, got, revision, want)
		}
	}
}

// inForceText returns the text of the list in force.
func (mch *dissemMachine) inForceText(sto *dissem.Store) string {
	var sb strings.Builder
	for _, cu := range sto.List(lists.CustomersName).(*lists.Customers).All() {
		fmt.Fprintf(&sb, "[customer %s]\nplan = %s\ncertificate = %s\n", cu.Name(), cu.Plan(), cu.Certificate())
	}
	return sb.String() + "[end]\n"
}

// assertConverged has every pair of processes exchange twice, and checks that all
// then have the highest revision that any of them had.
func (mch *dissemMachine) assertConverged(t *rapid.T) {
	var highest uint64
	for _, sto := range mch.stores {
		highest = max(highest, sto.Version(lists.CustomersName).Revision())
	}
	for range 2 {
		for _, from := range mch.stores {
			for _, to := range mch.stores {
				mch.exchangePair(from, to)
			}
		}
	}
	for i, sto := range mch.stores {
		if got := sto.Version(lists.CustomersName).Revision(); got != highest {
			t.Fatalf("process %d has revision %d after the exchange, not %d", i, got, highest)
		}
	}
}

// exchangePair does what two processes do: one sends a patch, and then the whole
// list if the patch does not apply.
func (mch *dissemMachine) exchangePair(from, to *dissem.Store) {
	for _, have := range []dissem.Version{to.Version(lists.CustomersName), {}} {
		upd, ok := from.UpdateFor(lists.CustomersName, have)
		if !ok || !to.Version(lists.CustomersName).Less(upd.Version()) {
			return
		}
		mch.rules.apply(to, upd, epoch)
	}
}

func dissemProperty(rules storeRules) func(*rapid.T) {
	return func(t *rapid.T) {
		mch := newDissemMachine(rules)
		t.Repeat(map[string]func(*rapid.T){
			"edit": mch.edit, "read": mch.read, "exchange": mch.exchange,
			"deliver": mch.deliver, "restart": mch.restart, "": mch.check,
		})
		mch.assertConverged(t)
	}
}

func TestListsNeverRevert(t *testing.T) { rapid.Check(t, dissemProperty(realStoreRules())) }

func TestDissemOracleDetectsMutants(t *testing.T) {
	mutants := map[string]func(*storeRules){
		"lower revision accepted from the platform": func(rls *storeRules) {
			rls.offer = func(sto *dissem.Store, revision uint64, raw []byte, now time.Time) dissem.Result {
				if revision < sto.Version(lists.CustomersName).Revision() {
					*sto = *dissem.NewStore()
				}
				return sto.Offer(lists.CustomersName, revision, raw, now)
			}
		},
		"lower revision accepted from a peer": func(rls *storeRules) {
			rls.apply = func(sto *dissem.Store, upd dissem.Update, now time.Time) dissem.Result {
				if upd.Base() == (dissem.Version{}) {
					*sto = *dissem.NewStore()
				}
				return sto.Apply(upd, now)
			}
		},
		"updates of peers ignored": func(rls *storeRules) {
			rls.apply = func(*dissem.Store, dissem.Update, time.Time) dissem.Result { return dissem.Unchanged{} }
		},
		"truncated list accepted as complete": func(rls *storeRules) {
			rls.offer = func(sto *dissem.Store, revision uint64, raw []byte, now time.Time) dissem.Result {
				text := string(raw)
				if idx := strings.LastIndex(text, "[customer"); idx > 0 && !strings.HasSuffix(text, "[end]\n") {
					text = text[:idx] + "[end]\n"
				}
				return sto.Offer(lists.CustomersName, revision, []byte(text), now)
			}
		},
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			rules := realStoreRules()
			mutate(&rules)
			assertCaught(t, dissemProperty(rules))
		})
	}
}
