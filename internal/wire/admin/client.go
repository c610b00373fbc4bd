package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxAnswer limits the size of an answer in bytes.
const maxAnswer = 64 << 20

// Client calls the operators' API of one instance. Set the exported fields
// before use. Its errors are those documented by Config, and ErrReach.
type Client struct {
	// Base is the base URL, such as "http://127.0.0.1:7070".
	Base string
	HTTP *http.Client
}

// Status returns the status of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

// Show returns the configuration in force.
func (c *Client) Show(ctx context.Context) (Shown, error) {
	var out Shown
	err := c.call(ctx, http.MethodGet, "/v1/config", nil, &out)
	return out, err
}

// History returns the newest changes, at most limit.
func (c *Client) History(ctx context.Context, limit int) ([]Change, error) {
	var out []Change
	err := c.call(ctx, http.MethodGet, "/v1/config/history?limit="+strconv.Itoa(limit), nil, &out)
	return out, err
}

// Apply submits a change.
func (c *Client) Apply(ctx context.Context, d Draft) (Applied, error) {
	var out Applied
	err := c.call(ctx, http.MethodPost, "/v1/config", draftBody(d), &out)
	return out, err
}

// Drain starts the graceful shutdown and returns the number of requests in
// progress.
func (c *Client) Drain(ctx context.Context) (int, error) {
	var out drained
	err := c.call(ctx, http.MethodPost, "/v1/drain", nil, &out)
	return out.Running, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader = http.NoBody
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "admin: encode")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.Base, "/")+path, body)
	if err != nil {
		return errors.Wrap(err, "admin: request")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(ErrReach, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errors.Wrap(ErrReach, err.Error())
	}
	if resp.StatusCode != http.StatusOK {
		return faultError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrap(err, "admin: answer")
	}
	return nil
}

// faultError converts a fault back to the error that it was made from.
func faultError(status int, data []byte) error {
	var f fault
	if err := json.Unmarshal(data, &f); err != nil {
		return errors.Errorf("admin: status %d: %s", status, strings.TrimSpace(string(data)))
	}
	switch f.Code {
	case codeConflict:
		return &ConflictError{Winners: f.Winners}
	case codeRefused:
		return &RefusedError{Problems: f.Problems}
	case codeDown:
		return ErrDown
	case codeUnsure:
		return &UnsureError{ID: f.ID}
	}
	return errors.Errorf("admin: %s: %s", f.Code, f.Text)
}
