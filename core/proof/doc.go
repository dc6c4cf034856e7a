// Package proof holds the state machines that drive the decisions of core
// against simple oracles, with an adversary that loses, delays, doubles and
// reorders messages, kills, restarts and pauses processes, and lies. Each
// oracle is shown to catch a table of broken decisions.
package proof
