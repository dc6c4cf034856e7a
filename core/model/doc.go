// Package model holds property-based tests. State machines run random event
// sequences through the decisions of core and check them against simple
// oracles. The events lose, delay, duplicate and reorder messages, kill, restart
// and pause processes, and inject false information. A table of mutants, each
// with one broken decision, shows that every oracle detects failures.
package model
