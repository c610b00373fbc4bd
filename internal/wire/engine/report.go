package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"

	"github.com/go-faster/errors"
)

const (
	reportTimeout = 2 * time.Second
	reportBytes   = 1 << 20
)

// Report asks the engine at base for its report.
func Report(ctx context.Context, client *http.Client, base string) (frame.Engine, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/engine", nil)
	if err != nil {
		return frame.Engine{}, errors.Wrap(err, "engine: report")
	}
	resp, err := client.Do(req)
	if err != nil {
		return frame.Engine{}, errors.Wrap(ErrRefused, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return frame.Engine{}, errors.Wrapf(ErrRefused, "report status %d", resp.StatusCode)
	}
	var body frame.Engine
	if err := json.NewDecoder(io.LimitReader(resp.Body, reportBytes)).Decode(&body); err != nil {
		return frame.Engine{}, errors.Wrap(err, "engine: report body")
	}
	return body, nil
}

// Row turns a report into a row of the world.
func Row(id spec.UpstreamID, b frame.Engine) world.Engine {
	row := world.Engine{
		ID: id, DataCentre: spec.DataCentre(b.DataCentre), Kind: b.Kind,
		Layer: time.Duration(b.Layer), Slots: b.Slots, Memory: b.Memory,
		Cache: b.Cache, Cached: b.Cached, Queued: b.Queued, Active: b.Active,
		Hop: time.Duration(b.Link) * time.Microsecond, Bandwidth: b.Bandwidth, Seq: b.Seq,
	}
	for _, h := range b.Holds {
		row.Holds = append(row.Holds, world.Hold{
			Model: spec.ModelName(h.Model), Version: h.Version, Depth: h.Depth,
			Layers: spec.NewLayers(h.From, h.To), Width: h.Width,
		})
	}
	return row
}
