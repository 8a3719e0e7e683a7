package gateway

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
	"github.com/kingcupyard/kingcupyard/internal/routing/quarantine"
)

// crashes collects which prompts servers were working on when they crashed. Instances
// report to the readers, which write the parts that crash servers to the store. All
// instances learn of these like of any other change, also after a restart.
type crashes struct {
	gateway *Gateway
	// local holds what this instance has seen itself, fleet also what others have
	// reported.
	local *quarantine.Tracker
	fleet *quarantine.Tracker
	// written holds when this instance wrote a part to the store, in an era of it. They
	// belong to run.
	written map[string]time.Time
	era     int64
}

const (
	// reportInterval is the time between reports of recent crashes. Each crash is in
	// several reports, as datagrams may be lost.
	reportInterval = 250 * time.Millisecond
	// quarantineDuration is how long prompts with a part are kept away from servers
	// before it is tried again.
	quarantineDuration = 5 * time.Minute
	// maxPartIDBytes bounds the IDs that are quarantined. They are part of a key in the
	// store.
	maxPartIDBytes = 100
	// quarantineRetryDelay is the time to the next attempt after the store couldn't be
	// written.
	quarantineRetryDelay = time.Second
	// maxChangeDelay is how long the watch may take to bring a part that was written.
	maxChangeDelay = 10 * time.Second
)

func newCrashes(g *Gateway) *crashes {
	return &crashes{gateway: g, local: quarantine.New(), fleet: quarantine.New(), written: map[string]time.Time{}}
}

// sharedParts returns the IDs of the parts that several requests may share: all but the
// last.
func sharedParts(parts []dispatch.PromptPart) []string {
	if len(parts) < 2 {
		return nil
	}
	var ids []string
	for _, p := range parts[:len(parts)-1] {
		if p.ID != "" && len(p.ID) <= maxPartIDBytes {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// observe takes in the outcome of an attempt.
func (c *crashes) observe(o pipeline.AttemptOutcome) {
	parts, now := sharedParts(o.PromptParts), c.gateway.Clock.Now()
	if len(parts) == 0 {
		return
	}
	if o.Begun {
		c.local.RecordAnswer(parts, now)
		c.fleet.RecordAnswer(parts, now)
	}
	prompt := quarantine.Prompt{Request: o.PromptParts[len(o.PromptParts)-1].ID, Parts: parts}
	for _, server := range o.Crashed {
		c.local.RecordCrash(quarantine.ServerRun{Server: server.ID, StartedAt: server.StartedAt}, prompt, now)
		c.gateway.Log.Warn("ServerCrashed", zap.String("Server", server.ID), zap.String("Version", server.Version), zap.Strings("Parts", parts))
	}
}

// run reports crashes, and on a reader quarantines parts, until the context ends.
func (c *crashes) run(ctx context.Context) {
	g := c.gateway
	for {
		interval := jitter(reportInterval)
		g.protect("Crashes", func() {
			if !c.tick(ctx) {
				interval = quarantineRetryDelay
			}
		})
		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(interval):
		}
	}
}

// tick sends one report and, on a reader, quarantines the parts that are found. It
// reports false if the store couldn't be written.
func (c *crashes) tick(ctx context.Context) bool {
	g := c.gateway
	now := g.Clock.Now()
	if report, recent := c.local.Report(now); recent {
		c.fleet.Merge(report, now)
		for _, reader := range g.index().readers {
			if reader.Name != g.Settings.Instance {
				g.peers.send(reader.PeerAddress, &message{Crashes: &report})
			}
		}
	}
	if reader, found := g.feeds.reader(); !found || reader.Name != g.Settings.Instance {
		return true
	}
	quarantined := g.fleet().QuarantinedParts
	if era := g.follower.Era(); era != c.era {
		clear(c.written) // the store may have come back from a copy that lacks them
		c.era = era
	}
	maps.DeleteFunc(c.written, func(_ string, at time.Time) bool { return now.Sub(at) > maxChangeDelay })
	isKnown := func(part string) bool { return quarantined[part] || !c.written[part].IsZero() }
	for _, found := range c.fleet.Find(isKnown, now) {
		err := g.Store.Quarantine(ctx, found.Part, found.Crashes, quarantineDuration)
		g.Log.Warn("PartQuarantined", zap.String("Part", found.Part), zap.Int("Crashes", found.Crashes), zap.Duration("For", quarantineDuration), zap.Error(err))
		if err != nil {
			return false
		}
		c.written[found.Part] = now
	}
	return true
}
