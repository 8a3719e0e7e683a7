package distribution

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// InstanceRevision is the applied revision of one instance, compared with a
// requested revision.
type InstanceRevision struct {
	Name        string
	DataCentre  string
	PeerAddress string
	// Revision is the revision that the instance has applied.
	Revision int64
	// Applied means that Revision is at least the requested revision.
	Applied bool
	// Error is the reason for which the instance's revision is unknown, empty if
	// it is known.
	Error string
}

// Limits on querying the fleet.
const (
	queryConcurrency = 32
	askInterval      = 200 * time.Millisecond
)

// AppliedRevisions asks every member for its applied revision and compares that
// with revision. If the membership is not known yet, it returns the state of this
// instance only.
func (e *Editor) AppliedRevisions(ctx context.Context, revision int64) []InstanceRevision {
	members := e.controller.board.Members.Get()
	if members == nil {
		own := e.controller.revision()
		return []InstanceRevision{{Name: e.controller.self, DataCentre: e.controller.dataCentre, Revision: own, Applied: own >= revision}}
	}
	list := make([]InstanceRevision, len(members.List))
	var group errgroup.Group
	group.SetLimit(queryConcurrency)
	for i, m := range members.List {
		group.Go(func() error {
			status := InstanceRevision{Name: m.Name, DataCentre: m.DataCentre, PeerAddress: m.PeerAddress}
			status.Revision = e.controller.revision()
			if m.Name != e.controller.self {
				var err error
				if status.Revision, err = fetchRevision(ctx, e.controller.peers, m.PeerAddress); err != nil {
					status.Error = err.Error()
				}
			}
			status.Applied = status.Error == "" && status.Revision >= revision
			list[i] = status
			return nil
		})
	}
	_ = group.Wait()
	return list
}
