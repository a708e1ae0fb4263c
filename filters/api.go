package filters

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

const (
	// apiPathPrefix is the prefix of OpenAI calls.
	apiPathPrefix = "/v1/"
	modelsPath    = "/v1/models"
)

// API answers the calls of the OpenAI interface that concern the gateway itself: the
// lists of models. It refuses paths that are neither OpenAI calls nor name a service,
// and methods that these do not have.
type API struct{}

// Name implements Filter.
func (API) Name() string { return "api" }

// Handle implements Filter.
func (API) Handle(x *Exchange, next Handler) *outcome.Error {
	path, method := x.Request.URL.Path, x.Request.Method
	switch {
	case strings.HasPrefix(path, servicePathPrefix):
		return next(x)
	case path == modelsPath || strings.HasPrefix(path, modelsPath+"/"):
		if method != http.MethodGet && method != http.MethodHead {
			return methodNotAllowed(x, http.MethodGet, http.MethodHead)
		}
		return writeModels(x, strings.TrimPrefix(strings.TrimPrefix(path, modelsPath), "/"))
	case !strings.HasPrefix(path, apiPathPrefix) || path == apiPathPrefix:
		return outcome.Refuse(http.StatusNotFound, outcome.CodeNotFound, "no resource has this path")
	case method != http.MethodPost:
		return methodNotAllowed(x, http.MethodPost)
	}
	return next(x)
}

func methodNotAllowed(x *Exchange, allowed ...string) *outcome.Error {
	x.Writer.Header().Set("Allow", strings.Join(allowed, ", "))
	return outcome.Refuse(http.StatusMethodNotAllowed, outcome.CodeMethodNotAllowed, "this path does not have the method")
}

// model describes a model as OpenAI clients expect it. Clients send its ID to request
// the default work of a service, "SERVICE", or other work, "SERVICE/WORK".
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"` // unknown: 0
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// writeModels responds with the model of the given id, or with all models if it is
// empty.
func writeModels(x *Exchange, id string) *outcome.Error {
	models := modelsOf(x.Snapshot)
	var response any = modelList{"list", models}
	if id != "" {
		at := slices.IndexFunc(models, func(m model) bool { return m.ID == id })
		if at < 0 {
			return unknownService(errors.Wrapf(catalog.ErrUnknownService, "find model %q", id))
		}
		response = models[at]
	}
	body, err := json.Marshal(response)
	if err != nil {
		return outcome.Fail(outcome.CodeInternal, errors.Wrap(err, "encode models"), "the models cannot be listed")
	}
	header := x.Writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(outcome.RequestIDHeader, x.ID)
	header.Set(RevisionHeader, strconv.FormatUint(x.Snapshot.Revision, 10))
	header.Set(outcome.Header, outcome.Served.String())
	x.Status = http.StatusOK
	x.Writer.WriteHeader(http.StatusOK)
	if x.Request.Method != http.MethodHead {
		_, _ = x.Writer.Write(body)
	}
	return nil
}

// modelsOf returns the models of a configuration, sorted by ID. A caller's key is valid
// for all of them.
func modelsOf(snapshot *catalog.Snapshot) []model {
	models := []model{}
	add := func(id string) {
		models = append(models, model{ID: id, Object: "model", OwnedBy: "fuchsiastack"})
	}
	for name, service := range snapshot.Services {
		if service.Kind != catalog.Model {
			continue
		}
		if _, hasDefault := service.Work[service.Default]; hasDefault {
			add(name)
		}
		for work := range service.Work {
			add(name + "/" + work)
		}
	}
	slices.SortFunc(models, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	return models
}
