package gateway

import (
	"context"
	"expvar"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/routing/share"
	"github.com/kingcupyard/kingcupyard/internal/routing/shedding"
	"github.com/kingcupyard/kingcupyard/internal/routing/turn"
)

// roomGauges holds the shortage at each service: the price of room relative to the usual
// value of a second of work, 0 while there is room for all requests.
var roomGauges = expvar.NewMap("Room")

// shareGauges holds the number of customers that exceed their share of a service, and that of
// calls that wait in line.
var shareGauges = expvar.NewMap("Shares")

// roomInterval is the time between updates of the gauges.
const roomInterval = time.Second

// rooms holds what this instance knows of the room at each service.
type rooms struct {
	gateway *Gateway

	mu      sync.Mutex
	pricers map[string]*shedding.Pricer
	lines   map[string]*turn.Line
	// shares follows the customers' uses.
	shares *share.Tracker
	// short is the set of services with a shortage.
	short map[string]bool
}

func newRooms(g *Gateway) *rooms {
	return &rooms{gateway: g, pricers: map[string]*shedding.Pricer{}, lines: map[string]*turn.Line{}, shares: share.NewTracker(), short: map[string]bool{}}
}

// Pricer implements pipeline.Fleet.
func (g *Gateway) Pricer(service string) *shedding.Pricer {
	r := g.rooms
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pricers[service]
	if p == nil {
		p = shedding.NewPricer()
		r.pricers[service] = p
	}
	return p
}

// Line implements pipeline.Fleet.
func (g *Gateway) Line(service string) *turn.Line {
	r := g.rooms
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lines[service]
	if l == nil {
		l = turn.NewLine(g.Clock)
		r.lines[service] = l
	}
	return l
}

// ObserveUse implements pipeline.Fleet.
func (g *Gateway) ObserveUse(service, customer string, work time.Duration) {
	g.rooms.shares.Observe(service, customer, work, g.Clock.Now())
}

// ExceedsShare implements pipeline.Fleet.
func (g *Gateway) ExceedsShare(service, customer string) (this, anyone bool) {
	return g.rooms.shares.Exceeds(service, customer)
}

// run updates the gauges and the shares, and logs the begin and the end of each shortage, until the
// context ends.
func (r *rooms) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.gateway.Clock.After(roomInterval):
			r.gateway.protect("Rooms", r.report)
		}
	}
}

// report is one round of run. It forgets services that are gone.
func (r *rooms) report() {
	now, table := r.gateway.Clock.Now(), r.gateway.Table()
	r.shares.Refresh(now)
	exceeding := new(expvar.Int)
	exceeding.Set(int64(r.shares.Exceeding()))
	shareGauges.Set("Exceeding", exceeding)
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := int64(0)
	for service, l := range r.lines {
		n := l.Waiting()
		if table != nil && n == 0 {
			if _, known := table.Services[service]; !known {
				delete(r.lines, service)
			}
		}
		waiting += int64(n)
	}
	inLine := new(expvar.Int)
	inLine.Set(waiting)
	shareGauges.Set("Waiting", inLine)
	for service, p := range r.pricers {
		if table != nil {
			if _, known := table.Services[service]; !known {
				delete(r.pricers, service)
				delete(r.short, service)
				roomGauges.Delete(service)
				continue
			}
		}
		room := p.Room(now)
		level := new(expvar.Float)
		level.Set(room.Level())
		roomGauges.Set(service, level)
		if short := room.Level() > 0; short != r.short[service] {
			r.short[service] = short
			r.gateway.Log.Info("ShortageChanged", zap.String("Service", service), zap.Bool("Short", short), zap.Float64("Level", room.Level()))
		}
	}
}
