// Package ledger records what became of each piece of work, so that none runs
// twice and an answer waits for its caller.
package ledger

import (
	"time"

	"lagoondrum/core/relay"
)

// Limits of the ledger.
const (
	MaxEntries  = 1 << 15
	MaxBytes    = 48 << 20         // Answers kept, in bytes.
	KeepFor     = 2 * time.Minute  // An outcome is kept this long after its deadline.
	SessionKeep = 10 * time.Minute // A session is kept this long after its connection.
	MaxSessions = 1 << 16
)

// Ledger is the record of one agent incarnation.
type Ledger struct {
	owner    Owner
	sessions map[uint32]*session
	entries  map[ID]*entry
	last     uint32
	bytes    int
}

type session struct {
	open      bool
	deadline  time.Time
	forgotten uint32
}

type entry struct {
	outcome  relay.Outcome
	started  bool
	attempt  Attempt // The newest one.
	deadline time.Time
	answer   Answer
}

// Attempt numbers the starts of one piece of work, from 1.
type Attempt uint32

// Answer is a kept answer of an upstream.
type Answer struct {
	status int
	header map[string][]string
	body   []byte
}

// NewAnswer returns an answer with an HTTP status, header and whole body.
func NewAnswer(status int, header map[string][]string, body []byte) Answer {
	return Answer{status, header, body}
}

// Status returns the HTTP status.
func (ans Answer) Status() int { return ans.status }

// Header returns the header fields.
func (ans Answer) Header() map[string][]string { return ans.header }

// Body returns the whole body.
func (ans Answer) Body() []byte { return ans.body }

// Verdict is what Begin says: Fresh, Known, Foreign, Forgotten or Full.
type Verdict interface{ verdict() }

// Fresh says that the work is new and recorded: it may go on to run.
type Fresh struct{}

// Known says that the work was begun before.
type Known struct {
	Outcome relay.Outcome
	Answer  Answer
}

// Foreign says that another incarnation owns the work.
type Foreign struct{ Owner Owner }

// Forgotten says that the work may have run long ago.
type Forgotten struct{}

// Full says that nothing more can be recorded now; the work was not run.
type Full struct{}

func (Fresh) verdict()     {}
func (Known) verdict()     {}
func (Foreign) verdict()   {}
func (Forgotten) verdict() {}
func (Full) verdict()      {}

// New returns the empty ledger of an owner.
func New(owner Owner) *Ledger {
	return &Ledger{owner: owner, sessions: make(map[uint32]*session), entries: make(map[ID]*entry)}
}

// Owner returns the incarnation that the ledger belongs to.
func (ldg *Ledger) Owner() Owner { return ldg.owner }

// Len returns how many outcomes are recorded.
func (ldg *Ledger) Len() int { return len(ldg.entries) }

// Bytes returns how many bytes of answers are kept.
func (ldg *Ledger) Bytes() int { return ldg.bytes }

// Open starts a session for a caller's connection, or reports that no more fit.
func (ldg *Ledger) Open() (Session, bool) {
	if len(ldg.sessions) >= MaxSessions {
		return Session{}, false
	}
	ldg.last++
	ldg.sessions[ldg.last] = &session{open: true}
	return Session{ldg.owner, ldg.last}, true
}

// Close records that the session's connection ended.
func (ldg *Ledger) Close(ses Session, now time.Time) {
	if rec, ok := ldg.sessions[ses.number]; ok {
		rec.open = false
		rec.deadline = now.Add(SessionKeep)
	}
}

// Begin records new work that has to end by deadline, or says what is known of it.
func (ldg *Ledger) Begin(id ID, deadline time.Time) Verdict {
	if id.Owner() != ldg.owner {
		return Foreign{id.Owner()}
	}
	if en, ok := ldg.entries[id]; ok {
		return Known{en.outcome, en.answer}
	}
	ses, ok := ldg.sessions[id.session.number]
	if !ok || id.counter <= ses.forgotten {
		return Forgotten{}
	}
	if len(ldg.entries) >= MaxEntries || ldg.bytes >= MaxBytes {
		ses.forgotten = id.counter // A late copy must not run: its caller is told that it was not.
		return Full{}
	}
	ldg.entries[id] = &entry{deadline: deadline}
	return Fresh{}
}

// Start reports whether work may be handed over now, and numbers the attempt. It
// says yes at most once for an ID until GiveBack, and never from the deadline on.
func (ldg *Ledger) Start(id ID, now time.Time) (Attempt, bool) {
	en, ok := ldg.entries[id]
	if !ok || en.started || en.outcome != relay.Pending || !now.Before(en.deadline) {
		return 0, false
	}
	en.started = true
	en.attempt++
	return en.attempt, true
}

// GiveBack records proof that an attempt did not run the work, so that it may be
// started elsewhere. Proof about an earlier attempt than the newest counts for
// nothing.
func (ldg *Ledger) GiveBack(id ID, att Attempt) {
	if en, ok := ldg.entries[id]; ok && en.outcome == relay.Pending && en.attempt == att {
		en.started = false
	}
}

// Finish records the outcome of work; the first one stays. Not run on work that
// is started becomes unknown: the proof was never given back.
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
	ldg.bytes += len(ans.body)
}

// Fetch returns what is known of a piece of work.
func (ldg *Ledger) Fetch(id ID) (Known, bool) {
	en, ok := ldg.entries[id]
	if !ok {
		return Known{}, false
	}
	return Known{en.outcome, en.answer}, true
}

// Sweep forgets outcomes and sessions past their time. What is pending stays.
func (ldg *Ledger) Sweep(now time.Time) {
	for id, en := range ldg.entries {
		if en.outcome != relay.Pending && !now.Before(en.deadline.Add(KeepFor)) {
			ldg.forget(id, en)
		}
	}
	for number, ses := range ldg.sessions {
		if !ses.open && !now.Before(ses.deadline) {
			delete(ldg.sessions, number)
		}
	}
}

func (ldg *Ledger) forget(id ID, en *entry) {
	ldg.bytes -= len(en.answer.body)
	delete(ldg.entries, id)
	if ses, ok := ldg.sessions[id.session.number]; ok {
		ses.forgotten = max(ses.forgotten, id.counter)
	}
}
