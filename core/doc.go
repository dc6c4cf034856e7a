// Package core holds the decisions of lagoondrum, without I/O and without a clock:
// every function is given the time. There are two ways to run.
//
// Callers with QUIC: a datagram is parsed by frame and token; route decides by table,
// health and, for first flights, steer which agent gets it. At the agent admit,
// relay and ledger decide about work, drain about leaving, and reply through which
// balancer an answer goes. The operators' lists are parsed by lists and inidoc and
// spread by dissem.
//
// Callers with packets of the platform's own: a packet is described by flow; at the
// balancer track finds its agent, with picker for new flows, fleet for what is known
// of the upstreams and intent for the routes. At the agent flows holds the flow
// table, with queue for requests that wait; encap is the datagram between both, and
// mirror the copy of the platform's state.
//
// model checks both with random events against oracles, simul compares policies
// under load.
package core
