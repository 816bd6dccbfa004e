package store_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/teaseltide/teaseltide/internal/standin/store"
)

func request(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	return res.StatusCode, strings.TrimSpace(string(text))
}

// Guards against a stand-in whose faults and counts cannot be used from
// outside the process, and whose answers differ from the gateway's form.
func TestOverHTTP(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	ready := make(chan string)
	done := make(chan error)
	go func() {
		done <- store.Run(ctx, store.Settings{Listen: "127.0.0.1:0", OnListen: func(url string) { ready <- url }})
	}()
	url := <-ready
	steps := []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"POST", "/v3/kv/txn", `{"success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}]}`, 200, `"succeeded":true`},
		{"POST", "/v3/kv/range", `{"key":"Zm9v"}`, 200,
			`"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}],"count":"1"`},
		{"POST", "/v3/kv/txn", `{"success":[{"request_put":{"key":"Zm9v","lease":"9"}}]}`, 404, `"message":"etcdserver: requested lease not found"`},
		{"POST", "/v3/kv/range", `{"key":`, 400, `"code":3`},
		{"POST", "/faults", `{"dwon":true}`, 400, "dwon"},
		{"POST", "/faults", `{"lose-next-answers":1}`, 200, `"lose-next-answers":1`},
		{"POST", "/v3/lease/grant", `{"TTL":"2"}`, 0, "EOF"},
		{"GET", "/faults", "", 200, `"lose-next-answers":0`},
		{"POST", "/faults", `{"lose-answers-to":["/a","/a","/b"]}`, 200, `"lose-answers-to":["/a","/a","/b"]`},
		{"POST", "/v3/kv/txn", `{"success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}]}`, 200, `"succeeded":true`},
		{"POST", "/v3/kv/txn", `{"success":[{"request_put":{"key":"L2Ev","value":"YmFy"}}]}`, 0, "EOF"},
		{"POST", "/v3/kv/range", `{"key":"L2Ev"}`, 200, `"count":"1"`},
		{"GET", "/faults", "", 200, `"lose-answers-to":["/a","/b"]`},
		{"POST", "/faults", `{"down":true}`, 200, `"down":true`},
		{"POST", "/v3/kv/range", `{"key":"Zm9v"}`, 0, "EOF"},
		{"GET", "/counts", "", 200, `{"calls":{"lease-grant":1,"range":2,"txn":4},"waiting-watches":0}`},
	}
	for _, s := range steps {
		status, got := request(t, s.method, url+s.path, s.body)
		if status != s.status || !strings.Contains(got, s.want) {
			t.Errorf("%s %s %s: got %d %s, want %d %s", s.method, s.path, s.body, status, got, s.status, s.want)
		}
	}
	stop()
	if err := <-done; err != nil {
		t.Errorf("got %v after stopping", err)
	}
}
