// Package tool implements the command-line tools of operators and callers.
package tool

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"lagoondrum/core/inidoc"
	"lagoondrum/core/lists"
	"lagoondrum/io/conf"
	"lagoondrum/io/feed"
)

// RefusedError reports files that were read but are not valid.
type RefusedError struct{ faults []string }

// Error returns one line for each fault.
func (err *RefusedError) Error() string { return strings.Join(err.faults, "\n") }

// Check reads lists and settings offline and reports every fault in them. A
// list is a file called customers, plans, vms or keys, with any extension; any
// other file holds settings. The error is a *RefusedError or an *os.PathError.
func Check(out io.Writer, files []string) error {
	chk := &checker{}
	for _, file := range files {
		if err := chk.checkFile(file); err != nil {
			return err
		}
	}
	chk.faults = append(chk.faults, feed.Mismatches(chk.customers, chk.plans, chk.vms)...)
	if len(chk.faults) > 0 {
		return &RefusedError{chk.faults}
	}
	_, err := fmt.Fprintf(out, "%d files are valid\n", len(files))
	return err
}

// checker collects the faults of the files, and the lists, so that they can be checked
// against each other.
type checker struct {
	faults    []string
	customers *lists.Customers
	plans     *lists.Plans
	vms       *lists.VMs
}

func (chk *checker) checkFile(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	name := lists.Name(strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)))
	for _, known := range lists.Names() {
		if name == known {
			chk.checkList(file, name, raw)
			return nil
		}
	}
	_, err = conf.Parse(file, raw)
	chk.addFaults(file, err)
	return nil
}

func (chk *checker) checkList(file string, name lists.Name, raw []byte) {
	list, err := lists.Parse(name, raw)
	chk.addFaults(file, err)
	switch list := list.(type) {
	case *lists.Customers:
		chk.customers = list
	case *lists.Plans:
		chk.plans = list
	case *lists.VMs:
		chk.vms = list
	case *lists.Keys:
	}
}

// addFaults adds the faults of a parsed file, if err holds any.
func (chk *checker) addFaults(file string, err error) {
	fs, ok := err.(*inidoc.Faults)
	if !ok {
		return
	}
	for _, fault := range fs.All() {
		chk.faults = append(chk.faults, fmt.Sprintf("%s:%d: %s", file, fault.Line(), fault.Reason()))
	}
}
