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

// Parameters of reads from the platform.
const (
	watchSeconds     = 10 // The platform answers a watch without an edit after this time.
	readTimeout      = (watchSeconds + 5) * time.Second
	minRetry         = 500 * time.Millisecond
	maxReaderRetry   = 4 * time.Second  // Largest backoff of a reader of its zone.
	maxTakeoverRetry = 30 * time.Second // Largest backoff of any other process, to avoid a thundering herd during an outage.
	idlePollInterval = time.Second
	revisionHeader   = "Lagoondrum-Revision"
)

// Reader reads one list from the platform while the process is a reader of its zone
// or has to take over from the readers.
type Reader struct {
	name        lists.Name
	lists       *Lists
	platform    netip.AddrPort
	client      *http.Client
	highestRead uint64 // Highest revision that was read, including refused ones.
}

// StatusError reports a response of the platform that has an unexpected status or
// lacks a valid revision header.
type StatusError struct {
	name   lists.Name
	status int
}

func (err *StatusError) Error() string {
	return fmt.Sprintf("platform answered with status %d and no valid revision of list %s", err.status, err.name)
}

// NewReaders returns one reader for each list. The readers share an HTTP client.
func NewReaders(lst *Lists, platform netip.AddrPort) []*Reader {
	client := &http.Client{Timeout: readTimeout}
	var all []*Reader
	for _, name := range lists.Names() {
		all = append(all, &Reader{name: name, lists: lst, platform: platform, client: client})
	}
	return all
}

func (rdr *Reader) String() string { return "reader of " + string(rdr.name) }

// Serve reads the list until the context ends: all the time while the process is a
// reader of its zone, otherwise only from dissem.TakeoverAt on, when no reader
// has confirmed the lists for a long time.
func (rdr *Reader) Serve(ctx context.Context) error {
	retry := minRetry
	for ctx.Err() == nil {
		rank := rdr.lists.Overlay().Rank()
		if time.Now().Before(dissem.TakeoverAt(rdr.lists.Confirmed(), rank)) {
			sleep(ctx, idlePollInterval)
			continue
		}
		if err := rdr.read(ctx); err != nil {
			sleep(ctx, jitter(retry))
			retry = min(2*retry, retryLimit(rank))
			continue
		}
		retry = minRetry
	}
	return ctx.Err()
}

// retryLimit returns the largest backoff for a process of a rank.
func retryLimit(rank int) time.Duration {
	if rank < dissem.ReadersPerZone {
		return maxReaderRetry
	}
	return maxTakeoverRetry
}

// read requests a revision above the highest known one. The platform answers as
// soon as there is one, or after watchSeconds.
func (rdr *Reader) read(ctx context.Context) error {
	after := max(rdr.lists.Version(rdr.name).Revision(), rdr.highestRead)
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
	return rdr.handleResponse(rsp, after)
}

// handleResponse offers the list in a response, and confirms the lists when the
// platform answered correctly. after is the revision that was asked about.
func (rdr *Reader) handleResponse(rsp *http.Response, after uint64) error {
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
	revision, err := strconv.ParseUint(rsp.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return &StatusError{rdr.name, rsp.StatusCode}
	}
	now := time.Now()
	rdr.lists.Offer(rdr.name, revision, raw, now)
	if revision <= after {
		return &StaleError{rdr.name, revision}
	}
	rdr.highestRead = revision
	rdr.lists.Confirm(now)
	return nil
}

// StaleError reports that the platform answered a watch with a revision that is not
// above the one that was asked about.
type StaleError struct {
	name     lists.Name
	revision uint64
}

func (err *StaleError) Error() string {
	return fmt.Sprintf("platform answered with revision %d of list %s, which is not newer than the known one", err.revision, err.name)
}

// jitter returns a random duration between half and one and a half of mean.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rand.Int64N(int64(mean)))
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
