// Package io holds everything that touches sockets, files and clocks, around the
// decisions of core.
//
// Both ways to run begin in proc, with settings from conf, logs, and metrics by
// stats. Callers with QUIC: entry receives datagrams at a balancer through mmsg,
// agent ends the connections beside an upstream, peer connects the processes, feed
// reads the lists, admin and tool serve the operators, caller is the Go client and
// trust holds certificates. Callers with packets of the platform's own: carry is
// both the balancer and the agent, gossip spreads the platform's state, where tells
// operators where a flow would go. fault tests the processes under faults against the
// stand-ins of stand.
package io
