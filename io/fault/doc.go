// Package fault tests a small region under faults and planned changes. The fault
// matrix injects every fault during every activity, such as handshakes, running work
// or an edit of a list. Balancers and agents run as processes of the lagoondrum
// binary; the platform, the upstreams and the fabric are stand-ins in the test
// process.
package fault
