package store

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/standin/observation"
)

// data is the store's state under one lock.
type data struct {
	revision number
	keys     map[string]keyValue
	leases   map[number]*lease
	nextID   number
	history  []change
	// compacted is the lowest revision that a watch can start from.
	compacted number
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

func newData() *data {
	return &data{revision: 1, keys: map[string]keyValue{}, leases: map[number]*lease{}, nextID: 1000}
}

// copy returns a copy for a backup; leases start anew from it.
func (d *data) copy() *data {
	c := newData()
	c.revision, c.keys, c.nextID = d.revision, maps.Clone(d.keys), d.nextID
	c.compacted = d.revision + 1
	for id, l := range d.leases {
		c.leases[id] = &lease{l.ttl, l.expires, maps.Clone(l.keys)}
	}
	return c
}

// inRange follows the gateway: no end is one key, a zero byte is all from key.
func inRange(key, start, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, start)
	}
	return bytes.Compare(key, start) >= 0 && (bytes.Equal(end, []byte{0}) || bytes.Compare(key, end) < 0)
}

func (d *data) find(start, end []byte) []keyValue {
	if len(end) == 0 {
		if kv, ok := d.keys[string(start)]; ok {
			return []keyValue{kv}
		}
		return nil
	}
	var found []keyValue
	for _, kv := range d.keys {
		if inRange(kv.Key, start, end) {
			found = append(found, kv)
		}
	}
	slices.SortFunc(found, func(a, b keyValue) int { return bytes.Compare(a.Key, b.Key) })
	return found
}

func (d *data) get(r *rangeRequest) *rangeResponse {
	found := d.find(r.Key, r.RangeEnd)
	out := &rangeResponse{Count: number(len(found))}
	if r.Limit > 0 && len(found) > int(r.Limit) {
		found, out.More = found[:r.Limit], true
	}
	if r.CountOnly {
		return out
	}
	for _, kv := range found {
		if r.KeysOnly {
			kv.Value = nil
		}
		out.KVs = append(out.KVs, kv)
	}
	return out
}

func (d *data) put(p *putRequest, revision number) error {
	key := string(p.Key)
	kv, ok := d.keys[key]
	if !ok {
		kv = keyValue{Key: p.Key, CreateRevision: revision}
	}
	if p.Lease != 0 && d.leases[p.Lease] == nil {
		return fmt.Errorf("etcdserver: requested lease not found")
	}
	if old := d.leases[kv.Lease]; old != nil {
		delete(old.keys, key)
	}
	if l := d.leases[p.Lease]; l != nil {
		l.keys[key] = struct{}{}
	}
	kv.Value, kv.Lease, kv.ModRevision = p.Value, p.Lease, revision
	kv.Version++
	d.keys[key] = kv
	d.history = append(d.history, change{KV: kv})
	return nil
}

func (d *data) remove(start, end []byte, revision number) number {
	found := d.find(start, end)
	for _, kv := range found {
		delete(d.keys, string(kv.Key))
		if l := d.leases[kv.Lease]; l != nil {
			delete(l.keys, string(kv.Key))
		}
		d.history = append(d.history, change{Type: "DELETE", KV: keyValue{Key: kv.Key, ModRevision: revision}})
	}
	return number(len(found))
}

// holds reports whether a condition of a transaction is met.
func (d *data) holds(c compare) bool {
	kv := d.keys[string(c.Key)]
	var order int
	switch c.Target {
	case "CREATE":
		order = cmp.Compare(kv.CreateRevision, c.CreateRevision)
	case "MOD":
		order = cmp.Compare(kv.ModRevision, c.ModRevision)
	case "VALUE":
		order = bytes.Compare(kv.Value, c.Value)
	case "LEASE":
		order = cmp.Compare(kv.Lease, c.Lease)
	default: // VERSION is the zero value of the gateway's field
		order = cmp.Compare(kv.Version, c.Version)
	}
	switch c.Result {
	case "GREATER":
		return order > 0
	case "LESS":
		return order < 0
	case "NOT_EQUAL":
		return order != 0
	}
	return order == 0
}

// apply runs operations as one change. It checks all of them before any.
func (d *data) apply(ops []operation, valueLimit int) ([]operationResponse, error) {
	for _, op := range ops {
		if op.Put == nil {
			continue
		}
		if len(op.Put.Value) > valueLimit {
			return nil, fmt.Errorf("etcdserver: request is too large")
		}
		if op.Put.Lease != 0 && d.leases[op.Put.Lease] == nil {
			return nil, fmt.Errorf("etcdserver: requested lease not found")
		}
	}
	next, before := d.revision+1, len(d.history)
	var out []operationResponse
	for _, op := range ops {
		switch {
		case op.Put != nil:
			if err := d.put(op.Put, next); err != nil {
				return nil, err
			}
			out = append(out, operationResponse{Put: &putResponse{}})
		case op.Range != nil:
			out = append(out, operationResponse{Range: d.get(op.Range)})
		case op.DeleteRange != nil:
			n := d.remove(op.DeleteRange.Key, op.DeleteRange.RangeEnd, next)
			out = append(out, operationResponse{DeleteRange: &deleteResponse{Deleted: n}})
		}
	}
	if len(d.history) > before {
		d.revision = next
	}
	return out, nil
}

// txn runs a transaction.
func (d *data) txn(t txnRequest, valueLimit int) (txnResponse, error) {
	out := txnResponse{Succeeded: true}
	for _, c := range t.Compare {
		out.Succeeded = out.Succeeded && d.holds(c)
	}
	ops := t.Failure
	if out.Succeeded {
		ops = t.Success
	}
	var err error
	out.Responses, err = d.apply(ops, valueLimit)
	return out, err
}

// expire removes the leases that lapsed, with their keys.
func (d *data) expire(now time.Time) {
	for id, l := range d.leases {
		if !now.Before(l.expires) {
			d.revoke(id)
		}
	}
}

// revoke removes a lease and its keys.
func (d *data) revoke(id number) bool {
	l := d.leases[id]
	if l == nil {
		return false
	}
	delete(d.leases, id)
	if len(l.keys) == 0 {
		return true
	}
	d.revision++
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		d.remove([]byte(key), nil, d.revision)
	}
	return true
}

// trim bounds the history.
func (d *data) trim(limit int) {
	if len(d.history) <= 2*limit {
		return
	}
	cut := len(d.history) - limit
	d.compacted = d.history[cut-1].KV.ModRevision + 1
	d.history = slices.Clone(d.history[cut:])
}

// since returns the changes in a key range from a revision on.
func (d *data) since(revision number, start, end []byte) []change {
	i, _ := slices.BinarySearchFunc(d.history, revision, func(c change, r number) int {
		return cmp.Compare(c.KV.ModRevision, r)
	})
	var out []change
	for _, c := range d.history[i:] {
		if inRange(c.KV.Key, start, end) {
			out = append(out, c)
		}
	}
	return out
}

// written describes the changes made after a revision, for the log.
func (d *data) written(after number, now time.Time) []observation.Event {
	var events []observation.Event
	for i := len(d.history) - 1; i >= 0 && d.history[i].KV.ModRevision > after; i-- {
		c := d.history[i]
		events = append(events, observation.Event{
			At: now, Kind: observation.KindWritten, Key: string(c.KV.Key),
			Revision: int64(c.KV.ModRevision), Detail: strings.ToLower(c.Type),
		})
	}
	slices.Reverse(events)
	return events
}
