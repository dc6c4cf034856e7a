package feed

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lagoondrum/core/dissem"
	"lagoondrum/core/inidoc"
	"lagoondrum/core/lists"
)

// Timing of reads.
const (
	watchSeconds  = 10 // A watch that sees no edit returns after this long.
	readTimeout   = (watchSeconds + 5) * time.Second
	minRetry      = 500 * time.Millisecond
	maxRetry      = 4 * time.Second  // Of a reader of its zone.
	maxStandIn    = 30 * time.Second // Of any other process, so that an outage draws no herd.
	idleLook      = time.Second
	revisionField = "Lagoondrum-Revision"
)

// Reader reads one list from the platform whenever the process has to.
type Reader struct {
	name     lists.Name
	lists    *Lists
	platform netip.AddrPort
	client   *http.Client
	seen     uint64 // The highest revision that was read, refused ones included.
}

// StatusError reports an answer of the platform that is not a list.
type StatusError struct {
	name   lists.Name
	status int
}

func (err *StatusError) Error() string {
	return fmt.Sprintf("platform answered %d for %s", err.status, err.name)
}

// NewReaders returns one reader for each list.
func NewReaders(lst *Lists, platform netip.AddrPort) []*Reader {
	client := &http.Client{Timeout: readTimeout}
	var all []*Reader
	for _, name := range lists.Names() {
		all = append(all, &Reader{name: name, lists: lst, platform: platform, client: client})
	}
	return all
}

func (rdr *Reader) String() string { return "reader of " + string(rdr.name) }

// Serve reads until the context ends: as a watch while the process is a reader
// of its zone, else only when no reader was heard of for long.
func (rdr *Reader) Serve(ctx context.Context) error {
	retry := minRetry
	for ctx.Err() == nil {
		rank := rdr.lists.Overlay().Rank()
		if time.Now().Before(dissem.TakeoverAt(rdr.lists.Confirmed(), rank)) {
			pause(ctx, idleLook)
			continue
		}
		if err := rdr.read(ctx); err != nil {
			pause(ctx, jitter(retry))
			retry = min(2*retry, retryLimit(rank))
			continue
		}
		retry = minRetry
	}
	return ctx.Err()
}

func retryLimit(rank int) time.Duration {
	if rank < dissem.ReadersPerZone {
		return maxRetry
	}
	return maxStandIn
}

func (rdr *Reader) read(ctx context.Context) error {
	after := max(rdr.lists.Version(rdr.name).Revision(), rdr.seen)
	url := fmt.Sprintf("http://%s/v1/values/%s?after=%d&wait=%d", rdr.platform, rdr.name, after, watchSeconds)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	rsp, err := rdr.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer rsp.Body.Close()
	return rdr.take(rsp, after)
}

func (rdr *Reader) take(rsp *http.Response, after uint64) error {
	switch rsp.StatusCode {
	case http.StatusNotModified:
		rdr.lists.Confirm(time.Now())
		return nil
	case http.StatusOK:
	default:
		return &StatusError{rdr.name, rsp.StatusCode}
	}
	raw, err := io.ReadAll(io.LimitReader(rsp.Body, inidoc.MaxBytes+1))
	if err != nil {
		return errors.WithStack(err)
	}
	revision, err := strconv.ParseUint(rsp.Header.Get(revisionField), 10, 64)
	if err != nil {
		return &StatusError{rdr.name, rsp.StatusCode}
	}
	now := time.Now()
	rdr.lists.Offer(rdr.name, revision, raw, now)
	if revision <= after {
		return &StaleError{rdr.name, revision}
	}
	rdr.seen = revision
	rdr.lists.Confirm(now)
	return nil
}

// StaleError reports a platform that answers a watch with a revision that is not
// newer than the one asked about.
type StaleError struct {
	name     lists.Name
	revision uint64
}

func (err *StaleError) Error() string {
	return fmt.Sprintf("platform has only revision %d of %s", err.revision, err.name)
}

func jitter(limit time.Duration) time.Duration {
	return limit/2 + time.Duration(rand.Int64N(int64(limit)))
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
