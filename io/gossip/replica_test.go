package gossip

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lagoondrum/core/flow"
	"lagoondrum/core/intent"
	"lagoondrum/core/mirror"
)

var errHistory = errors.New("history dropped")

// fakeStore answers from a script.
type fakeStore struct {
	mu    sync.Mutex
	state uint64
	items []mirror.Item
	fails error
	calls int
}

func (sto *fakeStore) State(context.Context) (uint64, []mirror.Item, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.calls++
	return sto.state, sto.items, nil
}

func (sto *fakeStore) Changes(_ context.Context, after uint64, _ time.Duration) (uint64, []mirror.Item, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.calls++
	if sto.fails != nil {
		return 0, nil, sto.fails
	}
	return max(after, sto.state), nil, nil
}

func (sto *fakeStore) Close() {}

// inbox collects what a replica hands on.
type inbox struct {
	mu      sync.Mutex
	keys    []string
	history intent.History
}

func (box *inbox) take(nws News, _ time.Time) {
	box.mu.Lock()
	defer box.mu.Unlock()
	for _, itm := range nws.Items() {
		box.keys = append(box.keys, itm.Key())
	}
	if tld, ok := nws.Origin().(Told); ok {
		box.history = tld.History()
	}
}

// History returns what was inherited, or is known from the start.
func (box *inbox) History(time.Time) intent.History {
	box.mu.Lock()
	defer box.mu.Unlock()
	return box.history
}

func (box *inbox) got() []string {
	box.mu.Lock()
	defer box.mu.Unlock()
	return append([]string{}, box.keys...)
}

func newReplica(sto Store) (*Replica, *inbox) {
	rep := New(sto, func(err error) bool { return errors.Is(err, errHistory) }, [4]byte{127, 0, 0, 1}, true, false, nil, zap.NewNop())
	box := &inbox{}
	rep.OnChange(box.take, box)
	return rep, box
}

func TestReadAdoptsTheWholeStateWhenTheHistoryIsLost(t *testing.T) {
	sto := &fakeStore{state: 5, items: []mirror.Item{mirror.NewItem("a", []byte("1"), 5)}}
	rep, box := newReplica(sto)
	assert.NilError(t, rep.read(context.Background()))
	sto.state, sto.items, sto.fails = 9, []mirror.Item{mirror.NewItem("b", []byte("2"), 9)}, errHistory
	assert.NilError(t, rep.read(context.Background()))
	assert.Equal(t, rep.Revision(), uint64(9))
	assert.DeepEqual(t, box.got(), []string{"a", "b", "a"}) // The last one is a's deletion.
}

func TestFailedCallIsABeliefOfItsOwn(t *testing.T) {
	rep, _ := newReplica(&fakeStore{})
	rep.noteCall(errors.New("busy"))
	assert.Assert(t, !rep.Able())
	rep.noteCall(nil)
	assert.Assert(t, rep.Able())
}

func TestReplicaCatchesUpFromAPeer(t *testing.T) {
	ahead, _ := newReplica(&fakeStore{})
	ahead.adoptCall(update{revision: 7, whole: true, items: []mirror.Item{mirror.NewItem("a", []byte("1"), 6), mirror.NewDeletion("b", 7)}}, time.Now())
	srv := httptest.NewServer(http.HandlerFunc(ahead.ServeHTTP))
	defer srv.Close()
	behind, box := newReplica(&fakeStore{})
	from := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	now := time.Now()
	behind.Heard(from, true, true, false, 7, now, now)
	for deadline := now.Add(10 * time.Second); behind.Revision() != 7; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
	assert.DeepEqual(t, box.got(), []string{"a", "b"})
	behind.Heard(from, true, true, false, 7, now, now)
	assert.Equal(t, behind.ConfirmedAt(), now)
}

func TestBadRequestsAndMessages(t *testing.T) {
	rep, _ := newReplica(&fakeStore{})
	rec := httptest.NewRecorder()
	rep.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, ChangesPath+"?after=x", nil))
	assert.Equal(t, rec.Code, http.StatusBadRequest)
	_, err := decodeUpdate([]byte{0xff}, time.Now())
	var bad *CodecError
	assert.ErrorType(t, err, bad)
}

// A process that starts takes over a seed's state and its knowledge of former
// routes, unless the seed has lost touch.
func TestReplicaJoinsFromASeed(t *testing.T) {
	for name, tc := range map[string]struct {
		confirmed time.Duration
		want      uint64
		stale     bool
	}{
		"that is up to date": {0, 7, false},
		"that lost touch":    {mirror.StaleAfter, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			seed, old := newReplica(&fakeStore{})
			old.history = intent.NewHistory(now.Add(-time.Hour), []intent.FormerService{intent.NewFormerService(flow.Endpoint{}, "feed", now.Add(time.Minute))})
			seed.adoptCall(update{revision: 7, whole: true, items: []mirror.Item{mirror.NewItem("a", []byte("1"), 6)}}, now)
			seed.noteCall(nil)
			seed.policy = mirror.NewReaderPolicy([4]byte{}, true, nil)
			seed.policy.NoteConfirmed(now.Add(-tc.confirmed))
			srv := httptest.NewServer(http.HandlerFunc(seed.ServeHTTP))
			defer srv.Close()
			rep, box := newReplica(&fakeStore{})
			rep.seeds = []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))}
			stale := rep.join(context.Background())
			assert.Equal(t, rep.Revision(), tc.want)
			assert.Equal(t, stale != nil, tc.stale)
			assert.Equal(t, len(box.History(now).FormerServices()) == 1, !tc.stale)
		})
	}
}

func FuzzDecodeUpdate(f *testing.F) {
	now := time.Now()
	his := intent.NewHistory(now.Add(-time.Minute), []intent.FormerService{intent.NewFormerService(flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443), "feed", now.Add(time.Second))})
	f.Add(update{after: 1, revision: 2, whole: true, items: []mirror.Item{mirror.NewItem("a", []byte("1"), 2)}, history: his, confirmedAt: now}.encode(now))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if upd, err := decodeUpdate(raw, now); err == nil {
			again, err := decodeUpdate(upd.encode(now), now)
			assert.NilError(t, err)
			assert.Equal(t, len(again.items), len(upd.items))
			assert.Equal(t, len(again.history.FormerServices()), len(upd.history.FormerServices()))
		}
	})
}
