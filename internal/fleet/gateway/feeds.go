package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/document"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/platform/transfer"
	"github.com/kingcupyard/kingcupyard/internal/relay/answer"
)

// feeds limits the number of instances that read the store. The others follow
// the feed of one of these readers, from which they take the changes and the
// confirmation that there are no newer ones.
type feeds struct {
	gateway *Gateway
	client  *http.Client

	mu sync.Mutex
	// avoidUntil holds, by address, until when a reader whose feed failed is
	// not used.
	avoidUntil map[string]time.Time
}

const (
	// instancesPerReader is the number of instances that one reader feeds. At
	// the target size of 360 instances in four data centres the store serves
	// 16 readers.
	instancesPerReader = 24
	// smallFleetSize is the number of instances up to which each instance sends
	// its backlog to all others, and readers serve all data centres.
	smallFleetSize = 16
	// minReaders is the number of readers of a small fleet, so that the loss of
	// one leaves another.
	minReaders = 2
	// readerBackoff is how long a reader is not used after its feed failed. A
	// killed process is back after about that time.
	readerBackoff = 4 * time.Second
	// feedPath is the URL path at which an instance serves its feed.
	feedPath = "/feed"
	// wholePosition is the number of a position that requests the complete state.
	wholePosition = -1
	// feedDialTimeout bounds the time to connect to a reader.
	feedDialTimeout = 250 * time.Millisecond
	// maxFeedBytes bounds the size of an answer, which may include a routing
	// table of a megabyte.
	maxFeedBytes = 16 << 20
)

// newFeedClient returns the HTTP client that reads the feeds of readers.
func newFeedClient() *http.Client {
	dialer := net.Dialer{Timeout: feedDialTimeout}
	return &http.Client{Transport: answer.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
	})}
}

// upstream implements follower.WithUpstream. It returns the feed of this
// instance's reader, or nil if the instance reads the store itself.
func (f *feeds) upstream() follower.Feed {
	reader, found := f.reader()
	if !found || reader.Name == f.gateway.Settings.Instance {
		return nil
	}
	return &remoteFeed{f, reader.PeerAddress}
}

// markFailed excludes a reader for readerBackoff.
func (f *feeds) markFailed(address string) {
	f.gateway.Log.Info("FeedAvoided", zap.String("Source", address), zap.Duration("For", readerBackoff))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.avoidUntil == nil {
		f.avoidUntil = map[string]time.Time{}
	}
	f.avoidUntil[address] = f.gateway.Clock.Now().Add(readerBackoff)
}

// isAvoided reports whether the reader's feed failed within readerBackoff.
func (f *feeds) isAvoided(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateway.Clock.Now().Before(f.avoidUntil[address])
}

// reader returns the reader that this instance follows, preferably one of its
// own data centre. An instance that is a reader follows itself unless it can't
// reach the store. There is no reader before the instance has announced itself;
// an instance whose announcement expired while it could not reach the store
// keeps one. Where the store states its era, a reader has to do so too.
func (f *feeds) reader() (follower.Instance, bool) {
	instances := f.gateway.fleet().Instances
	self, announced := instances[f.gateway.Settings.Instance]
	cutOff := f.gateway.follower.IsCutOff()
	if !announced && !cutOff {
		return follower.Instance{}, false
	}
	if !announced {
		self = follower.Instance{Name: f.gateway.Settings.Instance, DataCentre: f.gateway.Settings.DataCentre}
	}
	readers := f.gateway.index().readers
	needsEra := f.gateway.follower.Era() > 0
	var candidates, remote, avoided []follower.Instance
	for _, r := range readers {
		switch {
		case r.Name == self.Name:
			if !cutOff {
				return r, true
			}
		case needsEra && !r.StatesEra: // the feed of an instance of an earlier version
		case f.isAvoided(r.PeerAddress):
			avoided = append(avoided, r)
		case r.DataCentre == self.DataCentre:
			candidates = append(candidates, r)
		default:
			remote = append(remote, r)
		}
	}
	if len(candidates) == 0 {
		candidates = remote
	}
	if len(candidates) == 0 && cutOff {
		candidates = avoided // the store does not answer either, so there is no better source
	}
	if len(candidates) == 0 {
		return follower.Instance{}, false
	}
	return candidates[xxhash.Sum64String(self.Name)%uint64(len(candidates))], true
}

// chooseReaders selects the instances that read the store: a few in a small
// fleet, some in each data centre of a large one. Instances that know the same
// fleet select the same readers.
func chooseReaders(instances map[string]follower.Instance) []follower.Instance {
	groups := map[string][]follower.Instance{}
	for _, i := range instances {
		group := ""
		if len(instances) > smallFleetSize {
			group = i.DataCentre
		}
		groups[group] = append(groups[group], i)
	}
	minimum := 1
	if len(instances) <= smallFleetSize {
		minimum = minReaders
	}
	var readers []follower.Instance
	for _, list := range groups {
		slices.SortFunc(list, compareByHash)
		readers = append(readers, list[:min(len(list), max(minimum, (len(list)+instancesPerReader-1)/instancesPerReader))]...)
	}
	slices.SortFunc(readers, compareByHash)
	return readers
}

// compareByHash orders instances by the hash of their names, then by name.
func compareByHash(a, b follower.Instance) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}

// remoteFeed is the feed of another instance, read over HTTP.
type remoteFeed struct {
	feeds   *feeds
	address string
}

// Next implements follower.Feed.
func (f *remoteFeed) Next(ctx context.Context, after follower.Position, wait time.Duration) (follower.Batch, error) {
	b, err := f.fetch(ctx, after, wait)
	if err != nil && !errors.Is(err, follower.ErrTooFarBehind) {
		f.feeds.markFailed(f.address)
	}
	return b, err
}

// Reject implements follower.Feed.
func (f *remoteFeed) Reject() { f.feeds.markFailed(f.address) }

// fetch requests the changes after a position. The other instance waits up to
// the given time for one.
func (f *remoteFeed) fetch(ctx context.Context, after follower.Position, wait time.Duration) (follower.Batch, error) {
	stall := feedStallTimeout(*f.feeds.gateway.currentSettings())
	ctx, timeout := transfer.WithTimeout(ctx, wait+stall, stall)
	defer timeout.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+feedPath+"?"+positionQuery(after, wait).Encode(), nil)
	if err != nil {
		return follower.Batch{}, fmt.Errorf("build feed request: %w", err)
	}
	resp, err := f.feeds.client.Do(req)
	if err != nil {
		return follower.Batch{}, fmt.Errorf("request feed of %s: %w", f.address, cmp.Or(context.Cause(ctx), err))
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(timeout.Reader(resp.Body), maxFeedBytes))
	if err != nil {
		return follower.Batch{}, fmt.Errorf("read feed of %s: %w", f.address, cmp.Or(context.Cause(ctx), err))
	}
	if resp.StatusCode == http.StatusGone {
		return follower.Batch{}, follower.ErrTooFarBehind
	}
	if resp.StatusCode != http.StatusOK {
		return follower.Batch{}, fmt.Errorf("feed of %s: status %d", f.address, resp.StatusCode)
	}
	var answer feedAnswer
	if err := document.DecodeLoosely(raw, &answer); err != nil {
		return follower.Batch{}, fmt.Errorf("decode feed of %s: %w", f.address, err)
	}
	return answer.batch(), nil
}

// positionQuery returns the query of a request for the changes after a position.
func positionQuery(after follower.Position, wait time.Duration) url.Values {
	query := url.Values{"Wait": {wait.String()}}
	set := func(name string, n int64) { query.Set(name, strconv.FormatInt(n, 10)) }
	set("After", after.Revision.Number)
	if !after.Revision.IsKnown() {
		set("After", wholePosition)
	}
	set("Era", after.Revision.Era)
	set("Table", after.Table.Number)
	set("TableEra", after.Table.Era)
	return query
}

// parsePosition returns the position of the follower that sent a request. Instances of
// earlier versions send neither their table's revision nor eras.
func parsePosition(r *http.Request) (p follower.Position, err error) {
	for _, field := range []struct {
		name     string
		value    *int64
		optional bool
	}{
		{"After", &p.Revision.Number, false}, {"Era", &p.Revision.Era, true}, {"Table", &p.Table.Number, true}, {"TableEra", &p.Table.Era, true},
	} {
		text := r.FormValue(field.name)
		if text == "" && field.optional {
			continue
		}
		if *field.value, err = strconv.ParseInt(text, 10, 64); err != nil {
			return p, &positionError{field.name}
		}
	}
	p.EraUnknown = r.FormValue("Era") == ""
	return p, nil
}

// positionError reports a field of a follower's position that isn't a whole number.
type positionError struct{ Field string }

func (e *positionError) Error() string { return e.Field + " must be a whole number" }

// handler serves this instance's own feed.
func (f *feeds) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+presencePath, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET "+feedPath, func(w http.ResponseWriter, r *http.Request) {
		after, err := parsePosition(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		wait, err := time.ParseDuration(r.FormValue("Wait"))
		if err != nil || wait < 0 || wait > maxFeedRequestWait {
			http.Error(w, "Wait must be a duration up to "+maxFeedRequestWait.String(), http.StatusBadRequest)
			return
		}
		b, err := f.gateway.follower.Next(r.Context(), after, wait)
		if errors.Is(err, follower.ErrTooFarBehind) {
			http.Error(w, err.Error(), http.StatusGone)
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		raw, err := json.Marshal(newFeedAnswer(b))
		if err != nil {
			f.gateway.Log.Error("FeedNotEncoded", zap.Error(err))
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		feedCounters.Add("Items", int64(len(b.Items)))
		feedCounters.Add("Bytes", int64(len(raw)))
		if _, err := w.Write(raw); err != nil {
			feedCounters.Add("NotDelivered", 1) // the requesting instance has disconnected
			return
		}
		feedCounters.Add("Delivered", 1)
	})
	return mux
}

// feedCounters counts what this instance's feed sends: answers, the changes in them
// and their bytes.
var feedCounters = expvar.NewMap("Feeds")
