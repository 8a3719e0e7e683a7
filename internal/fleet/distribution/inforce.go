package distribution

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// InstanceRevision says whether a revision is in force on one instance.
type InstanceRevision struct {
	Name        string
	DataCentre  string
	PeerAddress string
	// Revision is what the instance has in force.
	Revision int64
	Applied  bool
	// Error says why the instance could not be asked.
	Error string
}

// Bounds of asking the fleet.
const (
	queryConcurrency = 32
	askInterval      = 200 * time.Millisecond
)

// AppliedRevisions asks each member which revision it has in force.
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
			in := InstanceRevision{Name: m.Name, DataCentre: m.DataCentre, PeerAddress: m.PeerAddress}
			in.Revision = e.controller.revision()
			if m.Name != e.controller.self {
				var err error
				if in.Revision, err = fetchRevision(ctx, e.controller.peers, m.PeerAddress); err != nil {
					in.Error = err.Error()
				}
			}
			in.Applied = in.Error == "" && in.Revision >= revision
			list[i] = in
			return nil
		})
	}
	_ = group.Wait()
	return list
}
