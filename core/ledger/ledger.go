// Package ledger records the outcome of each piece of work, so that no work runs
// twice and callers can fetch the answer later.
package ledger

import (
	"time"

	"lagoondrum/core/relay"
)

// Limits of the ledger.
const (
	MaxEntries  = 1 << 15
	MaxBytes    = 48 << 20         // Bytes of the bodies of all kept answers.
	OutcomeTTL  = 2 * time.Minute  // An outcome is kept this long after the deadline of its work.
	SessionTTL  = 10 * time.Minute // A session is kept this long after its connection ended.
	MaxSessions = 1 << 16
)

// Ledger holds the sessions and the work of one agent incarnation.
type Ledger struct {
	owner       Owner
	sessions    map[uint32]*session
	entries     map[ID]*entry
	lastSession uint32
	answerBytes int
}

type session struct {
	open          bool
	deadline      time.Time // When a closed session is removed.
	forgottenUpTo uint32    // Work without an entry whose counter is up to this one may have run or was refused.
}

type entry struct {
	outcome  relay.Outcome
	started  bool
	attempt  Attempt // The newest attempt; 0 before the first.
	deadline time.Time
	answer   Answer
}

// Attempt is the number of a start of one piece of work, from 1.
type Attempt uint32

// Answer is an answer of an upstream.
type Answer struct {
	status int
	header map[string][]string
	body   []byte
}

// NewAnswer returns an answer with an HTTP status, header and complete body.
func NewAnswer(status int, header map[string][]string, body []byte) Answer {
	return Answer{status, header, body}
}

// Status returns the HTTP status.
func (ans Answer) Status() int { return ans.status }

// Header returns the header fields.
func (ans Answer) Header() map[string][]string { return ans.header }

// Body returns the complete body.
func (ans Answer) Body() []byte { return ans.body }

// Verdict is the result of Begin: Fresh, Known, OtherOwner, Forgotten or Full.
type Verdict interface{ verdict() }

// Fresh says that the work is new and is now recorded: it may be started.
type Fresh struct{}

// Known says that the work was begun before, with its outcome so far.
type Known struct {
	Outcome relay.Outcome
	Answer  Answer
}

// OtherOwner says that another agent or incarnation owns the work.
type OtherOwner struct{ Owner Owner }

// Forgotten says that the record of the work is gone: it may have run.
type Forgotten struct{}

// Full says that the ledger has no room for the work, which did not run.
type Full struct{}

func (Fresh) verdict()      {}
func (Known) verdict()      {}
func (OtherOwner) verdict() {}
func (Forgotten) verdict()  {}
func (Full) verdict()       {}

// New returns the empty ledger of an owner.
func New(owner Owner) *Ledger {
	return &Ledger{owner: owner, sessions: make(map[uint32]*session), entries: make(map[ID]*entry)}
}

// Owner returns the agent incarnation that the ledger belongs to.
func (ldg *Ledger) Owner() Owner { return ldg.owner }

// Len returns the number of recorded pieces of work.
func (ldg *Ledger) Len() int { return len(ldg.entries) }

// Bytes returns the total size of the bodies of kept answers.
func (ldg *Ledger) Bytes() int { return ldg.answerBytes }

// Open starts a session for a caller's connection, or reports false when there
// are MaxSessions already.
func (ldg *Ledger) Open() (Session, bool) {
	if len(ldg.sessions) >= MaxSessions {
		return Session{}, false
	}
	ldg.lastSession++
	ldg.sessions[ldg.lastSession] = &session{open: true}
	return Session{ldg.owner, ldg.lastSession}, true
}

// Close records that the connection of a session ended.
func (ldg *Ledger) Close(ses Session, now time.Time) {
	if rec, ok := ldg.sessions[ses.number]; ok {
		rec.open = false
		rec.deadline = now.Add(SessionTTL)
	}
}

// Begin records new work that has to end by deadline. Any verdict but Fresh says
// why the work was not recorded.
func (ldg *Ledger) Begin(id ID, deadline time.Time) Verdict {
	if id.Owner() != ldg.owner {
		return OtherOwner{id.Owner()}
	}
	if en, ok := ldg.entries[id]; ok {
		return Known{en.outcome, en.answer}
	}
	ses, ok := ldg.sessions[id.session.number]
	if !ok || id.counter <= ses.forgottenUpTo {
		return Forgotten{}
	}
	if len(ldg.entries) >= MaxEntries || ldg.answerBytes >= MaxBytes {
		ses.forgottenUpTo = id.counter // The caller is told that the work did not run, so a later copy must not run either.
		return Full{}
	}
	ldg.entries[id] = &entry{deadline: deadline}
	return Fresh{}
}

// Start reports whether work may be sent to an upstream now, and returns the number
// of the attempt. After it returned true it returns false until Release, and it
// always returns false from the deadline on.
func (ldg *Ledger) Start(id ID, now time.Time) (Attempt, bool) {
	en, ok := ldg.entries[id]
	if !ok || en.started || en.outcome != relay.Pending || !now.Before(en.deadline) {
		return 0, false
	}
	en.started = true
	en.attempt++
	return en.attempt, true
}

// Release records that an attempt provably did not run the work, so that it may be
// started again, possibly at another upstream. It is ignored for any attempt but
// the newest.
func (ldg *Ledger) Release(id ID, att Attempt) {
	if en, ok := ldg.entries[id]; ok && en.outcome == relay.Pending && en.attempt == att {
		en.started = false
	}
}

// Finish records the outcome of work. A recorded outcome never changes. NotRun for
// work that is started is recorded as Unknown, as Release was not called for it.
func (ldg *Ledger) Finish(id ID, out relay.Outcome, ans Answer) {
	en, ok := ldg.entries[id]
	if !ok || en.outcome != relay.Pending {
		return
	}
	if out == relay.NotRun && en.started {
		out = relay.Unknown
	}
	en.outcome = out
	en.answer = ans
	ldg.answerBytes += len(ans.body)
}

// Lookup returns the outcome of a piece of work so far, if it is recorded.
func (ldg *Ledger) Lookup(id ID) (Known, bool) {
	en, ok := ldg.entries[id]
	if !ok {
		return Known{}, false
	}
	return Known{en.outcome, en.answer}, true
}

// Sweep removes outcomes and sessions whose time has expired. Pending work stays.
func (ldg *Ledger) Sweep(now time.Time) {
	for id, en := range ldg.entries {
		if en.outcome != relay.Pending && !now.Before(en.deadline.Add(OutcomeTTL)) {
			ldg.forget(id, en)
		}
	}
	for number, ses := range ldg.sessions {
		if !ses.open && !now.Before(ses.deadline) {
			delete(ldg.sessions, number)
		}
	}
}

// forget removes the record of a piece of work. From then on its counter counts as
// forgotten, as do lower ones of its session that have no record.
func (ldg *Ledger) forget(id ID, en *entry) {
	ldg.answerBytes -= len(en.answer.body)
	delete(ldg.entries, id)
	if ses, ok := ldg.sessions[id.session.number]; ok {
		ses.forgottenUpTo = max(ses.forgottenUpTo, id.counter)
	}
}
