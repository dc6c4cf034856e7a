package gossip

import (
	"fmt"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lagoondrum/core/epoch"
	"lagoondrum/core/mirror"
)

// OldEraError reports an answer of the platform in an earlier era than one that is
// known. It is not applied.
type OldEraError struct{ told, known uint64 }

func (err *OldEraError) Error() string {
	return fmt.Sprintf("gossip: platform answered in era %d after era %d", err.told, err.known)
}

// logged is a position in a log line.
type logged mirror.Position

// MarshalLogObject adds the revision, and the era unless it is 0.
func (lgd logged) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	pos := mirror.Position(lgd)
	enc.AddUint64("revision", pos.Revision())
	if pos.Era() > 0 {
		enc.AddUint64("era", pos.Era())
	}
	return nil
}

// LogPosition returns the fields of a position for a log line.
func LogPosition(pos mirror.Position) zap.Field { return zap.Inline(logged(pos)) }

// SetClassify sets how items are told apart over a return of the store. It must be
// called before Serve.
func (rep *Replica) SetClassify(cls mirror.Classify) { rep.mirror.SetClassify(cls) }

// noteEra logs a change of the era and what was judged. The caller holds mu.
func (rep *Replica) noteEra(before, position mirror.Position, now time.Time) {
	if before.Era() != position.Era() {
		rep.recovery = epoch.Begin(now)
		rep.policy.NoteReturned(now)
		if before != 0 {
			rep.eraChanges++
			rep.log.Info("era changed", zap.Uint64("from", before.Era()), zap.Uint64("formerRevision", before.Revision()),
				LogPosition(position), zap.Int("itemsHeld", rep.mirror.Held()))
		}
	}
	for _, jdg := range rep.mirror.TakeJudgements() {
		fields := []zap.Field{zap.String("key", jdg.Key()), zap.Uint64("knownEra", jdg.Known().Era()), zap.Uint64("knownRevision", jdg.Known().Revision()), LogPosition(position)}
		switch vdt := jdg.Verdict().(type) {
		case epoch.Hold:
			rep.log.Info("item held", append(fields, zap.String("reason", vdt.Reason()), zap.Bool("expires", vdt.Expires()))...)
		case epoch.Doubt:
			rep.log.Info("item doubted", append(fields, zap.String("reason", vdt.Reason()))...)
		case epoch.Take:
		}
	}
}

// settle deletes the held items that the store has lacked for so long that they count
// as deleted.
func (rep *Replica) settle(now time.Time) {
	rep.applyMu.Lock()
	defer rep.applyMu.Unlock()
	rep.mu.Lock()
	rep.recovery = rep.recovery.Confirm(rep.policy.ConfirmedAt())
	applied := rep.mirror.Settle(rep.recovery)
	position := rep.mirror.Position()
	rep.mu.Unlock()
	if len(applied) == 0 {
		return
	}
	for _, itm := range applied {
		rep.log.Info("held item dropped", zap.String("key", itm.Key()), LogPosition(position))
	}
	rep.apply(News{items: applied, origin: Settled{}, position: position}, now)
}

// Held returns the number of items that are kept from an earlier era.
func (rep *Replica) Held() int {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.mirror.Held()
}

// EraChanges returns how often the store has returned from a copy since the process
// started.
func (rep *Replica) EraChanges() uint64 {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.eraChanges
}
