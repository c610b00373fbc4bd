package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

const (
	callTimeout  = 3 * time.Second
	dialTimeout  = time.Second
	idleTimeout  = 30 * time.Second
	maxIdleConns = 16
	maxBodyBytes = 64 << 20
)

// Client is the HTTP client of the platform's table and object services. Set the
// exported fields before the first call.
type Client struct {
	// BaseURL is the URL of the platform, such as "http://10.0.0.2:7000".
	BaseURL string
	// HTTP makes the calls; see NewHTTPClient.
	HTTP *http.Client
	// OnMalformed, if not nil, is called for each entry of the list that can't be decoded and is skipped.
	OnMalformed func(entry []byte, err error)
}

// NewHTTPClient returns a client with its own transport. Connections are reused:
// unlike a payment, a commit whose connection broke can be read back.
func NewHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Get returns the row with the key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	return c.getRow(ctx, "/v1/row", key)
}

func (c *Client) getRow(ctx context.Context, path, key string) (Row, error) {
	var b RowBody
	if err := c.read(ctx, path+"?key="+url.QueryEscape(key), asJSON(&b)); err != nil {
		return Row{}, err
	}
	return NewRow(b.Key, b.Version, b.Value), nil
}

// Scan returns at most limit rows with the key prefix and a version above since,
// ordered by version.
func (c *Client) Scan(ctx context.Context, prefix string, since uint64, limit int) ([]Row, error) {
	q := url.Values{}
	q.Set("prefix", prefix)
	q.Set("since", strconv.FormatUint(since, 10))
	q.Set("limit", strconv.Itoa(limit))
	var b ScanBody
	if err := c.read(ctx, "/v1/table?"+q.Encode(), asJSON(&b)); err != nil {
		return nil, err
	}
	rows := make([]Row, 0, len(b.Rows))
	for _, r := range b.Rows {
		rows = append(rows, NewRow(r.Key, r.Version, r.Value))
	}
	return rows, nil
}

// Commit applies all writes or none and returns the new version.
func (c *Client) Commit(ctx context.Context, writes []Write) (uint64, error) {
	var body CommitBody
	for _, w := range writes {
		body.Writes = append(body.Writes, WriteBody{Key: w.key, IfVersion: w.ifVersion, Value: w.value, Remove: w.remove})
	}
	data, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Wrap(err, "store: encode")
	}
	var done CommitDone
	if err := c.call(ctx, http.MethodPost, "/v1/commit", data, asJSON(&done)); err != nil {
		return 0, err
	}
	return done.Version, nil
}

// GetObject returns the object with the key, or ErrNotFound.
func (c *Client) GetObject(ctx context.Context, key string) (Row, error) {
	return c.getRow(ctx, "/v1/object", key)
}

// PutObject stores an object if the current object with the key has the version
// ifVersion; zero means that there must be no object. It returns the new version.
func (c *Client) PutObject(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error) {
	data, err := json.Marshal(WriteBody{Key: key, IfVersion: ifVersion, Value: value})
	if err != nil {
		return 0, errors.Wrap(err, "store: encode")
	}
	var done CommitDone
	if err := c.call(ctx, http.MethodPost, "/v1/object", data, asJSON(&done)); err != nil {
		return 0, err
	}
	return done.Version, nil
}

// ListInstances returns the platform's list of instances and upstreams. The list lags
// behind the actual state.
func (c *Client) ListInstances(ctx context.Context) ([]ListedBody, error) {
	var out []ListedBody
	decode := func(body io.Reader) (err error) {
		out, err = decodeList(body, c.OnMalformed)
		return err
	}
	if err := c.read(ctx, "/v1/instances", decode); err != nil {
		return nil, err
	}
	return out, nil
}

// read makes a call without side effects. A lost response is therefore reported as
// ErrUnavailable.
func (c *Client) read(ctx context.Context, path string, decode decoder) error {
	err := c.call(ctx, http.MethodGet, path, nil, decode)
	if errors.Is(err, ErrOutcomeUnknown) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return err
}

func (c *Client) call(ctx context.Context, method, path string, data []byte, decode decoder) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	// NopCloser hides the type of the reader from net/http, so that the request
	// has no GetBody and is never sent again after a broken connection.
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return errors.Wrap(err, "store: request")
	}
	req.ContentLength = int64(len(data))
	if len(data) == 0 {
		req.Body = http.NoBody
	}
	resp, err := c.HTTP.Do(req)
	if err != nil && !connected {
		// Without a connection nothing was sent, so the call had no effect.
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	if err != nil {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeResponse(resp, decode)
}

// decoder decodes the body of a response.
type decoder func(body io.Reader) error

// asJSON returns a decoder of a JSON value.
func asJSON(into any) decoder {
	return func(body io.Reader) error { return json.NewDecoder(body).Decode(into) }
}

func decodeResponse(resp *http.Response, decode decoder) error {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	default:
		return errors.Wrapf(ErrOutcomeUnknown, "status %d", resp.StatusCode)
	}
	if err := decode(io.LimitReader(resp.Body, maxBodyBytes)); err != nil {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return nil
}
