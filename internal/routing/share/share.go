// Package share tells which customers use more than their share of a service, over all
// instances.
//
// It is built for one customer that sends many times its usual requests, through any
// instance, or whose clients retry at once and often, beside customers of unequal size
// that send as usual. Each instance sees a few requests a second, so that the sums over
// the fleet tell. An instance reports the uses of its heaviest customers; the reports are
// added up on the way and cut to the heaviest again, so that their size depends neither on
// the number of instances nor on that of customers: who exceeds its share is among the
// heaviest.
package share

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Uses maps keys of a service and a customer to the customer's use of the service, in
// milliseconds of server work per second.
type Uses map[string]int64

// serviceKeyLength is the length of the part of a key that stands for the service.
const serviceKeyLength = 8

// Key returns the key of a service and a customer. It is a hash of fixed length.
func Key(service, customer string) string {
	return serviceKey(service) + fmt.Sprintf("%08x", uint32(xxhash.Sum64String(customer)))
}

func serviceKey(service string) string {
	return fmt.Sprintf("%0*x", serviceKeyLength, uint32(xxhash.Sum64String(service)))
}

// Add adds other to the uses in place.
func (u Uses) Add(other Uses) {
	for key, use := range other {
		u[key] += use
	}
}

// Subtract returns the uses less other, without those of which nothing is left.
func (u Uses) Subtract(other Uses) Uses {
	rest := maps.Clone(u)
	for key, use := range other {
		if rest[key] -= use; rest[key] <= 0 {
			delete(rest, key)
		}
	}
	return rest
}

// MaxReported is the number of uses in a report.
const MaxReported = 48

// Heaviest returns up to MaxReported uses, the heaviest of each service.
func (u Uses) Heaviest() Uses {
	if len(u) <= MaxReported {
		return u
	}
	keys := slices.SortedFunc(maps.Keys(u), func(a, b string) int { return cmp.Or(cmp.Compare(u[b], u[a]), cmp.Compare(a, b)) })
	// The heaviest of each service come first, so that one service doesn't displace another.
	ranks, next := make(map[string]int, len(u)), map[string]int{}
	for _, key := range keys {
		service := key[:serviceKeyLength]
		ranks[key] = next[service]
		next[service]++
	}
	slices.SortStableFunc(keys, func(a, b string) int { return cmp.Compare(ranks[a], ranks[b]) })
	heaviest := make(Uses, MaxReported)
	for _, key := range keys[:MaxReported] {
		heaviest[key] = u[key]
	}
	return heaviest
}

// excessFactor is the multiple of its share from which a customer exceeds it. Requests come
// in clumps.
const excessFactor = 2

// Fractions returns each customer's fraction of the use of its service.
func (u Uses) Fractions() map[string]float64 {
	totals := map[string]int64{}
	for key, use := range u {
		totals[key[:serviceKeyLength]] += use
	}
	fractions := make(map[string]float64, len(u))
	for key, use := range u {
		if total := totals[key[:serviceKeyLength]]; total > 0 {
			fractions[key] = float64(use) / float64(total)
		}
	}
	return fractions
}

// Excess returns the keys of those that exceed their share of a service. A customer's share
// is what it usually uses, as a fraction of the whole, or an equal part if that is more. A
// service with one customer has no shares.
func Excess(fractions, usual map[string]float64) map[string]bool {
	customers := map[string]int{}
	for key := range fractions {
		customers[key[:serviceKeyLength]]++
	}
	over := map[string]bool{}
	for key, fraction := range fractions {
		n := customers[key[:serviceKeyLength]]
		if n > 1 && fraction > excessFactor*max(usual[key], 1/float64(n)) {
			over[key] = true
		}
	}
	return over
}
