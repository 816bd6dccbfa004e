package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

func post(ctx context.Context, url string, data []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "fleet: request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "fleet: post")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("fleet: %s answered %s", url, resp.Status)
	}
	return nil
}

// get returns the body of a page. An empty token is left out.
func get(ctx context.Context, url, token string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: request")
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: get")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("fleet: %s answered %s", url, resp.Status)
	}
	body, err := io.ReadAll(resp.Body)
	return body, errors.Wrap(err, "fleet: read")
}

func getJSON(ctx context.Context, url, token string, into any) error {
	body, err := get(ctx, url, token)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, into), "fleet: decode")
}
