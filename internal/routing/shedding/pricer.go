package shedding

import (
	"math"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

// priorities is the number of priorities that are told apart.
const priorities = 10

// rank returns the index of a priority.
func rank(priority int) int { return max(0, min(priorities-1, priority)) }

const (
	// minWork is the least work that a request counts with.
	minWork = time.Millisecond
	// maxRelativeRate bounds the value per work of a request, relative to the usual one.
	maxRelativeRate = 3
	// bearablePressure is the mean wait before a request's own work, as a fraction of the
	// latency target, above which there is a shortage. It is below 1 because of that work,
	// and because predictions hardly include what other instances send in the meantime.
	bearablePressure = 0.6
	// maxPressure bounds a single observation.
	maxPressure = 3
	// pressureWindow is the time constant of the mean pressure, and meanWeight the weight of
	// one observation in the other means. An instance of a large fleet sees a request of a
	// kind about once a second.
	pressureWindow = 500 * time.Millisecond
	meanWeight     = 0.1
	// levelGain is the growth rate of the level per second and unit of pressure beyond
	// what is bearable.
	levelGain = 2
	// minLevel and maxLevel bound the level of a shortage.
	minLevel = 0.1
	maxLevel = 4
	// maxSilence is the time without an observation after which the pressure counts as 0.
	maxSilence = 1500 * time.Millisecond
	// minGap is the least time that an observation counts for.
	minGap = 10 * time.Millisecond
	// priorityMemory is how long a priority counts as in use after a request.
	priorityMemory = 10 * time.Second
	// loadMemory is how long the loads that servers state are believed.
	loadMemory = 2 * time.Second
	// freePlaces is the share of taken places below which servers have free ones.
	freePlaces = 0.5
	// minWaiting is the mean number of waiting requests at a server below which nothing
	// waits there.
	minWaiting = 0.05
)

// Room is the room of a service at one moment. The zero Room has room for everything.
type Room struct {
	// level holds the price of room by the priority of the request that takes it, relative
	// to the usual value of a second of work. It is 0 if there is no shortage.
	level [priorities]float64
	// price is the same in units of value per second.
	price [priorities]float64
	// valueRate holds the usual value per second of work by priority, 0 if unknown.
	valueRate [priorities]float64
	// placesFree is set if servers state that under half of their places are taken and
	// nothing waits.
	placesFree bool
	// shareExceeded is set if some customers use more than their share.
	shareExceeded bool
	// roomIn is the time after which the shortage is expected to have ended.
	roomIn time.Duration
}

// Price returns the value that other requests lose per second of a server's work on a
// request of a priority; 0 if there is no shortage.
func (room Room) Price(priority int) float64 { return room.price[rank(priority)] }

// Level returns the highest price, relative to the usual value of a second of work.
func (room Room) Level() float64 { return room.level[0] }

// WithShares returns the room, given whether some customers use more than their share.
func (room Room) WithShares(exceeded bool) Room {
	room.shareExceeded = exceeded
	return room
}

// Pricer learns the price of room at one service. Servers serve urgent requests first, so
// that each priority has a shortage of its own: its price rises while the waits of its
// requests, as predicted and as observed, come too near to the latency targets, and falls
// while they don't, as a congestion price does. A request takes room from those of its own
// priority and of all less urgent ones. The prices are learnt from this instance's
// requests, whose predictions include the backlog of the whole fleet. A Pricer is safe for
// concurrent use.
type Pricer struct {
	mu     sync.Mutex
	queues [priorities]queue
	// taken is the mean share of taken places and waiting the mean number of waiting
	// requests at a server, as of the loads stated until loadAt.
	taken, waiting float64
	loadAt         time.Time
}

// queue is what is known of the requests of one priority.
type queue struct {
	// pressure is the mean of the waits as fractions of the latency targets, level the
	// price that follows from it, relative to valueRate, both as of at.
	at       time.Time
	pressure float64
	level    float64
	// observedAt is when a wait was last observed.
	observedAt time.Time
	// valueRate is the usual value per second of work.
	valueRate float64
	// usedAt is when a request was last seen.
	usedAt time.Time
}

// NewPricer returns a Pricer that knows of no shortage.
func NewPricer() *Pricer { return &Pricer{} }

// ObserveRequest takes in a request with the route's latency target.
func (p *Pricer) ObserveRequest(r Request, target time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := &p.queues[rank(r.Priority)]
	q.usedAt = now
	update(&q.valueRate, r.valueRate())
	q.observe(r.PredictedWait-r.Work, target, now)
}

// ObserveFirstEvent takes in after what time the first event of an answer to a request came.
func (p *Pricer) ObserveFirstEvent(r Request, after, target time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queues[rank(r.Priority)].observe(after-r.Work, target, now)
}

// ObserveFull takes in that a server has refused a request of a priority because it was
// full.
func (p *Pricer) ObserveFull(priority int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queues[rank(priority)].observe(maxPressure, 1, now)
	p.observeLoad(1, 1, now)
}

// ObserveLoad takes in the load that a server stated, unless it left out a part.
func (p *Pricer) ObserveLoad(l backend.Load, now time.Time) {
	if l.Slots <= 0 || l.Running < 0 || l.Waiting < 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observeLoad(float64(l.Running)/float64(l.Slots), float64(l.Waiting), now)
}

// observeLoad is ObserveLoad for a caller that holds mu.
func (p *Pricer) observeLoad(taken, waiting float64, now time.Time) {
	if now.Sub(p.loadAt) > loadMemory {
		p.taken, p.waiting = taken, waiting
	}
	p.taken += meanWeight * (taken - p.taken)
	p.waiting += meanWeight * (waiting - p.waiting)
	p.loadAt = now
}

// observe takes in a wait.
func (q *queue) observe(wait, target time.Duration, now time.Time) {
	if target <= 0 {
		return
	}
	q.advance(now)
	weight := 1 - math.Exp(-max(minGap, now.Sub(q.observedAt)).Seconds()/pressureWindow.Seconds())
	q.observedAt = now
	q.pressure += weight * (max(0, min(maxPressure, float64(wait)/float64(target))) - q.pressure)
}

// advance brings the level up to date. Without observations, the pressure counts on for
// maxSilence and then as 0.
func (q *queue) advance(now time.Time) {
	elapsed := now.Sub(q.at)
	if q.at.IsZero() || elapsed < 0 {
		q.at, q.observedAt = now, now
		return
	}
	active := max(0, min(elapsed, q.observedAt.Add(maxSilence).Sub(q.at)))
	q.grow(active)
	if active < elapsed {
		q.pressure = 0
		q.grow(elapsed - active)
	}
	q.at = now
}

// grow lets the level follow the pressure for a time.
func (q *queue) grow(d time.Duration) {
	growth := levelGain * (q.pressure - bearablePressure) * d.Seconds()
	if q.level == 0 && growth > 0 {
		q.level = minLevel
	}
	q.level = min(maxLevel, q.level*math.Exp(growth))
	if q.level < minLevel {
		q.level = 0
	}
}

// roomIn returns the time after which the shortage has ended if it goes on as it does.
func (q *queue) roomIn() time.Duration {
	if q.level == 0 {
		return 0
	}
	fall := levelGain * (bearablePressure - q.pressure)
	if fall <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(math.Log(q.level/minLevel)/fall, time.Hour.Seconds()) * float64(time.Second))
}

// Room returns the room of the service.
func (p *Pricer) Room(now time.Time) Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	room := Room{placesFree: now.Sub(p.loadAt) <= loadMemory && p.taken < freePlaces && p.waiting < minWaiting}
	level, price := 0.0, 0.0
	for i := priorities - 1; i >= 0; i-- {
		q := &p.queues[i]
		q.advance(now)
		level += q.level
		price += q.level * q.valueRate
		room.level[i], room.price[i], room.valueRate[i] = level, price, q.valueRate
		room.roomIn = max(room.roomIn, q.roomIn())
		if !q.usedAt.IsZero() && now.Sub(q.usedAt) < priorityMemory {
			level /= urgencyFactor
		}
	}
	// Where only urgent requests wait too long, the others are to give way.
	for i := 1; i < priorities; i++ {
		room.level[i], room.price[i] = max(room.level[i], room.level[i-1]), max(room.price[i], room.price[i-1])
	}
	return room
}

// update moves a mean towards an observation. The first one becomes the mean.
func update(mean *float64, x float64) {
	if *mean == 0 {
		*mean = x
	}
	*mean += meanWeight * (x - *mean)
}
