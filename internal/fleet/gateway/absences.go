package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/absence"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/relay/answer"
)

// absences removes the announcements of instances that are gone. In a large fleet an
// announcement outlasts its instance for long, since renewals are rare; in a small one it
// ends soon by itself.
type absences struct {
	gateway *Gateway
	client  *http.Client

	mu       sync.Mutex
	detector *absence.Detector
	// checked holds the names of the instances that are being checked.
	checked map[string]bool
}

const (
	// presencePath is the URL path at which an instance shows that it is there.
	presencePath = "/presence"
	// presenceTimeout bounds the check of an instance that was silent. It allows for
	// packets that are lost and sent again.
	presenceTimeout = 1500 * time.Millisecond
)

func newAbsences(g *Gateway) *absences {
	return &absences{
		gateway: g, detector: absence.New(g.Settings.Instance, absence.DefaultSettings), checked: map[string]bool{},
		// A pooled connection may have gone silent, which says nothing about its instance.
		client: &http.Client{Timeout: presenceTimeout, Transport: answer.NewTransport(&http.Transport{DisableKeepAlives: true})},
	}
}

// heard records that a datagram came from an instance.
func (a *absences) heard(name string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.detector.Heard(name, now)
}

// run asks other instances whether they are there until the context ends.
func (a *absences) run(ctx context.Context) {
	g := a.gateway
	var checks sync.WaitGroup
	defer checks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(jitter(absence.DefaultSettings.Interval)):
		}
		g.protect("Absences", func() { a.round(ctx, &checks) })
	}
}

// round asks the successors, and checks those that may be gone in goroutines of the group.
func (a *absences) round(ctx context.Context, checks *sync.WaitGroup) {
	g := a.gateway
	instances := g.fleet().Instances
	ask, suspects := a.nextRound(lastingAnnouncements(instances, g.Settings.DataCentre))
	for _, s := range ask {
		g.peers.send(instances[s.Name].PeerAddress, &message{Question: true})
	}
	for _, s := range suspects {
		if a.beginCheck(s.Name) {
			checks.Go(func() { g.protect("AbsenceCheck", func() { a.check(ctx, instances[s.Name]) }) })
		}
	}
}

func (a *absences) nextRound(ring []absence.Announcement) (ask, suspects []absence.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detector.Round(ring, a.gateway.Clock.Now())
}

// lastingAnnouncements returns the announcements of a data centre that outlast their
// instances for long, in the order of the ring.
func lastingAnnouncements(instances map[string]follower.Instance, dataCentre string) []absence.Announcement {
	var list []follower.Instance
	for _, i := range instances {
		if i.DataCentre == dataCentre && i.TTL > minMembershipTTL {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, compareByHash)
	ring := make([]absence.Announcement, len(list))
	for n, i := range list {
		ring[n] = absence.Announcement{Name: i.Name, Revision: i.Revision.Number}
	}
	return ring
}

// beginCheck reports whether the instance isn't being checked yet.
func (a *absences) beginCheck(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.checked[name] {
		return false
	}
	a.checked[name] = true
	return true
}

// check removes the announcement of an instance unless the instance answers. An instance
// that is there after all announces itself again.
func (a *absences) check(ctx context.Context, i follower.Instance) {
	g := a.gateway
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.checked, i.Name)
	}()
	if a.isPresent(ctx, i.PeerAddress) {
		a.heard(i.Name, g.Clock.Now())
		return
	}
	if ctx.Err() != nil {
		return
	}
	removed, err := g.Store.Unregister(ctx, i.Name, i.Revision)
	g.Log.Info("InstanceGone", zap.String("Instance", i.Name), zap.Stringer("Revision", i.Revision), zap.Bool("Removed", removed), zap.Error(err))
}

// isPresent reports whether an instance answers on a new connection.
func (a *absences) isPresent(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+presencePath, nil)
	if err != nil {
		return false
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}
