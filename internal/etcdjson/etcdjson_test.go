package etcdjson_test

import (
	"encoding/json"
	"testing"

	"github.com/teaseltide/teaseltide/internal/etcdjson"
)

// Guards against an encoding of the messages that the published gateway rejects:
// wrong names, integers that are not strings, values that are not base64.
func TestEncoding(t *testing.T) {
	cases := []struct {
		name string
		got  any
		want string
	}{
		{
			"range",
			etcdjson.RangeRequest{Key: []byte("foo"), RangeEnd: etcdjson.PrefixEnd("foo")},
			`{"key":"Zm9v","range_end":"Zm9w"}`,
		},
		{
			"txn",
			etcdjson.TxnRequest{
				Compare: []etcdjson.Compare{{Key: []byte("foo"), Target: etcdjson.CompareMod, Result: etcdjson.CompareEqual}},
				Success: []etcdjson.RequestOp{{Put: &etcdjson.PutRequest{Key: []byte("foo"), Value: []byte("bar"), Lease: 7}}},
			},
			`{"compare":[{"key":"Zm9v","result":"EQUAL","target":"MOD","mod_revision":"0"}],` +
				`"success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"7"}}]}`,
		},
		{"grant", etcdjson.Lease{TTL: 2}, `{"TTL":"2"}`},
		{
			"watch",
			etcdjson.WatchRequest{Create: etcdjson.WatchCreate{Key: []byte("foo"), StartRevision: 3}},
			`{"create_request":{"key":"Zm9v","start_revision":"3"}}`,
		},
	}
	for _, c := range cases {
		got, err := json.Marshal(c.got)
		if err != nil || string(got) != c.want {
			t.Errorf("%s: got %s, %v, want %s", c.name, got, err, c.want)
		}
	}
}

// Guards against wrong decoding of the example responses in the documentation of the
// gateway.
func TestDecoding(t *testing.T) {
	const text = `{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255",` +
		`"revision":"2","raft_term":"3"},"kvs":[{"key":"Zm9v","create_revision":"2",` +
		`"mod_revision":"2","version":"1","value":"YmFy"}],"count":"1"}`
	var got etcdjson.RangeResponse
	if err := json.Unmarshal([]byte(text), &got); err != nil {
		t.Fatal(err)
	}
	kv := got.KeyValues[0]
	if got.Header.Revision != 2 || got.Count != 1 || string(kv.Key) != "foo" || string(kv.Value) != "bar" || kv.ModRevision != 2 {
		t.Errorf("got %+v", got)
	}
}
