package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// remote is a feature server.
type remote struct {
	URL string `arg:"" help:"The server's base URL."`
	Key string `help:"API key, as HEADER=KEY." placeholder:"HEADER=KEY"`
}

const (
	remoteWait = 30 * time.Second // for one response
	remoteMost = 32 << 20         // bytes of one
)

var remoteClient = http.Client{Timeout: remoteWait}

// get fetches one document and decodes it.
func (r *remote) get(ctx context.Context, at string, into any) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Accept", "application/geo+json, application/json")
	if header, key, ok := strings.Cut(r.Key, "="); ok {
		req.Header.Set(header, key)
	}
	resp, err := remoteClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, remoteMost+1))
	if err == nil && len(body) > remoteMost {
		err = fmt.Errorf("more than %d MB", remoteMost>>20)
	}
	if err != nil {
		return resp, fmt.Errorf("%s: %w", at, err)
	}
	if resp.StatusCode != http.StatusOK {
		var p struct{ Detail, Parameter string }
		json.Unmarshal(body, &p) // what is no problem document has no detail
		return resp, fmt.Errorf("%s: %s %s %s", at, resp.Status, p.Parameter, p.Detail)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return resp, fmt.Errorf("%s: %w", at, err)
	}
	return resp, nil
}

func (r *remote) base() string { return strings.TrimSuffix(r.URL, "/") }

type ogcLink struct {
	Href string `json:"href"`
	Rel  string `json:"rel"`
	Type string `json:"type"`
}

type ogcCollection struct {
	ID          string `json:"id"`
	Title       string `json:"title"`
	Description string `json:"description"`
	Extent      struct {
		Spatial struct {
			BBox [][]float64 `json:"bbox"`
		} `json:"spatial"`
	} `json:"extent"`
	Links []ogcLink `json:"links"`
}

type ogcCollections struct{ remote }
