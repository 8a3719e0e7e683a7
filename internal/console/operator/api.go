// Package operator is the operators' API of an instance and its client: typed
// changes of the configuration, the state of the fleet, explanations and the
// ledger, over HTTP with JSON in Pascal case.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/billing/ledger"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/change"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/distribution"
	"github.com/kingcupyard/kingcupyard/internal/relay/explanation"
)

// Editor commits changes of the configuration.
type Editor interface {
	Change(ctx context.Context, e distribution.Edit, edit func(*configuration.Document) error) (int64, error)
	Restore(ctx context.Context, e distribution.Edit) (int64, error)
}

// Fleet asks all instances.
type Fleet interface {
	// Ready says whether this instance may get requests, and if not, why. The
	// balancer asks often.
	Ready() (ready bool, reason string)
	Statuses(ctx context.Context) []Status
	InForce(ctx context.Context, revision int64) []InForce
	Explain(ctx context.Context, requestID string) []explanation.Record
}

// Accounts reads the ledger.
type Accounts interface {
	Audit(ctx context.Context) (ledger.Audit, error)
}

// API serves operators. Build it with New.
type API struct {
	editor   Editor
	fleet    Fleet
	accounts Accounts
	document func() *configuration.Document
	clock    clockwork.Clock
	log      *zap.Logger
	keyHash  string
	app      *fiber.App
}

const (
	// inForceTarget is how soon an accepted change is in force everywhere.
	inForceTarget = 4 * time.Second
	// inForcePoll is how often a waiting change asks the instances.
	inForcePoll   = 100 * time.Millisecond
	requestLimit  = 10 * time.Second
	maxBodyBytes  = 1 << 20
	maxIDBytes    = 200
	maxOperator   = 100
	defaultPerson = "operator"
)

// New returns an API for operators that hold the key with this hash.
func New(keyHash string, document func() *configuration.Document, e Editor, f Fleet, a Accounts, clock clockwork.Clock, log *zap.Logger) *API {
	api := &API{editor: e, fleet: f, accounts: a, document: document, clock: clock, log: log, keyHash: keyHash}
	api.app = api.routes()
	return api
}

// App returns the HTTP application to listen with.
func (a *API) App() *fiber.App { return a.app }

func (a *API) routes() *fiber.App {
	app := fiber.New(fiber.Config{AppName: "kingcupyard operators", BodyLimit: maxBodyBytes, Immutable: true, ErrorHandler: a.renderError})
	app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", a.ready)
	app.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))
	private := app.Group("/operator", a.authenticate)
	private.Get("/status", a.status)
	private.Get("/configuration", a.configuration)
	private.Post("/changes", a.change)
	private.Post("/restore", a.restore)
	private.Get("/explain/:id", a.explain)
	private.Get("/ledger", a.ledger)
	private.Get("/profile/:name", profile)
	return app
}

func (a *API) authenticate(c fiber.Ctx) error {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	hash := configuration.HashKey(key)
	if !ok || subtle.ConstantTimeCompare([]byte(hash), []byte(a.keyHash)) != 1 {
		return &Problem{Kind: ProblemUnauthorised, Field: "Authorization", Message: "want: Bearer KEY with the operators' key"}
	}
	return c.Next()
}

func (a *API) ready(c fiber.Ctx) error {
	if ready, reason := a.fleet.Ready(); !ready {
		return c.Status(fiber.StatusServiceUnavailable).SendString(reason + "\n")
	}
	return c.SendString("ok\n")
}

// profile answers with one of the runtime's profiles, such as heap, allocs or
// goroutine, in the format of go tool pprof.
func profile(c fiber.Ctx) error {
	p := pprof.Lookup(c.Params("name"))
	if p == nil {
		return &Problem{Kind: ProblemNotFound, Field: "Profile", Value: c.Params("name"), Message: "no such profile"}
	}
	return p.WriteTo(c.Response().BodyWriter(), 0)
}

func (a *API) status(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), requestLimit)
	defer cancel()
	return c.JSON(statusAnswer{Instances: a.fleet.Statuses(ctx)})
}

func (a *API) configuration(c fiber.Ctx) error {
	doc := a.document()
	if doc == nil {
		return &Problem{Kind: ProblemNotFound, Message: "no configuration is in force"}
	}
	return c.JSON(configurationAnswer{Revision: doc.Revision, Document: redact(doc)})
}

// redact removes the secrets from a copy of the document.
func redact(doc *configuration.Document) *configuration.Document {
	d := doc.Clone()
	for i := range d.SessionKeys {
		d.SessionKeys[i].Secret = nil
	}
	return d
}

func (a *API) explain(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), requestLimit)
	defer cancel()
	records := a.fleet.Explain(ctx, c.Params("id"))
	if len(records) == 0 {
		return &Problem{Kind: ProblemNotFound, Field: "RequestId", Value: c.Params("id"), Message: "no instance remembers this request"}
	}
	return c.JSON(explainAnswer{Records: records})
}

func (a *API) ledger(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.Context(), requestLimit)
	defer cancel()
	audit, err := a.accounts.Audit(ctx)
	if err != nil {
		return err
	}
	return c.JSON(ledgerAnswer{audit})
}

// readChange reads and checks the body of a change.
func readChange(c fiber.Ctx) (changeRequest, error) {
	var req changeRequest
	if err := decodeStrict(c.Body(), &req); err != nil {
		return req, err
	}
	return req, req.check()
}

func (a *API) change(c fiber.Ctx) error {
	req, err := readChange(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), requestLimit)
	defer cancel()
	edit := distribution.Edit{ID: req.ID, Operator: req.Operator, Summary: req.Command.Summary(), Expected: req.Expected}
	now := a.clock.Now()
	revision, err := a.editor.Change(ctx, edit, func(doc *configuration.Document) error {
		return req.Command.Apply(doc, now)
	})
	if err != nil {
		a.log.Warn("ChangeRefused", zap.String("ChangeId", req.ID), zap.String("Summary", edit.Summary), zap.Error(err))
		return err
	}
	a.log.Info("ChangeAccepted", zap.String("ChangeId", req.ID), zap.String("Summary", edit.Summary), zap.Int64("Revision", revision))
	return c.JSON(a.awaitInForce(ctx, req, revision))
}

// restore writes the configuration in force into a store that has lost it.
func (a *API) restore(c fiber.Ctx) error {
	req, err := readChange(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), requestLimit)
	defer cancel()
	revision, err := a.editor.Restore(ctx, distribution.Edit{ID: req.ID, Operator: req.Operator, Summary: "Restore"})
	if err != nil {
		return err
	}
	a.log.Warn("ConfigurationRestored", zap.String("ChangeId", req.ID), zap.Int64("Revision", revision))
	return c.JSON(a.awaitInForce(ctx, req, revision))
}

// awaitInForce asks the instances until all have the revision or the target
// time is over, and says which have it and which don't.
func (a *API) awaitInForce(ctx context.Context, req changeRequest, revision int64) changeAnswer {
	answer := changeAnswer{Accepted: true, ChangeID: req.ID, Revision: revision}
	end := a.clock.Now().Add(inForceTarget)
	for {
		answer.split(a.fleet.InForce(ctx, revision), revision)
		if len(answer.Missing) == 0 || req.NoWait || a.clock.Now().After(end) {
			return answer
		}
		select {
		case <-a.clock.After(inForcePoll):
		case <-ctx.Done():
			return answer
		}
	}
}

func (r *changeRequest) check() error {
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if len(r.ID) > maxIDBytes {
		return &Problem{Kind: ProblemBadInput, Field: "ID", Message: "longer than 200 bytes"}
	}
	if r.Operator == "" {
		r.Operator = defaultPerson
	}
	if len(r.Operator) > maxOperator {
		return &Problem{Kind: ProblemBadInput, Field: "Operator", Message: "longer than 100 bytes"}
	}
	if r.Expected < 0 {
		return &Problem{Kind: ProblemBadInput, Field: "Expected", Message: "want a revision, or 0 for the newest"}
	}
	return nil
}

func decodeStrict(body []byte, to any) error {
	dec := json.NewDecoder(strings.NewReader(string(body)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(to); err != nil {
		return &Problem{Kind: ProblemBadInput, Field: "body", Message: err.Error()}
	}
	return nil
}

// changeRequest is the body of POST /operator/changes.
type changeRequest struct {
	ID       string
	Operator string
	// Expected is the revision the operator saw; 0 stands for the newest.
	Expected int64
	NoWait   bool
	Command  change.Command
}

type changeAnswer struct {
	Accepted bool
	ChangeID string
	Revision int64
	InForce  []InForce
	Missing  []InForce
}

func (a *changeAnswer) split(list []InForce, revision int64) {
	a.InForce, a.Missing = []InForce{}, []InForce{}
	for _, i := range list {
		if i.Revision >= revision {
			a.InForce = append(a.InForce, i)
		} else {
			a.Missing = append(a.Missing, i)
		}
	}
}

type statusAnswer struct {
	Instances []Status
}

type configurationAnswer struct {
	Revision int64
	Document *configuration.Document
}

type explainAnswer struct {
	Records []explanation.Record
}

type ledgerAnswer struct {
	Audit ledger.Audit
}
