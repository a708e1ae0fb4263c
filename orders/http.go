package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// Path is the URL path at which engines accept orders (PUT) and report their
// state (GET).
const Path = "/orders"

// maxReportBytes is the maximum size of an engine's report that is read.
const maxReportBytes = 64 << 10

// ErrStaleFence means that the engine rejected an order because it has already
// accepted one with a higher fencing number.
var ErrStaleFence = errors.New("engine refused the fencing number")

// HTTPEngineClient implements EngineClient over HTTP.
type HTTPEngineClient struct{ Client *http.Client }

// Report implements EngineClient.
func (e HTTPEngineClient) Report(ctx context.Context, server backend.Info) (Report, error) {
	var report Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Addr+Path, http.NoBody)
	if err != nil {
		return report, err
	}
	resp, err := e.Client.Do(req)
	if err != nil {
		return report, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, errors.Errorf("get state of engine %s: status %d", server.ID, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report)
	return report, err
}

// Send implements EngineClient. An engine can act on an order only after it has
// received the complete body. So the lease is checked on each read of the body,
// when the HTTP client is about to send the bytes.
func (e HTTPEngineClient) Send(ctx context.Context, server backend.Info, order Order, valid func() bool) error {
	encoded, err := json.Marshal(order)
	if err != nil {
		return errors.Wrapf(err, "encode order for engine %s", server.ID)
	}
	body := leaseCheckedBody{content: bytes.NewReader(encoded), valid: valid}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+server.Addr+Path, body)
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(encoded))
	resp, err := e.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrStaleFence
	}
	return errors.Errorf("send order to engine %s: status %d", server.ID, resp.StatusCode)
}

// leaseCheckedBody is a request body whose reads fail with ErrLeaseLost once the
// lease is no longer valid.
type leaseCheckedBody struct {
	content io.Reader
	valid   func() bool
}

// Read implements io.Reader.
func (b leaseCheckedBody) Read(p []byte) (int, error) {
	if !b.valid() {
		return 0, ErrLeaseLost
	}
	return b.content.Read(p)
}
