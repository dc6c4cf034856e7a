package feed_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lagoondrum/core/lists"
	"lagoondrum/core/table"
	"lagoondrum/io/feed"
	"lagoondrum/io/stats"
)

// customers returns a valid list of one customer named c and num.
func customers(num int) []byte {
	return fmt.Appendf(nil, "[customer c%d]\nplan = gold\ncertificate = c\n[end]\n", num)
}

func newLists() *feed.Lists { return feed.New(table.Locality{}, stats.New("test"), zap.NewNop()) }

// TestSlowSubscriberDoesNotBringBackAnOldList adopts a second revision while a
// subscriber is still handling the first. The subscriber's last call must see the
// second revision; with overlapping calls the delayed first one would end last and
// restore the old list.
func TestSlowSubscriberDoesNotBringBackAnOldList(t *testing.T) {
	lst := newLists()
	var mu sync.Mutex
	lastSeen, calls := uint64(0), 0
	busy, release := make(chan struct{}), make(chan struct{})
	lst.Subscribe(func(name lists.Name) {
		seen := lst.Version(name).Revision()
		mu.Lock()
		calls++
		first := calls == 1
		mu.Unlock()
		if first {
			close(busy)
			<-release
		}
		mu.Lock()
		defer mu.Unlock()
		lastSeen = seen
	})
	var wait sync.WaitGroup
	wait.Go(func() { lst.Offer(lists.CustomersName, 1, customers(1), time.Now()) })
	<-busy
	wait.Go(func() { lst.Offer(lists.CustomersName, 2, customers(2), time.Now()) })
	for lst.Version(lists.CustomersName).Revision() < 2 {
		time.Sleep(time.Millisecond)
	}
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	wait.Wait()
	assert.Equal(t, lastSeen, uint64(2))
}

// TestRefusedEditIsSeenAndChangesNothing checks that an invalid revision is reported
// in the state, leaves the list in force unchanged, and is no longer reported after
// the next valid revision.
func TestRefusedEditIsSeenAndChangesNothing(t *testing.T) {
	lst := newLists()
	lst.Offer(lists.CustomersName, 1, customers(1), time.Now())
	lst.Offer(lists.CustomersName, 2, []byte("[customer a]\n"), time.Now())
	sta := lst.State(lists.CustomersName)
	assert.Equal(t, sta.Version().Revision(), uint64(1))
	assert.Equal(t, sta.Refusal().Revision(), uint64(2))
	lst.Offer(lists.CustomersName, 3, customers(3), time.Now())
	assert.Assert(t, lst.State(lists.CustomersName).Refusal() == nil)
}

func TestLowerRevisionIsNotTaken(t *testing.T) {
	lst := newLists()
	lst.Offer(lists.CustomersName, 5, customers(5), time.Now())
	lst.Offer(lists.CustomersName, 4, customers(4), time.Now())
	assert.Equal(t, lst.Customers().All()[0].Name(), "c5")
}
