package flow

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	client  = NewEndpoint([4]byte{100, 64, 0, 7}, 40001)
	service = NewEndpoint([4]byte{198, 18, 0, 1}, 443)
)

func TestKeyRoundTrip(t *testing.T) {
	var buf [KeyBytes]byte
	NewKey(client, service).Put(buf[:])
	assert.Equal(t, ParseKey(buf[:]), NewKey(client, service))
}

func TestBothDirectionsShareOneKey(t *testing.T) {
	there := NewPacket(client, service, Ack, 1, 2, 0)
	back := NewPacket(service, client, Ack, 1, 2, 0)
	assert.Equal(t, there.KeyFromClient(), back.KeyFromUpstream())
}

func TestAckInRange(t *testing.T) {
	for name, tc := range map[string]struct {
		ack, first, sent uint32
		want             bool
	}{
		"the opening":                        {101, 100, 100, true},
		"all that was sent":                  {500, 100, 500, true},
		"the end of the flow":                {502, 100, 500, true},
		"more than was sent":                 {503, 100, 500, false},
		"less than the opening":              {99, 100, 500, false},
		"sequence numbers that wrap":         {5, 1<<32 - 10, 4, true},
		"another upstream's sequence number": {1 << 30, 100, 500, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, AckInRange(tc.ack, tc.first, tc.sent), tc.want) })
	}
}

func TestSort(t *testing.T) {
	one, two := NewKey(client, service), NewKey(NewEndpoint(client.IP(), 40002), service)
	keys := []Key{two, one}
	Sort(keys)
	assert.DeepEqual(t, []string{keys[0].String(), keys[1].String()}, []string{one.String(), two.String()})
}

func ExampleKey_String() {
	fmt.Println(NewKey(client, service))
	// Output: 100.64.0.7:40001>198.18.0.1:443
}
