package dissem

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"lagoondrum/core/inidoc"
	"lagoondrum/core/lists"
)

// maxHistory is the number of patches kept for each list. A peer with an older
// version gets the whole list.
const maxHistory = 64

// Update brings one list of a peer to a version. It is a patch of the base
// version, or the whole list when the base is zero.
type Update struct {
	name    lists.Name
	base    Version
	version Version
	changed []string
	removed []string
}

// patch names the sections that differ between a version and the next one, by
// title.
type patch struct {
	from    Version
	changed []string
	removed []string
}

// BaseMismatchError reports an update whose base is not in force here, or whose
// result does not have the announced hash. The whole list has to be requested.
type BaseMismatchError struct {
	name lists.Name
	base Version
}

func (err *BaseMismatchError) Error() string {
	return fmt.Sprintf("update of list %s from revision %d does not apply: base not in force or hash mismatch", err.name, err.base.revision)
}

// NewUpdate returns an update received from a peer. changed holds the canonical
// texts of sections, removed holds titles.
func NewUpdate(name lists.Name, base, version Version, changed, removed []string) Update {
	return Update{name: name, base: base, version: version, changed: changed, removed: removed}
}

// Name returns the name of the updated list.
func (upd Update) Name() lists.Name { return upd.name }

// Base returns the version that the patch applies to, zero for a whole list.
func (upd Update) Base() Version { return upd.base }

// Version returns the version after the update.
func (upd Update) Version() Version { return upd.version }

// Changed returns the canonical texts of new and changed sections.
func (upd Update) Changed() []string { return upd.changed }

// Removed returns the titles of removed sections.
func (upd Update) Removed() []string { return upd.removed }

// UpdateFor returns the update for a peer that has a version of a list, and
// reports whether the peer needs one.
func (sto *Store) UpdateFor(name lists.Name, have Version) (Update, bool) {
	ent, ok := sto.entries[name]
	if !ok || !have.Less(ent.version) {
		return Update{}, false
	}
	if upd, ok := ent.updateSince(name, have); ok {
		return upd, true
	}
	return ent.fullUpdate(name), true
}

// Apply applies an update from a peer. The error inside a Refused result is a
// *BaseMismatchError when the whole list has to be requested.
func (sto *Store) Apply(upd Update, now time.Time) Result {
	current := sto.Version(upd.name)
	if current == upd.version {
		return Unchanged{}
	}
	if upd.version.Less(current) {
		return Outdated{current}
	}
	if upd.base != (Version{}) && upd.base != current {
		return Refused{&BaseMismatchError{upd.name, upd.base}}
	}
	raw := canonicalText(sto.patchedSections(upd))
	doc, err := inidoc.Parse(string(upd.name), raw, true)
	if err != nil {
		return Refused{err}
	}
	list, err := lists.Parse(upd.name, raw)
	if err != nil {
		return Refused{err}
	}
	if hashOf(raw) != upd.version.hash {
		return Refused{&BaseMismatchError{upd.name, upd.base}}
	}
	return sto.adopt(upd.name, upd.version.revision, sectionsOf(doc), list, now)
}

// patchedSections returns the sections of a list after an update, by title.
func (sto *Store) patchedSections(upd Update) map[string]string {
	secs := make(map[string]string)
	if ent, ok := sto.entries[upd.name]; ok && upd.base != (Version{}) {
		for title, body := range ent.sections {
			secs[title] = body
		}
	}
	for _, body := range upd.changed {
		secs[titleOf(body)] = body
	}
	for _, title := range upd.removed {
		delete(secs, title)
	}
	return secs
}

// titleOf returns the title of a section, given its canonical text.
func titleOf(body string) string {
	line, _, _ := strings.Cut(body, "\n")
	return strings.TrimSuffix(strings.TrimPrefix(line, "["), "]")
}

// extendHistory returns the history with the patch from ent to the next sections
// appended, cut to the newest maxHistory patches.
func (ent *entry) extendHistory(next Version, secs map[string]string) []patch {
	pat := patch{from: ent.version}
	for title, body := range secs {
		if ent.sections[title] != body {
			pat.changed = append(pat.changed, title)
		}
	}
	for title := range ent.sections {
		if _, ok := secs[title]; !ok {
			pat.removed = append(pat.removed, title)
		}
	}
	history := append(append([]patch(nil), ent.history...), pat)
	return history[max(0, len(history)-maxHistory):]
}

// updateSince merges the patches since a version into one update. It reports
// false when the history does not hold that version.
func (ent *entry) updateSince(name lists.Name, have Version) (Update, bool) {
	start := -1
	for i, pat := range ent.history {
		if pat.from == have {
			start = i
		}
	}
	if start < 0 {
		return Update{}, false
	}
	titles := make(map[string]bool)
	for _, pat := range ent.history[start:] {
		for _, title := range append(pat.changed, pat.removed...) {
			titles[title] = true
		}
	}
	upd := Update{name: name, base: have, version: ent.version}
	upd.addSections(titles, ent.sections)
	return upd, true
}

// addSections adds the sections with the given titles: those in secs as changed,
// the others as removed.
func (upd *Update) addSections(titles map[string]bool, secs map[string]string) {
	for title := range titles {
		if body, ok := secs[title]; ok {
			upd.changed = append(upd.changed, body)
			continue
		}
		upd.removed = append(upd.removed, title)
	}
	sort.Strings(upd.changed)
	sort.Strings(upd.removed)
}

// fullUpdate returns an update with the whole list.
func (ent *entry) fullUpdate(name lists.Name) Update {
	upd := Update{name: name, version: ent.version}
	for _, body := range ent.sections {
		upd.changed = append(upd.changed, body)
	}
	sort.Strings(upd.changed)
	return upd
}
