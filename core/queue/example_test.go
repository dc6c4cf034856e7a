package queue_test

import (
	"fmt"
	"time"

	"lagoondrum/core/flow"
	"lagoondrum/core/queue"
)

// Requests that can still meet their objective are served before a backlog of late
// ones.
func ExampleQueue() {
	const objective, answerTime = 250 * time.Millisecond, 100 * time.Millisecond
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	address := flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)
	var que queue.Queue
	add := func(port uint16, now time.Time) {
		client := flow.NewEndpoint([4]byte{100, 64, 0, 7}, port)
		pkt := flow.NewPacket(client, address, flow.Ack, 1, 1, 100)
		que.Add(queue.New(pkt.KeyFromClient(), true, flow.NewUrgency(2, objective, 0), now), queue.NewPacket(pkt, nil))
	}
	add(1001, start)
	add(1002, start)
	later := start.Add(200 * time.Millisecond)
	add(1003, later)
	pace := queue.NewPace(answerTime, answerTime/4)
	for que.Len() > 0 {
		fmt.Println(que.TakeNext(pace, later).Key().Client().Port())
	}
	// Output:
	// 1003
	// 1001
	// 1002
}
