package rollout

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/listing"
)

// RevisionPath is the URL path at which every instance reports the configuration
// revision that it has in force, for callers and operators.
const RevisionPath = "/v1/revision"

// maxResponseBytes is the maximum size of a response body that is read.
const maxResponseBytes = 4 << 10

// RevisionResponse is the JSON response at RevisionPath.
type RevisionResponse struct {
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// HTTPProber implements Prober over HTTP.
type HTTPProber struct{ Client *http.Client }

// Revision implements Prober. It returns an error if another instance responds at
// the address of instance.
func (p HTTPProber) Revision(ctx context.Context, instance listing.Instance) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(instance.URL, "/")+RevisionPath, http.NoBody)
	if err != nil {
		return 0, err
	}
	resp, err := p.Client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("get revision of instance %s: status %d", instance.ID, resp.StatusCode)
	}
	var response RevisionResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&response); err != nil {
		return 0, errors.Wrapf(err, "decode revision response of instance %s", instance.ID)
	}
	if response.Instance != instance.ID {
		return 0, errors.Errorf("get revision: response is from instance %q, expected %q", response.Instance, instance.ID)
	}
	return response.Revision, nil
}
