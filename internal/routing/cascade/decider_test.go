package cascade

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func TestDecideKeepsToTheAllowedModels(t *testing.T) {
	is := is.New(t)
	d := New()
	rnd := rand.New(rand.NewPCG(1, 1))
	is.Equal(len(d.Decide(Query{Judge: true}, rnd).Steps), 0)
	is.Equal(d.Decide(Query{Judge: true, Models: []Candidate{{"cheap", 1}}}, rnd).Steps, []Step{{Model: "cheap"}})
}
