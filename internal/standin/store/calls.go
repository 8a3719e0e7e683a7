package store

import (
	"net/http"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/standin/host"
)

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	var in rangeRequest
	if !decode(w, r, &in) {
		return
	}
	s.mu.Lock()
	s.counts.Range++
	s.data.expire(s.clock.Now())
	out := s.data.get(&in)
	out.Header = s.header()
	s.mu.Unlock()
	host.JSON(w, http.StatusOK, out)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	var in putRequest
	if !decode(w, r, &in) {
		return
	}
	var err error
	out := putResponse{}
	s.change(func(d *data) {
		s.counts.Put++
		s.counts.BytesWritten += int64(len(in.Value))
		_, err = d.apply([]operation{{Put: &in}}, s.settings.ValueLimit)
		out.Header = s.header()
	})
	if err != nil {
		fail(w, http.StatusBadRequest, 3, err.Error())
		return
	}
	s.answer(w, out)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	var in deleteRequest
	if !decode(w, r, &in) {
		return
	}
	out := deleteResponse{}
	s.change(func(d *data) {
		s.counts.DeleteRange++
		done, _ := d.apply([]operation{{DeleteRange: &in}}, s.settings.ValueLimit)
		out.Deleted = done[0].DeleteRange.Deleted
		out.Header = s.header()
	})
	s.answer(w, out)
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in txnRequest
	if !decode(w, r, &in) {
		return
	}
	var out txnResponse
	var err error
	s.change(func(d *data) {
		s.counts.Txn++
		for _, op := range in.Success {
			if op.Put != nil {
				s.counts.BytesWritten += int64(len(op.Put.Value))
			}
		}
		out, err = d.txn(in, s.settings.ValueLimit)
		out.Header = s.header()
	})
	if err != nil {
		fail(w, http.StatusBadRequest, 3, err.Error())
		return
	}
	s.answer(w, out)
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in leaseRequest
	if !decode(w, r, &in) {
		return
	}
	if in.TTL < 1 {
		fail(w, http.StatusBadRequest, 3, "etcdserver: TTL must be 1 or more")
		return
	}
	taken := false
	s.change(func(d *data) {
		s.counts.LeaseGrant++
		if in.ID == 0 {
			d.nextID++
			in.ID = d.nextID
		}
		if taken = d.leases[in.ID] != nil; !taken {
			ttl := time.Duration(in.TTL) * time.Second
			d.leases[in.ID] = &lease{ttl, s.clock.Now().Add(ttl), map[string]struct{}{}}
		}
	})
	if taken {
		fail(w, http.StatusBadRequest, 9, "etcdserver: lease already exists")
		return
	}
	s.answer(w, leaseResponse{Header: s.lockedHeader(), ID: in.ID, TTL: in.TTL})
}

func (s *Store) lockedHeader() *header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.header()
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var in leaseRequest
	if !decode(w, r, &in) {
		return
	}
	out := leaseResponse{ID: in.ID}
	s.change(func(d *data) {
		s.counts.KeepAlive++
		if l := d.leases[in.ID]; l != nil {
			l.expires = s.clock.Now().Add(l.ttl)
			out.TTL = number(l.ttl / time.Second)
		}
		out.Header = s.header()
	})
	s.answer(w, stream[leaseResponse]{out})
}

func (s *Store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var in leaseRequest
	if !decode(w, r, &in) {
		return
	}
	found := false
	s.change(func(d *data) {
		s.counts.Revoke++
		found = d.revoke(in.ID)
	})
	if !found {
		fail(w, http.StatusNotFound, 5, "etcdserver: requested lease not found")
		return
	}
	s.answer(w, putResponse{Header: s.lockedHeader()})
}

// serveWatch streams the changes of a key range until the caller leaves, the
// store is down, or the changes asked for are no longer kept.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var in watchRequest
	if !decode(w, r, &in) {
		return
	}
	s.count(func(c *Counts) { c.Watch++; c.Watching++ })
	defer s.count(func(c *Counts) { c.Watching-- })
	next := in.Create.StartRevision
	if next == 0 {
		next = s.lockedHeader().Revision + 1
	}
	if writeStream(w, watchResponse{Header: s.lockedHeader(), Created: true}) != nil {
		return
	}
	for {
		s.mu.Lock()
		changed, out := s.changed, watchResponse{Header: s.header()}
		if next < s.data.compacted {
			out.Canceled, out.CompactRevision = true, s.data.compacted
		} else {
			out.Events = s.data.since(next, in.Create.Key, in.Create.RangeEnd)
		}
		next = max(next, s.data.revision+1)
		s.mu.Unlock()
		if s.faults.Get().Down || !s.sendWatch(w, r, out) {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-s.host.Done():
			return
		}
	}
}

// sendWatch sends what there is to send; it reports false when the watch ends.
func (s *Store) sendWatch(w http.ResponseWriter, r *http.Request, out watchResponse) bool {
	if s.host.IsSilent(r.Context()) || s.faults.Get().Hang {
		s.host.Block(r)
	}
	if len(out.Events) == 0 && !out.Canceled {
		return true
	}
	return writeStream(w, out) == nil && !out.Canceled
}
