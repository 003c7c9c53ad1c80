// Package etcdjson defines the messages of the etcd v3 JSON gateway that the
// store client and the fake store server of tests exchange. As the protocol
// defines it, keys and values are base64 and 64-bit integers are strings.
package etcdjson

// The paths of the HTTP API.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	// PathRevokeLegacy is the path of the revoke call in releases before 3.4.
	PathRevokeLegacy = "/v3/kv/lease/revoke"
	PathWatch        = "/v3/watch"
)

// The gRPC codes in error responses.
const (
	CodeInvalidArgument = 3
	CodeNotFound        = 5
	CodeOutOfRange      = 11
	CodeUnavailable     = 14
)

// Messages of error responses that say whether a write can have been applied.
const (
	// MessageNoLeader means that the request was not proposed to the cluster.
	MessageNoLeader = "etcdserver: no leader"
	MessageTooLarge = "etcdserver: request is too large"
	MessageNoLease  = "etcdserver: requested lease not found"
)

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is one key with its value, revisions and lease.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key or, if RangeEnd is set, the keys from Key up to but
// not including RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest deletes one key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction.
type RequestOp struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is a transaction: the operations of Success are applied if all
// conditions hold.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// Lease is the request and the response of the lease calls; TTL is in seconds.
type Lease struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is one message of the keep-alive stream.
type KeepAliveResponse struct {
	Result *Lease `json:"result,omitempty"`
	Error  *Error `json:"error,omitempty"`
}

// WatchCreateRequest requests the events of the keys from Key up to but not including
// RangeEnd, starting with revision StartRevision.
type WatchCreateRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create *WatchCreateRequest `json:"create_request"`
}

// Event is one change of a key; an empty Type means a put.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is the content of one message of a watch.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchResponse is one message of a watch stream.
type WatchResponse struct {
	Result *WatchResult `json:"result,omitempty"`
	Error  *Error       `json:"error,omitempty"`
}

// Error is the body of an error response.
type Error struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// PrefixRange returns the key and range end that select all keys with prefix. The
// range end is the smallest key that is greater than all of them; a zero byte
// means that there is no upper bound.
func PrefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	return []byte(prefix), []byte{0}
}
