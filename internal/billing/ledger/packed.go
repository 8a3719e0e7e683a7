package ledger

import (
	"encoding/binary"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// claimPackAge is how long a claim is kept with everything known of it. Later
// only what a repeat needs is kept, in packedClaimSize.
const claimPackAge = time.Hour

// claimEntry is what a shard knows of one claimed ID.
type claimEntry struct {
	Claim
	Instance string
	At       time.Time
	Free     bool          `json:",omitempty"`
	State    call.RunState `json:",omitempty"`
	Finished bool          `json:",omitempty"`
	Billed   bool          `json:",omitempty"`
	Answer   []byte        `json:",omitempty"`
	// Given lists the claims given up by their maker.
	Given []string `json:",omitempty"`
}

// packedClaim is what is kept of a claim after claimPackAge.
type packedClaim struct {
	hash     uint32 // the low half of the body's hash
	seconds  uint32 // Unix time of the claim
	state    uint8
	finished bool
	billed   bool
}

// packedClaimSize is the stored size of a packed claim.
const packedClaimSize = len(digest{}) + 9

func (p packedClaim) existing() *ExistingClaim {
	return &ExistingClaim{State: call.RunState(p.state), Finished: p.finished, At: p.at()}
}

func (p packedClaim) at() time.Time { return time.Unix(int64(p.seconds), 0).UTC() }

func (p packedClaim) bucket() int64 { return bucketOf(p.at()) }

const (
	packedFinished = 1 << 6
	packedBilled   = 1 << 7
)

func (p packedClaim) appendTo(b []byte, d digest) []byte {
	b = append(b, d[:]...)
	b = binary.LittleEndian.AppendUint32(b, p.hash)
	b = binary.LittleEndian.AppendUint32(b, p.seconds)
	flags := p.state
	if p.finished {
		flags |= packedFinished
	}
	if p.billed {
		flags |= packedBilled
	}
	return append(b, flags)
}

func decodePackedClaim(b []byte) (digest, packedClaim) {
	var d digest
	n := copy(d[:], b)
	flags := b[n+8]
	return d, packedClaim{
		hash: binary.LittleEndian.Uint32(b[n:]), seconds: binary.LittleEndian.Uint32(b[n+4:]),
		state: flags &^ (packedFinished | packedBilled), finished: flags&packedFinished != 0, billed: flags&packedBilled != 0,
	}
}

// packedClaims holds the claims older than claimPackAge.
type packedClaims struct {
	byDigest map[digest]packedClaim
	// oldestBucket is the oldestBucket bucket that may hold a claim.
	oldestBucket int64
}

func newPackedClaims() *packedClaims { return &packedClaims{byDigest: map[digest]packedClaim{}} }

func (p *packedClaims) get(key string) (packedClaim, bool) {
	if len(p.byDigest) == 0 {
		return packedClaim{}, false
	}
	c, ok := p.byDigest[digestOf(key)]
	return c, ok
}

func (p *packedClaims) isBilled(d digest) bool { return p.byDigest[d].billed }

// markBilled notes that a claimed request is billed; false if it is not packed.
func (p *packedClaims) markBilled(d digest) bool {
	c, ok := p.byDigest[d]
	if ok {
		c.billed = true
		p.byDigest[d] = c
	}
	return ok
}

// finish notes the outcome of a packed claim; false if it is not packed. Only
// the holder of a claim says that it ran, so no nonce is needed.
func (p *packedClaims) finish(key string, outcome call.RunState) bool {
	c, ok := p.get(key)
	if ok && outcome != call.NotRun && !c.finished {
		c.state, c.finished = uint8(outcome), true
		p.byDigest[digestOf(key)] = c
	}
	return ok
}

// expire forgets the claims of buckets before the given one.
func (p *packedClaims) expire(before int64) {
	if before <= p.oldestBucket {
		return
	}
	p.oldestBucket = before
	for d, c := range p.byDigest {
		if c.bucket() < before {
			delete(p.byDigest, d)
		}
	}
}

// packClaims moves whole buckets of claims that are older than claimPackAge. It returns
// the buckets moved.
func (s *state) packClaims(now time.Time) map[int64]bool {
	before := bucketOf(now.Add(-claimPackAge))
	moved := map[int64]bool{}
	for key, c := range s.claims {
		b := bucketOf(c.At)
		if b >= before {
			continue
		}
		moved[b] = true
		delete(s.claims, key)
		if c.Free && !c.Billed {
			continue
		}
		s.packed.byDigest[digestOf(key)] = packedClaim{
			hash: uint32(c.BodyHash), seconds: uint32(c.At.Unix()), state: uint8(c.State), finished: c.Finished, billed: c.Billed,
		}
	}
	return moved
}
