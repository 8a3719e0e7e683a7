package verdict

import "math"

// Fault tells what is at fault if a new version looks worse than the old one.
type Fault int

// What is at fault.
const (
	// VersionFault: the version, as far as is known.
	VersionFault Fault = iota
	// ServerFault: the server with most bad answers. The others are as good as the old
	// version.
	ServerFault
	// UnknownFault: either of them. The other servers have answered too little.
	UnknownFault
)

// A bad version shows at all its servers, a bad server nowhere else. The version is at fault if
// the other servers' answers are likelier, by a logarithm of minVersionEvidence, at the new
// version's rate of bad answers than at the old one's; the server is if they are likelier at the
// old one's than at the server's own, by minServerEvidence.
const (
	minVersionEvidence = 2
	minServerEvidence  = 3
)

// FindFault returns what is at fault if the evidence shows that the new version is worse. It
// takes the counts of the new version by server, over all routes that tell the versions apart;
// ready is the number of servers that accept work.
func FindFault(e Evidence, servers map[string]Counts, ready int) Fault {
	worst, others := splitWorst(servers)
	if worst.Answers == 0 || ready < 2 {
		return VersionFault
	}
	sum := e.telling().sum()
	switch {
	case likelihoodRatio(others, sum.New, sum.Old) > minVersionEvidence:
		return VersionFault
	case likelihoodRatio(others, sum.Old, worst) > minServerEvidence:
		return ServerFault
	}
	return UnknownFault
}

// splitWorst returns the counts of the server with most bad answers, and those of the others.
func splitWorst(servers map[string]Counts) (worst, others Counts) {
	for _, c := range servers {
		if c.bad() > worst.bad() {
			worst, c = c, worst
		}
		others.Add(c)
	}
	return worst, others
}

// likelihoodRatio returns the logarithm of how much likelier the outcomes in c are at the rates
// of failed, slow and other answers in a than at those in b.
func likelihoodRatio(c, a, b Counts) float64 {
	ratio, ratesA, ratesB := 0.0, a.rates(), b.rates()
	for i, n := range c.outcomes() {
		ratio += float64(n) * math.Log(ratesA[i]/ratesB[i])
	}
	return ratio
}

// outcomes returns the numbers of failed, slow and other answers.
func (c Counts) outcomes() [3]int {
	failed := min(c.Failed, c.Answers)
	slow := min(c.Slow, c.Answers-failed)
	return [3]int{failed, slow, c.Answers - failed - slow}
}

// rates estimates the rates of the outcomes, all above 0.
func (c Counts) rates() [3]float64 {
	var rates [3]float64
	for i, n := range c.outcomes() {
		rates[i] = (float64(n) + 0.5) / (float64(c.Answers) + 1.5)
	}
	return rates
}

// withoutServer returns the evidence without the server with most bad answers, over all
// routes together.
func withoutServer(e Evidence, servers map[string]Counts) Evidence {
	_, others := splitWorst(servers)
	return Evidence{"": {Old: e.telling().sum().Old, New: others}}
}

// IsTelling reports whether answers on the route tell the versions apart: not if those of the
// old one are mostly bad.
func (p Comparison) IsTelling() bool { return 2*p.Old.bad() <= p.Old.Answers }

// telling returns the evidence of the routes that tell the versions apart.
func (e Evidence) telling() Evidence {
	telling := Evidence{}
	for route, pair := range e {
		if pair.IsTelling() {
			telling[route] = pair
		}
	}
	return telling
}

// sum returns the counts over all routes.
func (e Evidence) sum() Comparison {
	var sum Comparison
	for _, pair := range e {
		sum.Old.Add(pair.Old)
		sum.New.Add(pair.New)
	}
	return sum
}
