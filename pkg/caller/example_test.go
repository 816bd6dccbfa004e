package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/teaseltide/teaseltide/pkg/caller"
)

// The test server takes the place of an entry.
func Example() {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"service":"quoting","key":"quote-17","ran":"complete","results":[{"price":120}],"elapsed-ms":80}`))
	}))
	defer entry.Close()

	client := caller.New(entry.URL)
	answer, err := client.Submit(context.Background(), &caller.Job{
		Team:     "electricians",
		Service:  "quoting",
		Key:      "quote-17",
		Deadline: 30_000,
		Tasks:    []caller.Task{{Payload: json.RawMessage(`{"part":"fuse"}`)}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(answer.Ran, string(answer.Results[0]))
	// Output: complete {"price":120}
}
