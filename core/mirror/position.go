package mirror

import "fmt"

// Position orders the states of the platform's store: by the store's era, then by its
// revision. The era rises when the store returns from a copy, after which revisions
// that were given out before are given out again. A store that tells no era is in
// era 0, where a position equals the revision.
//
// A position fits the field for the revision in datagrams: the era is in the upper
// bits, so that positions are compared as numbers.
type Position uint64

// revisionBits is the number of bits of a position that hold the revision.
const revisionBits = 48

// Limits of a position. At 10,000 changes a second revisions last for 890 years.
const (
	MaxEra      = 1<<(64-revisionBits) - 1
	MaxRevision = 1<<revisionBits - 1
)

// RangeError reports an era or a revision that a position cannot hold.
type RangeError struct{ era, revision uint64 }

func (err *RangeError) Error() string {
	return fmt.Sprintf("mirror: era %d or revision %d is out of range", err.era, err.revision)
}

// At returns the position of a revision in an era. The error is a *RangeError.
func At(era, revision uint64) (Position, error) {
	if era > MaxEra || revision > MaxRevision {
		return 0, &RangeError{era, revision}
	}
	return Position(era<<revisionBits | revision), nil
}

// Era returns the store's era.
func (pos Position) Era() uint64 { return uint64(pos) >> revisionBits }

// Revision returns the store's revision.
func (pos Position) Revision() uint64 { return uint64(pos) & MaxRevision }
