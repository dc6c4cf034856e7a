package proof

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoondrum/core/lists"
	"lagoondrum/core/spread"
)

// storeRules are the decisions that keep lists from reverting.
type storeRules struct {
	offer func(sto *spread.Store, revision uint64, raw []byte, now time.Time) spread.Result
	apply func(sto *spread.Store, upd spread.Update, now time.Time) spread.Result
}

func realStore() storeRules {
	return storeRules{
		offer: func(sto *spread.Store, revision uint64, raw []byte, now time.Time) spread.Result {
			return sto.Offer(lists.CustomersName, revision, raw, now)
		},
		apply: (*spread.Store).Apply,
	}
}

// spreadMachine has operators edit, a platform go stale, and processes
// exchange updates over a network that loses, doubles and reorders them.
type spreadMachine struct {
	rules  storeRules
	stores []*spread.Store
	edits  []string // Valid texts; revision i+1 is edit i.
	mail   []letter
	seen   []uint64
}

type letter struct {
	to  int
	upd spread.Update
}

const spreadNodes = 4

func newSpreadMachine(rules storeRules) *spreadMachine {
	mch := &spreadMachine{rules: rules, seen: make([]uint64, spreadNodes)}
	for range spreadNodes {
		mch.stores = append(mch.stores, spread.NewStore())
	}
	return mch
}

func (mch *spreadMachine) index(t *rapid.T, name string) int {
	return rapid.IntRange(0, spreadNodes-1).Draw(t, name)
}

// edit publishes a new revision: customers with drawn plans.
func (mch *spreadMachine) edit(t *rapid.T) {
	plans := rapid.SliceOfN(rapid.SampledFrom([]string{"gold", "silver", "bronze"}), 1, 5).Draw(t, "plans")
	var sb strings.Builder
	for i, plan := range plans {
		fmt.Fprintf(&sb, "[customer c%d]\nplan = %s\ncertificate = c%d\n", i, plan, i)
	}
	mch.edits = append(mch.edits, sb.String()+"[end]\n")
}

// read lets a process read the platform, which may serve any older revision.
func (mch *spreadMachine) read(t *rapid.T) {
	if len(mch.edits) == 0 {
		t.Skip()
	}
	at := rapid.IntRange(0, len(mch.edits)-1).Draw(t, "revision")
	raw := mch.edits[at]
	if rapid.IntRange(0, 3).Draw(t, "damage") == 0 {
		raw = raw[:len(raw)/2]
	}
	mch.rules.offer(mch.stores[mch.index(t, "reader")], uint64(at+1), []byte(raw), epoch)
}

// exchange sends what one process has to another, as of a version that the
// other one had at some time.
func (mch *spreadMachine) exchange(t *rapid.T) {
	from, to := mch.index(t, "from"), mch.index(t, "to")
	have := mch.stores[to].Version(lists.CustomersName)
	if rapid.Bool().Draw(t, "oldDigest") {
		have = spread.Version{}
	}
	if upd, ok := mch.stores[from].UpdateFor(lists.CustomersName, have); ok {
		mch.mail = append(mch.mail, letter{to, upd})
	}
}

// deliver hands over any letter; some stay in the network to come again.
func (mch *spreadMachine) deliver(t *rapid.T) {
	if len(mch.mail) == 0 {
		t.Skip()
	}
	at := rapid.IntRange(0, len(mch.mail)-1).Draw(t, "letter")
	ltr := mch.mail[at]
	mch.rules.apply(mch.stores[ltr.to], ltr.upd, epoch)
	if rapid.Bool().Draw(t, "once") {
		mch.mail = append(mch.mail[:at], mch.mail[at+1:]...)
	}
}

func (mch *spreadMachine) restart(t *rapid.T) {
	at := mch.index(t, "node")
	mch.stores[at] = spread.NewStore()
	mch.seen[at] = 0
}

// check is the oracle: no process goes back, and what is in force is what the
// operators published under that revision.
func (mch *spreadMachine) check(t *rapid.T) {
	for i, sto := range mch.stores {
		revision := sto.Version(lists.CustomersName).Revision()
		if revision < mch.seen[i] {
			t.Fatalf("process %d went back from revision %d to %d", i, mch.seen[i], revision)
		}
		mch.seen[i] = revision
		if revision == 0 {
			continue
		}
		if got, want := mch.textOf(sto), mch.edits[revision-1]; got != want {
			t.Fatalf("process %d has %q in force as revision %d, which is %q", i, got, revision, want)
		}
	}
}

func (mch *spreadMachine) textOf(sto *spread.Store) string {
	var sb strings.Builder
	for _, cu := range sto.List(lists.CustomersName).(*lists.Customers).All() {
		fmt.Fprintf(&sb, "[customer %s]\nplan = %s\ncertificate = %s\n", cu.Name(), cu.Plan(), cu.Certificate())
	}
	return sb.String() + "[end]\n"
}

// settle lets every pair exchange until nothing changes, and checks that all
// agree on the highest revision that any of them had.
func (mch *spreadMachine) settle(t *rapid.T) {
	var most uint64
	for _, sto := range mch.stores {
		most = max(most, sto.Version(lists.CustomersName).Revision())
	}
	for range 2 {
		for _, from := range mch.stores {
			for _, to := range mch.stores {
				mch.sync(from, to)
			}
		}
	}
	for i, sto := range mch.stores {
		if got := sto.Version(lists.CustomersName).Revision(); got != most {
			t.Fatalf("process %d has revision %d after the exchange, not %d", i, got, most)
		}
	}
}

// sync is what two processes do: a patch, and the whole list when it does not fit.
func (mch *spreadMachine) sync(from, to *spread.Store) {
	for _, have := range []spread.Version{to.Version(lists.CustomersName), {}} {
		upd, ok := from.UpdateFor(lists.CustomersName, have)
		if !ok || !to.Version(lists.CustomersName).Less(upd.Version()) {
			return
		}
		mch.rules.apply(to, upd, epoch)
	}
}

func spreadProperty(rules storeRules) func(*rapid.T) {
	return func(t *rapid.T) {
		mch := newSpreadMachine(rules)
		t.Repeat(map[string]func(*rapid.T){
			"edit": mch.edit, "read": mch.read, "exchange": mch.exchange,
			"deliver": mch.deliver, "restart": mch.restart, "": mch.check,
		})
		mch.settle(t)
	}
}

func TestListsNeverRevert(t *testing.T) { rapid.Check(t, spreadProperty(realStore())) }

func TestSpreadOracleCatches(t *testing.T) {
	mutants := map[string]func(*storeRules){
		"lower revision taken from the platform": func(rls *storeRules) {
			rls.offer = func(sto *spread.Store, revision uint64, raw []byte, now time.Time) spread.Result {
				if revision < sto.Version(lists.CustomersName).Revision() {
					*sto = *spread.NewStore()
				}
				return sto.Offer(lists.CustomersName, revision, raw, now)
			}
		},
		"lower revision taken from a peer": func(rls *storeRules) {
			rls.apply = func(sto *spread.Store, upd spread.Update, now time.Time) spread.Result {
				if upd.Base() == (spread.Version{}) {
					*sto = *spread.NewStore()
				}
				return sto.Apply(upd, now)
			}
		},
		"updates of peers ignored": func(rls *storeRules) {
			rls.apply = func(*spread.Store, spread.Update, time.Time) spread.Result { return spread.Kept{} }
		},
		"half a list taken as whole": func(rls *storeRules) {
			rls.offer = func(sto *spread.Store, revision uint64, raw []byte, now time.Time) spread.Result {
				text := string(raw)
				if at := strings.LastIndex(text, "[customer"); at > 0 && !strings.HasSuffix(text, "[end]\n") {
					text = text[:at] + "[end]\n"
				}
				return sto.Offer(lists.CustomersName, revision, []byte(text), now)
			}
		},
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			rules := realStore()
			mutate(&rules)
			assertCaught(t, spreadProperty(rules))
		})
	}
}
