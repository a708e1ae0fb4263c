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

// RevisionPath is where every instance tells callers and operators which
// revision it has in force.
const RevisionPath = "/v1/revision"

// maxAnswerBytes bounds the answer of an instance.
const maxAnswerBytes = 4 << 10

// RevisionAnswer is the answer at RevisionPath.
type RevisionAnswer struct {
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// HTTPProber asks instances over HTTP.
type HTTPProber struct{ Client *http.Client }

// Revision implements Prober. An answer of another instance at the same
// address is an error.
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
		return 0, errors.Errorf("rollout: status %d", resp.StatusCode)
	}
	var answer RevisionAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return 0, errors.Wrap(err, "rollout: decode answer")
	}
	if answer.Instance != instance.ID {
		return 0, errors.Errorf("rollout: instance %q answers for %q", answer.Instance, instance.ID)
	}
	return answer.Revision, nil
}
