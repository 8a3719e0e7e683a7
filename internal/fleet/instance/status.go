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

// teller tells the state of this instance, and asks the others for theirs.
type teller struct {
	in do.Injector
}

// askTimeout bounds one question to another instance.
const askTimeout = time.Second

// Ready implements operator.Fleet.
func (t teller) Ready() (ready bool, reason string) {
	b := get[*board.Board](t.in)
	reason = "no confirmed configuration"
	if c := b.Confirmation.Get(); c != nil {
		ready, reason = c.AllowsNewWork(clockOf(t.in).Now()), c.Reason
	}
	if r := get[*lifecycle](t.in).unready(b, get[*admission.Admitter](t.in)); r != "" {
		return false, r
	}
	return ready, reason
}

// self returns the state of this instance.
func (t teller) self() operator.Status {
	s, b, now := settingsOf(t.in), get[*board.Board](t.in), clockOf(t.in).Now()
	status := operator.Status{
		Instance: s.Name, DataCentre: s.DataCentre, Region: s.Region, At: now,
		Generation: get[*member.Controller](t.in).Generation(),
		Refusals:   counterValues("Refusals"), Retries: counterValues("Retries"), StoreCalls: map[string]int64{},
	}
	if c := b.Confirmation.Get(); c != nil {
		status.Revision = c.Revision
		status.ConfirmedAge, status.StoreAge, status.Watching = now.Sub(c.ConfirmedAt), age(now, c.StoreConfirmedAt), c.Watching
	}
	status.Ready, status.Reason = t.Ready()
	if doc := b.Configuration.Get(); doc != nil {
		status.Preset = doc.Preset
	}
	for _, calls := range get[*store.Client](t.in).Calls() {
		status.StoreCalls[calls.Purpose] = calls.Reads + calls.Writes + calls.Watches
	}
	if listing := b.InstanceList.Get(); listing != nil {
		status.ListAge = age(now, listing.ListedAt)
	}
	status.Members = memberStatuses(b.Members.Get())
	status.Keeper = t.duties(b)
	status.InFlight = get[*front.Server](t.in).Active()
	status.Servers = serverStatus(b.Servers.Get())
	return status
}

// duties counts what this instance keeps, by kind.
func (t teller) duties(b *board.Board) map[string]int {
	duties := map[string]int{"Sessions": get[*session.Pins](t.in).Len(), "Copies": get[*accounts](t.in).holder.Len()}
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
	if get[*driverLease](t.in).holding.Load() {
		duties["RolloutDriver"] = 1
	}
	return duties
}

// age is the time since t, negative if t is not known.
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

// counterValues reads an expvar map of the process.
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

// Statuses implements operator.Fleet: this instance's state and that of every
// other one that answers.
func (t teller) Statuses(ctx context.Context) []operator.Status {
	own := t.self()
	others := askAll(ctx, t, func(ctx context.Context, c *peer.Client, m board.Member) (operator.Status, error) {
		resp, err := c.Status(ctx, m.PeerAddress, &peer.StatusRequest{})
		if err != nil {
			return operator.Status{Instance: m.Name, DataCentre: m.DataCentre, Reason: "not reached: " + err.Error()}, nil
		}
		var s operator.Status
		return s, json.Unmarshal(resp.Status, &s)
	})
	return append([]operator.Status{own}, others...)
}

// InForce implements operator.Fleet.
func (t teller) InForce(ctx context.Context, revision int64) []operator.InForce {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	list := get[*distribution.Editor](t.in).AppliedRevisions(ctx, revision)
	return lo.Map(list, func(i distribution.InstanceRevision, _ int) operator.InForce {
		return operator.InForce{Instance: i.Name, Revision: i.Revision, Err: i.Error}
	})
}

// Explain implements operator.Fleet: the records of all instances that took
// part in the request.
func (t teller) Explain(ctx context.Context, requestID string) []explanation.Record {
	var records []explanation.Record
	if own := get[*explanation.Ring](t.in).Find(requestID); own != nil {
		records = append(records, *own)
	}
	others := askAll(ctx, t, func(ctx context.Context, c *peer.Client, m board.Member) ([]explanation.Record, error) {
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

// askAll asks every other member at once and returns the answers that came.
func askAll[T any](ctx context.Context, t teller, ask func(context.Context, *peer.Client, board.Member) (T, error)) []T {
	members := get[*board.Board](t.in).Members.Get()
	if members == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	client := get[*peer.Client](t.in)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers []T
	for _, m := range members.List {
		if m.Name == members.Self {
			continue
		}
		wg.Go(func() {
			answer, err := ask(ctx, client, m)
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

// tellerService answers the peers' questions.
type tellerService struct {
	teller
}

// Status implements peer.StatusTeller.
func (t tellerService) Status(_ context.Context, _ *peer.StatusRequest) (*peer.StatusResponse, error) {
	raw, err := json.Marshal(t.self())
	if err != nil {
		return nil, err
	}
	return &peer.StatusResponse{Status: raw}, nil
}

// Explain implements peer.Explainer.
func (t tellerService) Explain(_ context.Context, req *peer.ExplainRequest) (*peer.ExplainResponse, error) {
	own := get[*explanation.Ring](t.in).Find(req.RequestId)
	if own == nil {
		return &peer.ExplainResponse{}, nil
	}
	raw, err := json.Marshal(own)
	if err != nil {
		return nil, err
	}
	return &peer.ExplainResponse{Records: [][]byte{raw}}, nil
}
