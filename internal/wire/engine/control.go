package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"fulmarwick/internal/base/frame"

	"github.com/go-faster/errors"
)

const (
	reportTimeout = 2 * time.Second
	orderTimeout  = 5 * time.Second
	kvTimeout     = 20 * time.Second

	reportBytes = 1 << 20
	eventsBytes = 8 << 20
	kvBytes     = 256 << 20
)

// Control makes the JSON control calls to one engine. Set the fields before
// use.
type Control struct {
	HTTP *http.Client
	// Base is the base URL of the engine, such as "http://10.0.0.7:9000".
	Base string
}

// Report requests the report of the engine at base.
func Report(ctx context.Context, client *http.Client, base string) (frame.Engine, error) {
	return (&Control{HTTP: client, Base: base}).Report(ctx)
}

// Report requests the report of the engine. It returns ErrRefused if the
// engine does not respond or refuses the call, and ErrInvalidResponse if the
// response is invalid.
func (c *Control) Report(ctx context.Context) (frame.Engine, error) {
	var body frame.Engine
	q := call{method: http.MethodGet, path: "/v1/engine", timeout: reportTimeout, limit: reportBytes}
	if err := c.do(ctx, q, &body); err != nil {
		return frame.Engine{}, err
	}
	if err := checkEngine(&body); err != nil {
		return frame.Engine{}, err
	}
	return body, nil
}

// Events requests the cache events after since.
func (c *Control) Events(ctx context.Context, since uint64) (frame.Events, error) {
	var body frame.Events
	path := "/v1/events?since=" + strconv.FormatUint(since, 10)
	q := call{method: http.MethodGet, path: path, timeout: reportTimeout, limit: eventsBytes}
	if err := c.do(ctx, q, &body); err != nil {
		return frame.Events{}, err
	}
	if err := checkEvents(&body, since); err != nil {
		return frame.Events{}, err
	}
	return body, nil
}

// Order sends a load order. ErrStaleFence means that the engine has seen a
// higher fencing token. After any other error the engine may have accepted the
// order. Sending it again is safe, and only the report of the engine shows
// which layers it holds.
func (c *Control) Order(ctx context.Context, o frame.Order) error {
	data, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "engine: encode order")
	}
	q := call{method: http.MethodPost, path: "/v1/orders", body: data, timeout: orderTimeout, limit: reportBytes}
	return c.do(ctx, q, nil)
}

// Export reads the KV cache of layers [from, to) of the state of a request.
func (c *Control) Export(ctx context.Context, req string, from, to int) (frame.KV, error) {
	v := url.Values{"req": {req}, "from": {strconv.Itoa(from)}, "to": {strconv.Itoa(to)}}
	var body frame.KV
	q := call{method: http.MethodGet, path: "/v1/kv?" + v.Encode(), timeout: kvTimeout, limit: kvBytes}
	if err := c.do(ctx, q, &body); err != nil {
		return frame.KV{}, err
	}
	if body.Req != req || body.From != from || body.To != to || body.Pos < 0 {
		return frame.KV{}, errors.Wrap(ErrInvalidResponse, "KV cache has a wrong request, layer range or position")
	}
	return body, nil
}

// Import sends a KV cache to the engine. The engine opens the state under
// kv.Try.
func (c *Control) Import(ctx context.Context, kv *frame.KV) error {
	data, err := json.Marshal(kv)
	if err != nil {
		return errors.Wrap(err, "engine: encode KV cache")
	}
	q := call{method: http.MethodPut, path: "/v1/kv", body: data, timeout: kvTimeout, limit: reportBytes}
	return c.do(ctx, q, nil)
}

// call is one control call; limit bounds its response in bytes.
type call struct {
	method  string
	path    string
	body    []byte
	timeout time.Duration
	limit   int64
}

func (c *Control) do(ctx context.Context, q call, into any) error {
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, c.Base+q.path, bytes.NewReader(q.body))
	if err != nil {
		return errors.Wrap(err, "engine: create request")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(ErrRefused, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if err := status(resp.StatusCode); err != nil {
		return errors.Wrapf(err, "%s %s", q.method, req.URL.Path)
	}
	if into == nil {
		return nil
	}
	return decode(resp.Body, q.limit, into)
}

func status(code int) error {
	switch code {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return ErrStaleFence
	default:
		return errors.Wrapf(ErrRefused, "status %d", code)
	}
}

// decode reads one JSON value of at most limit bytes.
func decode(r io.Reader, limit int64, into any) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return errors.Wrap(ErrRefused, err.Error())
	}
	if int64(len(data)) > limit {
		return errors.Wrapf(ErrInvalidResponse, "response exceeds %d bytes", limit)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrap(ErrInvalidResponse, err.Error())
	}
	return nil
}
