package platform

import (
	"context"

	"github.com/teaseltide/teaseltide/internal/etcdjson"
)

// Condition requires that a key's mod revision is Revision; 0 means that the
// key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key in a transaction. Lease 0 means no lease.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic transaction: if all conditions hold, all puts and deletes
// are applied, otherwise none.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// TxnResult is the outcome of a transaction.
type TxnResult struct {
	// Succeeded is true if all conditions held.
	Succeeded bool
	Revision  Revision
	// Current holds the keys of the conditions in their order if a condition
	// failed; an absent key has ModRevision 0.
	Current []KeyValue
}

// Transactor is a Store with transactions over several keys.
type Transactor interface {
	Store
	// Txn runs a transaction. A condition that does not hold is not an error.
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
}

var _ Transactor = (*Gateway)(nil)

// Txn implements Transactor.
func (g *Gateway) Txn(ctx context.Context, txn Txn) (TxnResult, error) {
	var request etcdjson.TxnRequest
	for _, c := range txn.Conditions {
		request.Compare = append(request.Compare, etcdjson.Compare{
			Key: []byte(c.Key), Result: etcdjson.CompareEqual, Target: etcdjson.CompareMod, ModRevision: int64(c.Revision),
		})
		request.Failure = append(request.Failure, etcdjson.RequestOp{Range: &etcdjson.RangeRequest{Key: []byte(c.Key)}})
	}
	for _, p := range txn.Puts {
		request.Success = append(request.Success, etcdjson.RequestOp{Put: &etcdjson.PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: int64(p.Lease)}})
	}
	for _, key := range txn.Deletes {
		request.Success = append(request.Success, etcdjson.RequestOp{DeleteRange: &etcdjson.DeleteRangeRequest{Key: []byte(key)}})
	}
	var response etcdjson.TxnResponse
	if err := g.call(ctx, OpTxn, "", etcdjson.PathTxn, request, &response); err != nil {
		return TxnResult{}, err
	}
	result := TxnResult{Succeeded: response.Succeeded, Revision: Revision(response.Header.Revision)}
	if result.Succeeded {
		return result, nil
	}
	for i, c := range txn.Conditions {
		kv := KeyValue{Key: c.Key}
		if i < len(response.Responses) && response.Responses[i].Range != nil && len(response.Responses[i].Range.KeyValues) > 0 {
			kv = keyValue(response.Responses[i].Range.KeyValues[0])
		}
		result.Current = append(result.Current, kv)
	}
	return result, nil
}

// WatchScope delivers all keys of a scope initially and after each change until
// ctx ends, like WatchRecord. An error returned by deliver is passed to OnError;
// the receiver is expected to keep its previous state.
func (d *Directory) WatchScope(ctx context.Context, scope Scope, deliver func([]KeyValue, Revision) error) {
	d.watch(ctx, scope, deliver)
}
