package instance

import (
	"context"
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/kingcupyard/kingcupyard/internal/console/operator"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/distribution"
	"github.com/kingcupyard/kingcupyard/internal/fleet/keeper"
	"github.com/kingcupyard/kingcupyard/internal/fleet/member"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
	"github.com/kingcupyard/kingcupyard/internal/relay/explanation"
	"github.com/kingcupyard/kingcupyard/internal/relay/front"
	"github.com/kingcupyard/kingcupyard/internal/routing/admission"
	"github.com/kingcupyard/kingcupyard/internal/routing/session"
)

// operatorFleet reports the status and the decision records of this instance and
// queries the other instances for theirs. It implements operator.Fleet.
type operatorFleet struct {
	in do.Injector
}

// queryTimeout bounds the queries to the other instances.
const queryTimeout = time.Second

// Ready implements operator.Fleet. If the instance is not ready, reason says why.
func (f operatorFleet) Ready() (ready bool, reason string) {
	b := get[*board.Board](f.in)
	reason = "no confirmed configuration"
	if c := b.Confirmation.Get(); c != nil {
		ready, reason = c.AllowsNewWork(clockOf(f.in).Now()), c.Reason
	}
	if r := get[*lifecycle](f.in).unreadyReason(b, get[*admission.Admitter](f.in)); r != "" {
		return false, r
	}
	return ready, reason
}

// localStatus returns the status of this instance.
func (f operatorFleet) localStatus() operator.Status {
	s, b, now := settingsOf(f.in), get[*board.Board](f.in), clockOf(f.in).Now()
	status := operator.Status{
		Instance: s.Name, DataCentre: s.DataCentre, Region: s.Region, At: now,
		Generation: get[*member.Controller](f.in).Generation(),
		Refusals:   counterValues("Refusals"), Retries: counterValues("Retries"), StoreCalls: map[string]int64{},
	}
	if c := b.Confirmation.Get(); c != nil {
		status.Revision = c.Revision
		status.ConfirmedAge, status.StoreAge, status.Watching = now.Sub(c.ConfirmedAt), age(now, c.StoreConfirmedAt), c.Watching
	}
	status.Ready, status.Reason = f.Ready()
	if doc := b.Configuration.Get(); doc != nil {
		status.Preset = doc.Preset
	}
	for _, calls := range get[*store.Client](f.in).Calls() {
		status.StoreCalls[calls.Purpose] = calls.Reads + calls.Writes + calls.Watches
	}
	if instanceList := b.InstanceList.Get(); instanceList != nil {
		status.ListAge = age(now, instanceList.ListedAt)
	}
	status.Members = memberStatuses(b.Members.Get())
	status.Keeper = f.duties(b)
	status.InFlight = get[*front.Server](f.in).Active()
	status.Servers = serverStatus(b.Servers.Get())
	return status
}

// duties returns the number of items that this instance is responsible for, by
// kind.
func (f operatorFleet) duties(b *board.Board) map[string]int {
	duties := map[string]int{"Sessions": get[*session.Pins](f.in).Len(), "Copies": get[*ledgerService](f.in).holder.Len()}
	members, servers := b.Members.Get(), b.Servers.Get()
	if members == nil || servers == nil {
		return duties
	}
	selector := keeper.NewSelector(members.List, keeper.WithSuspects())
	for i := range servers.List {
		if k, ok := selector.Lookup(servers.List[i].Name); ok && k.Name == members.Self {
			duties["Servers"]++
		}
	}
	if get[*driverLease](f.in).held.Load() {
		duties["RolloutDriver"] = 1
	}
	return duties
}

// age returns the time since t, or a negative duration if t is zero.
func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t)
}

func memberStatuses(m *board.Members) []operator.MemberStatus {
	if m == nil {
		return nil
	}
	return lo.Map(m.List, func(m board.Member, _ int) operator.MemberStatus {
		return operator.MemberStatus{Name: m.Name, DataCentre: m.DataCentre, State: string(m.State)}
	})
}

func serverStatus(s *board.Servers) operator.ServerStatus {
	var status operator.ServerStatus
	if s == nil {
		return status
	}
	for i := range s.List {
		if s.List[i].State == board.ServerLeaving {
			status.Leaving++
			continue
		}
		status.Live++
		if s.List[i].Report.Cold {
			status.Cold++
		}
	}
	return status
}

// counterValues returns the integers in the expvar map with the given name, or an
// empty map if there is none.
func counterValues(name string) map[string]int64 {
	values := map[string]int64{}
	if m, ok := expvar.Get(name).(*expvar.Map); ok {
		m.Do(func(kv expvar.KeyValue) {
			if n, ok := kv.Value.(*expvar.Int); ok {
				values[kv.Key] = n.Value()
			}
		})
	}
	return values
}

// Statuses implements operator.Fleet. It returns the status of this instance,
// followed by those of the others. An instance that cannot be reached has the
// error as its reason; an unreadable answer is left out.
func (f operatorFleet) Statuses(ctx context.Context) []operator.Status {
	local := f.localStatus()
	others := queryMembers(ctx, f, func(ctx context.Context, c *peer.Client, m board.Member) (operator.Status, error) {
		resp, err := c.Status(ctx, m.PeerAddress, &peer.StatusRequest{})
		if err != nil {
			return operator.Status{Instance: m.Name, DataCentre: m.DataCentre, Reason: "not reached: " + err.Error()}, nil
		}
		var s operator.Status
		return s, json.Unmarshal(resp.Status, &s)
	})
	return append([]operator.Status{local}, others...)
}

// InForce implements operator.Fleet. It returns the revision that each instance has
// applied, waiting for at most queryTimeout.
func (f operatorFleet) InForce(ctx context.Context, revision int64) []operator.InForce {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	list := get[*distribution.Editor](f.in).AppliedRevisions(ctx, revision)
	return lo.Map(list, func(r distribution.InstanceRevision, _ int) operator.InForce {
		return operator.InForce{Instance: r.Name, Revision: r.Revision, Err: r.Error}
	})
}

// Explain implements operator.Fleet. It returns the decision records that the
// instances hold for a request.
func (f operatorFleet) Explain(ctx context.Context, requestID string) []explanation.Record {
	var records []explanation.Record
	if local := get[*explanation.Ring](f.in).Find(requestID); local != nil {
		records = append(records, *local)
	}
	others := queryMembers(ctx, f, func(ctx context.Context, c *peer.Client, m board.Member) ([]explanation.Record, error) {
		resp, err := c.Explain(ctx, m.PeerAddress, &peer.ExplainRequest{RequestId: requestID})
		if err != nil {
			return nil, err
		}
		var list []explanation.Record
		for _, raw := range resp.Records {
			var r explanation.Record
			if err := json.Unmarshal(raw, &r); err != nil {
				return nil, err
			}
			list = append(list, r)
		}
		return list, nil
	})
	return append(records, lo.Flatten(others)...)
}

// queryMembers calls query concurrently for every other member and returns the
// answers of the calls that succeeded, in no particular order.
func queryMembers[T any](ctx context.Context, f operatorFleet, query func(context.Context, *peer.Client, board.Member) (T, error)) []T {
	members := get[*board.Board](f.in).Members.Get()
	if members == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	client := get[*peer.Client](f.in)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers []T
	for _, m := range members.List {
		if m.Name == members.Self {
			continue
		}
		wg.Go(func() {
			answer, err := query(ctx, client, m)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
	}
	wg.Wait()
	return answers
}

// peerStatusService answers the status and explanation queries of other instances.
type peerStatusService struct {
	operatorFleet
}

// Status implements peer.StatusHandler.
func (f peerStatusService) Status(_ context.Context, _ *peer.StatusRequest) (*peer.StatusResponse, error) {
	raw, err := json.Marshal(f.localStatus())
	if err != nil {
		return nil, err
	}
	return &peer.StatusResponse{Status: raw}, nil
}

// Explain implements peer.ExplainHandler.
func (f peerStatusService) Explain(_ context.Context, req *peer.ExplainRequest) (*peer.ExplainResponse, error) {
	local := get[*explanation.Ring](f.in).Find(req.RequestId)
	if local == nil {
		return &peer.ExplainResponse{}, nil
	}
	raw, err := json.Marshal(local)
	if err != nil {
		return nil, err
	}
	return &peer.ExplainResponse{Records: [][]byte{raw}}, nil
}
