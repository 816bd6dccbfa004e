package platform

import (
	"context"

	"github.com/teaseltide/teaseltide/internal/etcdjson"
)

// Condition requires that a key is at a revision; 0 means that it does not
// exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put is the write of a key in a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a transaction: all conditions hold and everything is written, or
// nothing is.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// TxnResult tells whether the conditions held. If they did not, Current holds
// the keys of the conditions; an absent one has ModRevision 0.
type TxnResult struct {
	Succeeded bool
	Revision  Revision
	Current   []KeyValue
}

// Transactor is a Store with transactions over several keys.
type Transactor interface {
	Store
	// Txn runs a transaction. Conditions that do not hold are no error.
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

// Follow delivers the keys of a scope and each change of them until ctx ends,
// like the other watches of a Directory. An error of deliver is reported, and
// the receiver keeps the previous state.
func (d *Directory) Follow(ctx context.Context, scope Scope, deliver func([]KeyValue, Revision) error) {
	d.watch(ctx, scope, deliver)
}
