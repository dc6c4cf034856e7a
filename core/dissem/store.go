// Package dissem distributes the lists among the processes, where callers speak
// QUIC. The lists come from the platform: the users' configuration store, which the
// processes only read. The package keeps the highest valid revision of every list,
// computes the updates for peers, and selects the processes that read the platform
// and the peers of each process. Package mirror does the same where callers send
// packets in the platform's own format.
package dissem

import (
	"bytes"
	"sort"
	"time"

	"lagoondrum/core/inidoc"
	"lagoondrum/core/lists"
)

// Version identifies one state of a list by the platform's revision and a hash.
type Version struct {
	revision uint64
	hash     uint64
}

// NewVersion returns the version with a revision and the hash of its canonical
// text.
func NewVersion(revision, hash uint64) Version { return Version{revision, hash} }

// Revision returns the platform's revision number.
func (ver Version) Revision() uint64 { return ver.revision }

// Hash returns the hash of the canonical text.
func (ver Version) Hash() uint64 { return ver.hash }

// Less orders versions by revision, and equal revisions by hash, so that all
// processes choose the same one of two texts with the same revision.
func (ver Version) Less(other Version) bool {
	if ver.revision != other.revision {
		return ver.revision < other.revision
	}
	return ver.hash < other.hash
}

// Result is the outcome of offering a list to a store: Adopted, Unchanged,
// Outdated or Refused.
type Result interface{ result() }

// Adopted reports that the offered list is in force now. From is the version
// that it replaced.
type Adopted struct {
	List lists.List
	From Version
}

// Unchanged reports that the offered list was already in force.
type Unchanged struct{}

// Outdated reports that a higher version is in force.
type Outdated struct{ InForce Version }

// Refused reports that the offered list is not valid, or that an update does not
// apply to the list in force.
type Refused struct{ Err error }

func (Adopted) result()   {}
func (Unchanged) result() {}
func (Outdated) result()  {}
func (Refused) result()   {}

// Store holds the lists in force at one process, and when a reader last compared
// them with the platform.
type Store struct {
	entries     map[lists.Name]*entry
	confirmedAt time.Time
}

// entry is one list in force. sections holds the canonical text of each section
// by title, history the patches that led to the version, oldest first.
type entry struct {
	version   Version
	sections  map[string]string
	list      lists.List
	history   []patch
	adoptedAt time.Time
}

// NewStore returns a store without lists.
func NewStore() *Store { return &Store{entries: make(map[lists.Name]*entry)} }

// Version returns the version of a list in force, zero when there is none.
func (sto *Store) Version(name lists.Name) Version {
	if ent, ok := sto.entries[name]; ok {
		return ent.version
	}
	return Version{}
}

// List returns the list in force, nil when there is none.
func (sto *Store) List(name lists.Name) lists.List {
	if ent, ok := sto.entries[name]; ok {
		return ent.list
	}
	return nil
}

// AdoptedAt returns when the list in force was adopted.
func (sto *Store) AdoptedAt(name lists.Name) time.Time {
	if ent, ok := sto.entries[name]; ok {
		return ent.adoptedAt
	}
	return time.Time{}
}

// Complete reports whether every list is in force.
func (sto *Store) Complete() bool { return len(sto.entries) == len(lists.Names()) }

// ConfirmAt records that a reader compared the lists with the platform at a time.
// A time before the recorded one is ignored.
func (sto *Store) ConfirmAt(at time.Time) {
	if at.After(sto.confirmedAt) {
		sto.confirmedAt = at
	}
}

// ConfirmedAt returns when a reader last compared the lists with the platform.
func (sto *Store) ConfirmedAt() time.Time { return sto.confirmedAt }

// Offer puts the text of a list, as published by the platform, in force unless it
// is invalid or outdated.
func (sto *Store) Offer(name lists.Name, revision uint64, raw []byte, now time.Time) Result {
	current := sto.Version(name)
	if revision < current.revision {
		return Outdated{current}
	}
	list, err := lists.Parse(name, raw)
	if err != nil {
		return Refused{err}
	}
	doc, err := inidoc.Parse(string(name), raw, true)
	if err != nil {
		return Refused{err}
	}
	return sto.adopt(name, revision, sectionsOf(doc), list, now)
}

// adopt puts a list in force unless the version in force is the same or higher.
func (sto *Store) adopt(name lists.Name, revision uint64, secs map[string]string, list lists.List, now time.Time) Result {
	next := Version{revision, hashOf(canonicalText(secs))}
	current := sto.Version(name)
	if current == next {
		return Unchanged{}
	}
	if next.Less(current) {
		return Outdated{current}
	}
	ent := &entry{version: next, sections: secs, list: list, adoptedAt: now}
	if old, ok := sto.entries[name]; ok {
		ent.history = old.extendHistory(next, secs)
	}
	sto.entries[name] = ent
	return Adopted{List: list, From: current}
}

// sectionsOf returns the canonical text of each section by its title.
func sectionsOf(doc *inidoc.Doc) map[string]string {
	secs := make(map[string]string, len(doc.Sections()))
	for _, sec := range doc.Sections() {
		secs[sec.Title()] = sec.Text()
	}
	return secs
}

// canonicalText returns the text of a list with its sections in title order and
// the end section last.
func canonicalText(secs map[string]string) []byte {
	titles := make([]string, 0, len(secs))
	for title := range secs {
		titles = append(titles, title)
	}
	sort.Strings(titles)
	var buf bytes.Buffer
	for _, title := range titles {
		buf.WriteString(secs[title])
	}
	buf.WriteString("[" + inidoc.EndSection + "]\n")
	return buf.Bytes()
}
