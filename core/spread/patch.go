package spread

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"lagoondrum/core/lists"
	"lagoondrum/core/text"
)

// maxHistory is how many patches are kept for each list.
const maxHistory = 64

// Update brings one list of a peer to a version: from a base by a patch, or
// whole when the base is zero.
type Update struct {
	name    lists.Name
	base    Version
	version Version
	changed []string
	removed []string
}

// patch is the difference between two consecutive versions, by titles.
type patch struct {
	from    Version
	changed []string
	removed []string
}

// BaseError reports a patch whose base is not in force here, or whose result
// has another hash than it claims. The whole list is needed.
type BaseError struct {
	name lists.Name
	base Version
}

func (err *BaseError) Error() string {
	return fmt.Sprintf("patch of %s does not fit on revision %d", err.name, err.base.revision)
}

// NewUpdate returns an update as it came from a peer. The changed sections are
// canonical texts; the removed ones are titles.
func NewUpdate(name lists.Name, base, version Version, changed, removed []string) Update {
	return Update{name: name, base: base, version: version, changed: changed, removed: removed}
}

// Name returns which list is updated.
func (upd Update) Name() lists.Name { return upd.name }

// Base returns the version that the patch needs, zero for a whole list.
func (upd Update) Base() Version { return upd.base }

// Version returns the version after the update.
func (upd Update) Version() Version { return upd.version }

// Changed returns the canonical texts of new and changed sections.
func (upd Update) Changed() []string { return upd.changed }

// Removed returns the titles of removed sections.
func (upd Update) Removed() []string { return upd.removed }

// UpdateFor returns the update for a peer that has a version of a list, and
// whether it needs one.
func (sto *Store) UpdateFor(name lists.Name, have Version) (Update, bool) {
	hld, ok := sto.held[name]
	if !ok || !have.Less(hld.version) {
		return Update{}, false
	}
	if upd, ok := hld.patchFrom(name, have); ok {
		return upd, true
	}
	return hld.whole(name), true
}

// Apply takes an update from a peer. The error inside a Refused result is a
// *BaseError when the whole list has to be asked for.
func (sto *Store) Apply(upd Update, now time.Time) Result {
	current := sto.Version(upd.name)
	if current == upd.version {
		return Kept{}
	}
	if upd.version.Less(current) {
		return Older{current}
	}
	if upd.base != (Version{}) && upd.base != current {
		return Refused{&BaseError{upd.name, upd.base}}
	}
	raw := canonical(sto.patched(upd))
	doc, err := text.Parse(string(upd.name), raw, true)
	if err != nil {
		return Refused{err}
	}
	list, err := lists.Parse(upd.name, raw)
	if err != nil {
		return Refused{err}
	}
	if hashOf(raw) != upd.version.hash {
		return Refused{&BaseError{upd.name, upd.base}}
	}
	return sto.adopt(upd.name, upd.version.revision, sectionsOf(doc), list, now)
}

func (sto *Store) patched(upd Update) map[string]string {
	secs := make(map[string]string)
	if hld, ok := sto.held[upd.name]; ok && upd.base != (Version{}) {
		for title, body := range hld.sections {
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

// titleOf returns the title of a section's canonical text.
func titleOf(body string) string {
	line, _, _ := strings.Cut(body, "\n")
	return strings.TrimSuffix(strings.TrimPrefix(line, "["), "]")
}

// extend returns the history after a step from hld to the next sections.
func (hld *held) extend(next Version, secs map[string]string) []patch {
	pat := patch{from: hld.version}
	for title, body := range secs {
		if hld.sections[title] != body {
			pat.changed = append(pat.changed, title)
		}
	}
	for title := range hld.sections {
		if _, ok := secs[title]; !ok {
			pat.removed = append(pat.removed, title)
		}
	}
	history := append(append([]patch(nil), hld.history...), pat)
	return history[max(0, len(history)-maxHistory):]
}

// patchFrom joins the steps since a version into one update.
func (hld *held) patchFrom(name lists.Name, have Version) (Update, bool) {
	start := -1
	for i, pat := range hld.history {
		if pat.from == have {
			start = i
		}
	}
	if start < 0 {
		return Update{}, false
	}
	touched := make(map[string]bool)
	for _, pat := range hld.history[start:] {
		for _, title := range append(pat.changed, pat.removed...) {
			touched[title] = true
		}
	}
	upd := Update{name: name, base: have, version: hld.version}
	upd.fill(touched, hld.sections)
	return upd, true
}

func (upd *Update) fill(touched map[string]bool, secs map[string]string) {
	for title := range touched {
		if body, ok := secs[title]; ok {
			upd.changed = append(upd.changed, body)
			continue
		}
		upd.removed = append(upd.removed, title)
	}
	sort.Strings(upd.changed)
	sort.Strings(upd.removed)
}

func (hld *held) whole(name lists.Name) Update {
	upd := Update{name: name, version: hld.version}
	for _, body := range hld.sections {
		upd.changed = append(upd.changed, body)
	}
	sort.Strings(upd.changed)
	return upd
}
