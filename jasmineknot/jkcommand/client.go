package jkcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"jasmineknot.example/core/jkconfigapi"
)

// configPath is the path at which a daemon serves the configuration.
const configPath = "/v1/config"

// editPath is the path of edits, below configPath.
const editPath = "/sections/"

// call sends one request. A problem in the answer is returned as
// *jkconfigapi.Problem; without a usable answer call returns a *NoAnswerError. The
// body's reader is wrapped so that the transport can't rewind it and replay the
// request; the edit id makes edits idempotent as well.
func call(ctx context.Context, method, server, path string, body, answer any) error {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = io.NopCloser(bytes.NewReader(text))
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(server, "/")+configPath+path, reader)
	if err != nil {
		return &UsageError{Detail: err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	noAnswer := func(cause error) error {
		return &NoAnswerError{Server: server, Edit: strings.HasPrefix(path, editPath), Cause: cause}
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return noAnswer(err)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		if err := json.NewDecoder(res.Body).Decode(answer); err != nil {
			return noAnswer(err)
		}
		return nil
	}
	var p jkconfigapi.Problem
	if err := json.NewDecoder(res.Body).Decode(&p); err != nil || p.Type == "" {
		return noAnswer(fmt.Errorf("status %d without a problem", res.StatusCode))
	}
	return &p
}

// FetchDocument returns the newest configuration document of a daemon.
func FetchDocument(ctx context.Context, server string) (jkconfigapi.Document, error) {
	var d jkconfigapi.Document
	return d, call(ctx, http.MethodGet, server, "", nil, &d)
}

// SendEdit sends an edit of one section to a daemon.
func SendEdit(ctx context.Context, server string, e jkconfigapi.Edit) (jkconfigapi.EditResult, error) {
	var r jkconfigapi.EditResult
	return r, call(ctx, http.MethodPost, server, editPath+e.Section, e, &r)
}
