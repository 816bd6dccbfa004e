// Package etcdjson defines the messages of the etcd v3 JSON gateway that teaseltide
// uses: range, txn, lease grant, keep-alive and revoke, and watch. The encoding
// follows the published protocol: keys and values are base64, 64-bit integers are
// strings, fields with zero values are absent.
package etcdjson

// Paths of the calls.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// Values of enumerations.
const (
	CompareMod   = "MOD"
	CompareEqual = "EQUAL"
	EventDelete  = "DELETE"
)

// gRPC status codes in errors of the gateway.
const (
	CodeInvalidArgument = 3
	CodeNotFound        = 5
	CodeUnimplemented   = 12
	CodeUnavailable     = 14
)

// Header is part of every response.
type Header struct {
	ClusterID uint64 `json:"cluster_id,string,omitempty"`
	MemberID  uint64 `json:"member_id,string,omitempty"`
	// Revision is the revision of the store when the call was served.
	Revision int64  `json:"revision,string,omitempty"`
	RaftTerm uint64 `json:"raft_term,string,omitempty"`
}

// KeyValue is a key with its value, revisions and lease.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys from Key, inclusive, to RangeEnd, exclusive, or only
// Key if RangeEnd is empty.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
	// MinModRevision excludes keys last modified before it. It does not affect
	// RangeResponse.Count.
	MinModRevision int64 `json:"min_mod_revision,string,omitempty"`
}

// RangeResponse answers RangeRequest.
type RangeResponse struct {
	Header    Header     `json:"header"`
	KeyValues []KeyValue `json:"kvs,omitempty"`
	// Count is the number of keys in the range, without the filters.
	Count int64 `json:"count,string,omitempty"`
}

// PutRequest writes a key within a transaction.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes keys within a transaction.
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// Compare is a condition of a transaction on the mod revision of a key.
type Compare struct {
	Key         []byte `json:"key,omitempty"`
	Result      string `json:"result,omitempty"`
	Target      string `json:"target,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

// TxnRequest executes Success if every comparison is true, otherwise Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// PutResponse answers PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeResponse answers DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted int64  `json:"deleted,string,omitempty"`
}

// ResponseOp answers one RequestOp.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnResponse answers TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// Lease is the request and the response of lease calls. TTL is in seconds; a
// keep-alive response without TTL means that the lease no longer exists.
type Lease struct {
	Header *Header `json:"header,omitempty"`
	ID     int64   `json:"ID,string,omitempty"`
	TTL    int64   `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is one message of the keep-alive stream.
type KeepAliveResponse struct {
	Result *Lease `json:"result,omitempty"`
	Error  *Error `json:"error,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the keys of a watch like RangeRequest.
type WatchCreate struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchResponse is one message of the watch stream.
type WatchResponse struct {
	Result *WatchResult `json:"result,omitempty"`
	Error  *Error       `json:"error,omitempty"`
}

// WatchResult reports the creation or cancellation of a watch, or events.
type WatchResult struct {
	Header          Header  `json:"header"`
	WatchID         int64   `json:"watch_id,string,omitempty"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Event is a change of a key. Type is absent for a put.
type Event struct {
	Type     string   `json:"type,omitempty"`
	KeyValue KeyValue `json:"kv"`
}

// Error is the body of a response with an error status, and the error message
// of a stream.
type Error struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// PrefixEnd returns the range end that selects all keys beginning with prefix,
// which must not be empty or end in the byte 0xff.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}
