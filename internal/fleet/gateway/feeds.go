package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
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

	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
)

// feeds lets a few instances read the store for all. The others take the
// changes, and the word that nothing newer is in force, from one of them.
type feeds struct {
	gateway *Gateway
	client  *http.Client

	mu sync.Mutex
	// avoid holds the readers whose feed failed, by address, and until when
	// they are passed over.
	avoid map[string]time.Time
}

const (
	// membersPerReader is how many instances one reader feeds; at the target
	// size of 360 instances in four data centres the store serves 16.
	membersPerReader = 24
	// smallFleet is the size up to which instances tell each other everything
	// themselves, and readers serve all data centres.
	smallFleet = 16
	// leastReaders remain in small fleets, so that the loss of one leaves one.
	leastReaders = 2
	// readerPenalty is how long a reader is passed over after its feed failed:
	// about the time that a killed process takes to be back.
	readerPenalty = 4 * time.Second
	// feedPath is where an instance is asked for its feed.
	feedPath = "/feed"
	// feedDialTimeout bounds the opening of a connection to a reader.
	feedDialTimeout = 250 * time.Millisecond
	// feedBytes bounds an answer, a routing table of a megabyte included.
	feedBytes = 16 << 20
)

func newFeedClient() *http.Client {
	dialer := net.Dialer{Timeout: feedDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
	}}
}

// choose implements follower.WithUpstream: the feed of a reader, of the own
// data centre if there is one; nil if this instance reads the store itself.
func (f *feeds) choose() follower.Feed {
	reader, found := f.reader()
	if !found || reader.Name == f.gateway.Settings.Instance {
		return nil
	}
	return &feed{f, reader.PeerAddress}
}

// failed passes a reader over for a while.
func (f *feeds) failed(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.avoid == nil {
		f.avoid = map[string]time.Time{}
	}
	f.avoid[address] = f.gateway.Clock.Now().Add(readerPenalty)
}

func (f *feeds) isAvoided(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateway.Clock.Now().Before(f.avoid[address])
}

// reader returns the reader that this instance belongs to, which may be itself
// unless the store is out of its own reach. There is none until the instance
// has announced itself; one whose announcement has run out since the store is out
// of its reach keeps its reader.
func (f *feeds) reader() (follower.Instance, bool) {
	instances := f.gateway.fleet().Instances
	self, known := instances[f.gateway.Settings.Instance]
	cutOff := f.gateway.follower.IsCutOff()
	if !known && !cutOff {
		return follower.Instance{}, false
	}
	if !known {
		self = follower.Instance{Name: f.gateway.Settings.Instance, DataCentre: f.gateway.Settings.DataCentre}
	}
	readers := chooseReaders(instances)
	var near, far, avoided []follower.Instance
	for _, r := range readers {
		switch {
		case r.Name == self.Name:
			if !cutOff {
				return r, true
			}
		case f.isAvoided(r.PeerAddress):
			avoided = append(avoided, r)
		case r.DataCentre == self.DataCentre:
			near = append(near, r)
		default:
			far = append(far, r)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 && cutOff {
		near = avoided // nothing is better: the store does not answer either
	}
	if len(near) == 0 {
		return follower.Instance{}, false
	}
	return near[xxhash.Sum64String(self.Name)%uint64(len(near))], true
}

// chooseReaders picks the instances that read the store: a few in a small
// fleet, some in each data centre of a large one. All that know the same
// instances pick the same ones.
func chooseReaders(instances map[string]follower.Instance) []follower.Instance {
	places := map[string][]follower.Instance{}
	for _, i := range instances {
		place := ""
		if len(instances) > smallFleet {
			place = i.DataCentre
		}
		places[place] = append(places[place], i)
	}
	least := 1
	if len(instances) <= smallFleet {
		least = leastReaders
	}
	var readers []follower.Instance
	for _, list := range places {
		slices.SortFunc(list, byWeight)
		readers = append(readers, list[:min(len(list), max(least, (len(list)+membersPerReader-1)/membersPerReader))]...)
	}
	slices.SortFunc(readers, byWeight)
	return readers
}

func byWeight(a, b follower.Instance) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}

// feed is another instance's feed over HTTP.
type feed struct {
	feeds   *feeds
	address string
}

// Next implements follower.Feed.
func (f *feed) Next(ctx context.Context, after int64, wait time.Duration) (follower.Batch, error) {
	b, err := f.next(ctx, after, wait)
	if err != nil && !errors.Is(err, follower.ErrTooFarBehind) {
		f.feeds.failed(f.address)
	}
	return b, err
}

// Reject implements follower.Feed.
func (f *feed) Reject() { f.feeds.failed(f.address) }

func (f *feed) next(ctx context.Context, after int64, wait time.Duration) (follower.Batch, error) {
	query := url.Values{"After": {strconv.FormatInt(after, 10)}, "Wait": {wait.String()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+feedPath+"?"+query.Encode(), nil)
	if err != nil {
		return follower.Batch{}, fmt.Errorf("build feed request: %w", err)
	}
	resp, err := f.feeds.client.Do(req)
	if err != nil {
		return follower.Batch{}, fmt.Errorf("ask %s for its feed: %w", f.address, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, feedBytes))
	if err != nil {
		return follower.Batch{}, fmt.Errorf("read the feed of %s: %w", f.address, err)
	}
	if resp.StatusCode == http.StatusGone {
		return follower.Batch{}, follower.ErrTooFarBehind
	}
	if resp.StatusCode != http.StatusOK {
		return follower.Batch{}, fmt.Errorf("feed of %s: status %d", f.address, resp.StatusCode)
	}
	var b follower.Batch
	if err := json.Unmarshal(raw, &b); err != nil {
		return follower.Batch{}, fmt.Errorf("decode the feed of %s: %w", f.address, err)
	}
	return b, nil
}

// handler serves this instance's own feed.
func (f *feeds) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+feedPath, func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.FormValue("After"), 10, 64)
		if err != nil {
			http.Error(w, "After must be a revision", http.StatusBadRequest)
			return
		}
		wait, err := time.ParseDuration(r.FormValue("Wait"))
		if err != nil {
			http.Error(w, "Wait must be a duration", http.StatusBadRequest)
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
		if err := json.NewEncoder(w).Encode(b); err != nil {
			return // the instance that asked is gone
		}
	})
	return mux
}
