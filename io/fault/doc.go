// Package fault holds the fault matrix: every fault at every step, with the
// product's processes as processes and stand-ins around them.
package fault
