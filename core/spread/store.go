// Package spread keeps the highest valid revision of every list, makes the
// updates that bring a peer up to date, and decides who reads the platform and
// who talks to whom.
package spread

import (
	"bytes"
	"sort"
	"time"

	"lagoondrum/core/lists"
	"lagoondrum/core/text"
)

// Version identifies one state of a list.
type Version struct {
	revision uint64
	hash     uint64
}

// NewVersion returns the version with a revision and the hash of its text.
func NewVersion(revision, hash uint64) Version { return Version{revision, hash} }

// Revision returns the platform's revision number.
func (ver Version) Revision() uint64 { return ver.revision }

// Hash returns the hash of the canonical text.
func (ver Version) Hash() uint64 { return ver.hash }

// Less orders versions: by revision, equal ones by hash, so that all processes
// settle on the same one of two texts that claim one revision.
func (ver Version) Less(other Version) bool {
	if ver.revision != other.revision {
		return ver.revision < other.revision
	}
	return ver.hash < other.hash
}

// Result is what became of an offered list: Adopted, Kept, Older or Refused.
type Result interface{ result() }

// Adopted says that the offered list is in force now.
type Adopted struct {
	List lists.List
	From Version
}

// Kept says that the offered list was in force already.
type Kept struct{}

// Older says that a higher revision is in force.
type Older struct{ InForce Version }

// Refused says that the offered list is not valid.
type Refused struct{ Err error }

func (Adopted) result() {}
func (Kept) result()    {}
func (Older) result()   {}
func (Refused) result() {}

// Store holds the lists in force at one process.
type Store struct {
	held      map[lists.Name]*held
	confirmed time.Time
}

type held struct {
	version  Version
	sections map[string]string
	list     lists.List
	history  []patch
	since    time.Time
}

// NewStore returns a store without lists.
func NewStore() *Store { return &Store{held: make(map[lists.Name]*held)} }

// Version returns the version of a list in force, zero when there is none.
func (sto *Store) Version(name lists.Name) Version {
	if hld, ok := sto.held[name]; ok {
		return hld.version
	}
	return Version{}
}

// List returns the list in force, nil when there is none.
func (sto *Store) List(name lists.Name) lists.List {
	if hld, ok := sto.held[name]; ok {
		return hld.list
	}
	return nil
}

// Since returns when the list in force was adopted.
func (sto *Store) Since(name lists.Name) time.Time {
	if hld, ok := sto.held[name]; ok {
		return hld.since
	}
	return time.Time{}
}

// Complete reports whether every list is in force.
func (sto *Store) Complete() bool { return len(sto.held) == len(lists.Names()) }

// Confirm records that a reader compared the lists with the platform at a time.
func (sto *Store) Confirm(at time.Time) {
	if at.After(sto.confirmed) {
		sto.confirmed = at
	}
}

// Confirmed returns when a reader last compared the lists with the platform.
func (sto *Store) Confirmed() time.Time { return sto.confirmed }

// Offer takes a list as the platform publishes it.
func (sto *Store) Offer(name lists.Name, revision uint64, raw []byte, now time.Time) Result {
	current := sto.Version(name)
	if revision < current.revision {
		return Older{current}
	}
	list, err := lists.Parse(name, raw)
	if err != nil {
		return Refused{err}
	}
	doc, err := text.Parse(string(name), raw, true)
	if err != nil {
		return Refused{err}
	}
	return sto.adopt(name, revision, sectionsOf(doc), list, now)
}

func (sto *Store) adopt(name lists.Name, revision uint64, secs map[string]string, list lists.List, now time.Time) Result {
	next := Version{revision, hashOf(canonical(secs))}
	current := sto.Version(name)
	if current == next {
		return Kept{}
	}
	if next.Less(current) {
		return Older{current}
	}
	hld := &held{version: next, sections: secs, list: list, since: now}
	if old, ok := sto.held[name]; ok {
		hld.history = old.extend(next, secs)
	}
	sto.held[name] = hld
	return Adopted{List: list, From: current}
}

// sectionsOf returns the canonical text of each section by its title.
func sectionsOf(doc *text.Doc) map[string]string {
	secs := make(map[string]string, len(doc.Sections()))
	for _, sec := range doc.Sections() {
		secs[sec.Title()] = sec.Text()
	}
	return secs
}

// canonical returns the text of a list with its sections in title order.
func canonical(secs map[string]string) []byte {
	titles := make([]string, 0, len(secs))
	for title := range secs {
		titles = append(titles, title)
	}
	sort.Strings(titles)
	var buf bytes.Buffer
	for _, title := range titles {
		buf.WriteString(secs[title])
	}
	buf.WriteString("[" + text.EndSection + "]\n")
	return buf.Bytes()
}
