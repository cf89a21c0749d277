package connector_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/connector"
)

// get requests url with short progress limits and reads the whole body.
func get(t *testing.T, url string) (string, *damaskspread.Progress, error) {
	progress := &damaskspread.Progress{
		Response: 150 * time.Millisecond,
		Stall:    150 * time.Millisecond,
	}
	request, err := http.NewRequestWithContext(damaskspread.WithProgress(t.Context(), progress), http.MethodGet, url, nil)
	assert.NilError(t, err)
	response, err := connector.NewHTTPClient().Do(request)
	if err != nil {
		return "", progress, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), progress, err
}

// Guards against a large response over a slow link that is aborted although it
// arrives steadily, and against waiting for a peer that sends nothing (more).
func TestProgress(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			<-release
			return
		}
		for range 8 {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			if r.URL.Path == "/stalled" {
				<-release
				return
			}
			time.Sleep(60 * time.Millisecond)
		}
	}))
	defer server.Close()
	defer close(release)

	body, progress, err := get(t, server.URL+"/slow")
	assert.NilError(t, err)
	assert.Equal(t, body, strings.Repeat("part", 8))
	assert.Assert(t, progress.Begun())

	for path, begun := range map[string]bool{"/silent": false, "/stalled": true} {
		started := time.Now()
		_, progress, err := get(t, server.URL+path)
		var stalled *connector.StalledError
		assert.Assert(t, errors.As(err, &stalled), "%s: %v", path, err)
		assert.Equal(t, stalled.Begun, begun)
		assert.Equal(t, progress.Begun(), begun)
		assert.Assert(t, time.Since(started) < 2*time.Second)
	}
}

// Guards against a call without progress limits that loses its own deadline.
func TestWithoutProgress(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
	assert.NilError(t, err)
	_, err = connector.NewHTTPClient().Do(request) //nolint:bodyclose // there is no response
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}
