package ledger

import (
	"encoding/binary"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// claimPackAge is how long a claim is kept with all its data. After that, only
// what is needed to answer a repeated request is kept, in packedClaimSize
// bytes.
const claimPackAge = time.Hour

// claimEntry is the full state of one claimed ID.
type claimEntry struct {
	Claim
	Instance string
	At       time.Time
	Free     bool          `json:",omitempty"`
	State    call.RunState `json:",omitempty"`
	Finished bool          `json:",omitempty"`
	Billed   bool          `json:",omitempty"`
	Answer   []byte        `json:",omitempty"`
	// Given lists the nonces of the claims that their senders have given up.
	Given []string `json:",omitempty"`
}

// packedClaim is what is kept of a claim after claimPackAge.
type packedClaim struct {
	hash     uint32 // low 32 bits of the hash of the request body
	seconds  uint32 // time of the claim in Unix seconds
	state    uint8
	finished bool
	billed   bool
}

// packedClaimSize is the stored size of a packed claim in bytes.
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
	// oldestBucket is the oldest bucket that may contain a claim.
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

// markBilled marks a claimed request as billed. It returns false if the claim
// is not packed.
func (p *packedClaims) markBilled(d digest) bool {
	c, ok := p.byDigest[d]
	if ok {
		c.billed = true
		p.byDigest[d] = c
	}
	return ok
}

// finish records the outcome of a packed claim. It returns false if the claim
// is not packed. An outcome other than NotRun comes only from the instance that
// was granted the claim, so the nonce need not be compared.
func (p *packedClaims) finish(key string, outcome call.RunState) bool {
	c, ok := p.get(key)
	if ok && outcome != call.NotRun && !c.finished {
		c.state, c.finished = uint8(outcome), true
		p.byDigest[digestOf(key)] = c
	}
	return ok
}

// expire removes the claims of all buckets before the given one.
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

// packClaims packs all buckets of claims that are older than claimPackAge and
// returns their numbers.
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
