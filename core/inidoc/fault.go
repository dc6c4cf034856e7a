package inidoc

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one reason why a document is refused.
type Fault struct {
	file   string
	line   int
	reason string
}

// Faults is the error that lists every fault of one document.
type Faults struct {
	file   string
	faults []Fault
}

// syntaxError is a syntax error at a line.
type syntaxError struct {
	line   int
	reason string
}

// NewFaults returns an empty collection for a document called file.
func NewFaults(file string) *Faults { return &Faults{file: file} }

// Add records a fault at a line, counted from 1; 0 means the whole file.
func (fs *Faults) Add(line int, reason string) {
	fs.faults = append(fs.faults, Fault{fs.file, line, reason})
}

// Join adds the faults of err if it is a *Faults.
func (fs *Faults) Join(err error) {
	if earlier, ok := err.(*Faults); ok {
		fs.faults = append(fs.faults, earlier.faults...)
	}
}

// Err sorts the faults by line and returns them as an error, or nil when there are
// none.
func (fs *Faults) Err() error {
	if len(fs.faults) == 0 {
		return nil
	}
	sort.SliceStable(fs.faults, func(i, j int) bool { return fs.faults[i].line < fs.faults[j].line })
	return fs
}

// All returns the faults, in line order once Err was called.
func (fs *Faults) All() []Fault { return fs.faults }

// Error returns one line for each fault.
func (fs *Faults) Error() string {
	lines := make([]string, 0, len(fs.faults))
	for _, fault := range fs.faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// File returns the name of the document.
func (fault Fault) File() string { return fault.file }

// Line returns the line, counted from 1.
func (fault Fault) Line() int { return fault.line }

// Reason returns why the line is refused.
func (fault Fault) Reason() string { return fault.reason }

// String returns the fault as FILE:LINE: REASON, the format of compilers.
func (fault Fault) String() string {
	return fmt.Sprintf("%s:%d: %s", fault.file, fault.line, fault.reason)
}

func (se *syntaxError) Error() string { return se.reason }
