package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// send sends a request on a connection of its own and reads its whole answer.
func send(req *http.Request, within time.Duration) (outcome string, took time.Duration) {
	client := http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var body bytes.Buffer
		if _, err = io.Copy(&body, resp.Body); err == nil {
			return fmt.Sprintf("status %d, %d bytes", resp.StatusCode, body.Len()), time.Since(began)
		}
	}
	return fmt.Sprintf("no answer: %v", reason(err)), time.Since(began)
}

// reason is an error without the address that was asked.
func reason(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}
