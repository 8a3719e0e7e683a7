package main

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/console/operator"
	"github.com/kingcupyard/kingcupyard/internal/measure/demo"
	"github.com/kingcupyard/kingcupyard/internal/standin/roster"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"kingcupyard": func() { os.Exit(run(os.Args[1:])) },
	})
}

const testKey = "operator-key"

// TestScripts runs testdata/*.txtar. A script whose name begins with "fleet"
// has two instances and their stand-ins behind $KINGCUPYARD_OPERATORS, and the
// addresses of stand-ins in $STORE.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", mustAbs("../../examples"))
			if !strings.HasPrefix(env.T().(interface{ Name() string }).Name(), "TestScripts/fleet") {
				return nil
			}
			return startTestFleet(env)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"post": post,
		},
	})
}

func mustAbs(path string) string {
	wd, err := os.Getwd()
	if err != nil {
		panic(err)
	}
	return wd + "/" + path
}

// post sends a JSON body: post URL BODY.
func post(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.Post(args[0], "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("post %s: status %d", args[0], resp.StatusCode)
	}
}

func startTestFleet(env *testscript.Env) error {
	d, err := demo.FindDeployment("Pottyround")
	if err != nil {
		return err
	}
	p, err := demo.StartPlatform(d, 1, demo.Addresses{})
	if err != nil {
		return err
	}
	env.Defer(p.Close)
	a := p.Addresses()
	for _, name := range []string{"entry-1", "entry-2"} {
		in, err := instanceStarter{zap.NewNop()}.Start(context.Background(), demo.InstanceSettings{
			Name: name, DataCentre: d.DataCentres[0], Region: d.Region, Store: a.Store, InstanceList: a.InstanceList,
			Rating: a.Rating, Weights: a.Weights, OperatorKeyHash: configuration.HashKey(testKey), PeerKey: "peer-key",
		})
		if err != nil {
			return err
		}
		env.Defer(func() { _ = in.Stop(context.Background()) })
		p.Roster.Put(roster.Instance{Name: name, Address: in.Callers, PeerAddress: in.Peers, Service: "kingcupyard", DataCentre: d.DataCentres[0], Region: d.Region, Generation: 1})
		env.Setenv("KINGCUPYARD_OPERATORS", "http://"+in.Operators)
		env.Setenv("CALLERS", "http://"+in.Callers)
	}
	awaitFleet(operator.NewClient(env.Getenv("KINGCUPYARD_OPERATORS"), testKey), 2)
	env.Setenv("KINGCUPYARD_OPERATOR_KEY", testKey)
	env.Setenv("STORE", "http://"+a.Store)
	return nil
}

// awaitFleet polls until every instance is ready and knows all others; the
// test's own timeout ends it.
func awaitFleet(c *operator.Client, size int) {
	isUp := func(s operator.Status) bool { return s.Ready && len(s.Members) == size }
	for {
		list, err := c.Statuses(context.Background())
		if err == nil && len(list) == size && lo.EveryBy(list, isUp) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestSharesFlag(t *testing.T) {
	is := is.New(t)
	var f sharesFlag
	is.NoErr(f.Set("0.1,1"))
	is.Equal(f.String(), "0.1,1")
	is.True(f.Set("0.1,x") != nil)
}
