package store

// The gateway writes 64-bit numbers as strings and bytes as base64.

type header struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type deleteResponse struct {
	Header  header `json:"header"`
	Deleted int64  `json:"deleted,string"`
}

type requestOp struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Range  *rangeRequest  `json:"request_range,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type responseOp struct {
	Range *rangeResponse `json:"response_range"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []responseOp `json:"responses"`
}

type leaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

type leaseGrantResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type leaseRequest struct {
	ID int64 `json:"ID,string"`
}

type keepAliveResponse struct {
	Result struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	} `json:"result"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

type watchEvent struct {
	Type string   `json:"type"`
	KV   keyValue `json:"kv"`
}

type watchMessage struct {
	Result struct {
		Header          header       `json:"header"`
		Canceled        bool         `json:"canceled"`
		CompactRevision int64        `json:"compact_revision,string"`
		Events          []watchEvent `json:"events"`
	} `json:"result"`
}
