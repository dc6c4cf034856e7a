package encap

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/flow"
)

var key = flow.NewKey(flow.NewEndpoint([4]byte{100, 64, 0, 7}, 40001), flow.NewEndpoint([4]byte{198, 18, 0, 1}, 443))

func TestHeaderRoundTrip(t *testing.T) {
	for name, hdr := range map[string]Header{
		"refusal":   New(Refused, 7, key).WithReason(Bounced).WithLoad(NewLoad(24, 9)).WithUpstreamDown(),
		"opening":   New(Open, 7, key).WithUrgency(flow.NewUrgency(3, 250*time.Millisecond, 2500*time.Millisecond)).WithQueueIfFull().WithColdLimit(65),
		"opened":    New(Opened, 7, key).WithSeq(5000),
		"heartbeat": NewHeartbeat(7, 1<<60, 12).WithLeaving(true).WithPlatformReachable().WithStateConfirmed().WithSeed(),
	} {
		t.Run(name, func(t *testing.T) {
			var buf [HeaderBytes]byte
			hdr.Put(buf[:])
			got, ok := Parse(buf[:])
			assert.Assert(t, ok)
			assert.Equal(t, got, hdr)
		})
	}
}

func TestQueryAndVerdictLists(t *testing.T) {
	list := AppendQuery(AppendQuery(nil, key, 5), key, 6)
	var acks []uint32
	EachQuery(append(list, 1, 2), func(_ flow.Key, ack uint32) { acks = append(acks, ack) })
	assert.DeepEqual(t, acks, []uint32{5, 6})

	verdicts := AppendVerdict(AppendVerdict(nil, key, Held, 9), key, Open, 0)
	var kinds []Kind
	New(Verdicts, 7, flow.Key{}).EachVerdict(verdicts, func(hdr Header) { kinds = append(kinds, hdr.Kind()) })
	assert.DeepEqual(t, kinds, []Kind{Held}) // Open is no verdict and is ignored.
}

func TestTimesOfVerdicts(t *testing.T) {
	const day = 24 * time.Hour
	for name, tc := range map[string]struct {
		kind          Kind
		seq           uint32
		asked, uptime time.Duration
		tried         time.Duration
		wasTried      bool
	}{
		"unsure":                  {Unsure, UnsureSeq(true, 9*time.Second, 70*time.Millisecond), 70 * time.Millisecond, 9 * time.Second, 0, false},
		"unsure for long":         {Unsure, UnsureSeq(false, day, day), 32767 * time.Millisecond, 65535 * time.Millisecond, 0, false},
		"absent":                  {Absent, AbsentSeq(OldAfter, 4*time.Second), 4 * time.Second, 0, 0, false},
		"absent, tried just now":  {Absent, TriedSeq(0, 0, time.Second), time.Second, 0, 0, true},
		"absent, tried long ago":  {Absent, TriedSeq(day, day, day), 32767 * time.Millisecond, 0, 65534 * time.Millisecond, true},
		"absent, of a wrong time": {Absent, TriedSeq(-time.Second, -time.Second, -time.Second), 0, 0, 0, true},
		"neither":                 {Held, 1 << 31, 0, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			hdr := New(tc.kind, 7, key).WithSeq(tc.seq)
			tried, wasTried := hdr.Tried()
			assert.Equal(t, hdr.Asked(), tc.asked)
			assert.Equal(t, wasTried, tc.wasTried)
			assert.Equal(t, tried, tc.tried)
			assert.Equal(t, hdr.Old(), strings.HasSuffix(name, "long") || strings.HasSuffix(name, "long ago") || name == "unsure")
			if tc.kind == Unsure {
				assert.Equal(t, hdr.Uptime(), tc.uptime)
				assert.Equal(t, hdr.ServesAddress(), name == "unsure")
			}
		})
	}
}

func TestLoadIsClamped(t *testing.T) {
	assert.Equal(t, NewLoad(-1, 1<<20).Flows(), 1<<16-1)
	assert.Equal(t, NewLoad(-1, 0).Requests(), 0.0)
}

func FuzzParse(f *testing.F) {
	var buf [HeaderBytes]byte
	New(Seek, 7, key).Put(buf[:])
	f.Add(buf[:])
	f.Fuzz(func(t *testing.T, data []byte) {
		hdr, ok := Parse(data)
		if !ok {
			return
		}
		_ = hdr.Kind().String() + hdr.Reason().String()
		EachQuery(data[HeaderBytes:], func(flow.Key, uint32) {})
		hdr.EachVerdict(data[HeaderBytes:], func(Header) {})
	})
}
