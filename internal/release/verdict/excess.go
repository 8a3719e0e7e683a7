package verdict

import "math"

// maxExactSteps bounds the work for an exact chance. Beyond it, the normal distribution is
// close.
const maxExactSteps = 100000

// excess compares the bad answers of both versions over several routes, each with its own
// rate. In the sum of all routes, those whose answers are never bad hide those that are.
type excess struct {
	bad, n   int
	expected float64 // of bad, if the versions are equal
	shares   []routeShare
}

// routeShare is the number of bad answers on a route, and the new version's share of all.
type routeShare struct {
	bad   int
	share float64
}

// add adds a route. One on which the old version's answers are mostly bad says nothing.
func (x *excess) add(bad, n, oldBad, oldN int) {
	if n == 0 || oldN == 0 || 2*oldBad > oldN {
		return
	}
	share := float64(n) / float64(n+oldN)
	x.bad, x.n = x.bad+bad, x.n+n
	x.expected += share * float64(bad+oldBad)
	x.shares = append(x.shares, routeShare{bad + oldBad, share})
}

// isUnlikely reports whether equal versions would show at least so many bad answers of the
// new one with less than the given chance. There have to be minBad of them, and more than
// expected by the given fraction of its answers.
func (x *excess) isUnlikely(minBad int, difference, chance float64) bool {
	if chance == 0 || x.bad < minBad || float64(x.bad)-x.expected < difference*float64(x.n) {
		return false
	}
	return x.chance() < chance
}

// chance returns the chance that equal versions show at least so many bad answers of the new
// one, out of those of both on each route.
func (x *excess) chance() float64 {
	total, variance := 0, 0.0
	for _, r := range x.shares {
		total += r.bad
		variance += float64(r.bad) * r.share * (1 - r.share)
	}
	if total*x.bad > maxExactSteps {
		return 0.5 * math.Erfc((float64(x.bad)-0.5-x.expected)/math.Sqrt(2*variance))
	}
	// fewer[k] is the chance that k of the bad answers so far are the new version's.
	fewer := make([]float64, x.bad)
	fewer[0] = 1
	for _, r := range x.shares {
		for range r.bad {
			for k := len(fewer) - 1; k > 0; k-- {
				fewer[k] += r.share * (fewer[k-1] - fewer[k])
			}
			fewer[0] *= 1 - r.share
		}
	}
	rest := 1.0
	for _, p := range fewer {
		rest -= p
	}
	return rest
}
