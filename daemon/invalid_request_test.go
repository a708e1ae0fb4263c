package daemon_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/standin/engine"
)

// Each invalid request gets an error response with a code, an outcome and a
// request id, and none reaches the engine.
func TestInvalidRequestsAreRejectedWithoutExecution(t *testing.T) {
	gatewayURL, engineURL := startGateway(t, engine.Config{Slots: 1})
	before := executions(t, engineURL)
	huge := `{"model":"drafting-desk","messages":"` + strings.Repeat("x", 9<<20) + `"}`
	for _, test := range []struct {
		name, path, body string
		header           map[string]string
		status           int
		code             outcome.Code
	}{
		{"missing API key", "/v1/chat/completions", "{}", map[string]string{"Authorization": ""}, 401, outcome.CodeUnauthenticated},
		{"unknown API key", "/v1/chat/completions", "{}", map[string]string{"Authorization": "Bearer x"}, 401, outcome.CodeUnauthenticated},
		{"malformed JSON", "/v1/chat/completions", `{"model":`, nil, 400, outcome.CodeBadRequest},
		{"missing model", "/v1/chat/completions", `{}`, nil, 400, outcome.CodeBadRequest},
		{"model is not a string", "/v1/chat/completions", `{"model":[[1]]}`, nil, 404, outcome.CodeUnknownService},
		{"unknown service", "/v1/chat/completions", `{"model":"poetry"}`, nil, 404, outcome.CodeUnknownService},
		{"unknown work", "/v1/chat/completions", `{"model":"drafting-desk/poems"}`, nil, 404, outcome.CodeUnknownWork},
		{"unknown service in path", "/services/poetry/", "x", nil, 404, outcome.CodeUnknownService},
		{"body too large", "/v1/chat/completions", huge, nil, 413, outcome.CodeBodyTooLarge},
		{"zero deadline", "/v1/chat/completions", `{"model":"drafting-desk"}`, map[string]string{"Fuchsia-Deadline-Ms": "0"}, 400, outcome.CodeBadDeadline},
		{"deadline overflow", "/v1/chat/completions", `{"model":"drafting-desk"}`, map[string]string{"Fuchsia-Deadline-Ms": "99999999999999999999"}, 400, outcome.CodeBadDeadline},
		{"hop header from caller", "/v1/chat/completions", `{"model":"drafting-desk"}`, map[string]string{"Fuchsia-Hop-Region": "alex"}, 400, outcome.CodeLoop},
		{"missing idempotency key", "/services/orders-desk/dispatch/x", "x", nil, 400, outcome.CodeKeyRequired},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			req, err := http.NewRequest(http.MethodPost, gatewayURL+test.path, strings.NewReader(test.body))
			c.Assert(err, qt.IsNil)
			req.Header.Set("Authorization", "Bearer nile-press-key")
			for name, value := range test.header {
				req.Header.Set(name, value)
			}
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			var body outcome.Body
			c.Assert(json.NewDecoder(resp.Body).Decode(&body), qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, test.status)
			c.Check(body.Error.Code, qt.Equals, test.code)
			c.Check(body.Error.Outcome, qt.Equals, outcome.NotRun.String())
			c.Check(resp.Header.Get(outcome.Header), qt.Equals, outcome.NotRun.String())
			c.Check(body.Error.RequestID, qt.Not(qt.Equals), "")
		})
	}
	qt.Assert(t, executions(t, engineURL), qt.Equals, before)
}

// TestModelsAreListed guards against clients that cannot list the models, and against
// errors that speak of the body of a request whose path or method is wrong.
func TestModelsAreListed(t *testing.T) {
	gatewayURL, engineURL := startGateway(t, engine.Config{Slots: 1})
	before := executions(t, engineURL)
	for _, test := range []struct {
		method, path, key string
		status            int
		allow, code       string
		contains          string
	}{
		{http.MethodGet, "/v1/models", "nile-press-key", 200, "", "", `{"object":"list","data":[{"id":"drafting-desk","object":"model","created":0,"owned_by":"fuchsiastack"}`},
		{http.MethodGet, "/v1/models/drafting-desk", "nile-press-key", 200, "", "", `{"id":"drafting-desk","object":"model"`},
		{http.MethodHead, "/v1/models", "nile-press-key", 200, "", "", ""},
		{http.MethodGet, "/v1/models", "x", 401, "", "unauthenticated", ""},
		{http.MethodGet, "/v1/models/poetry", "nile-press-key", 404, "", "unknown_service", ""},
		{http.MethodGet, "/v1/models/orders-desk", "nile-press-key", 404, "", "unknown_service", ""},
		{http.MethodPost, "/v1/models", "nile-press-key", 405, "GET, HEAD", "method_not_allowed", ""},
		{http.MethodDelete, "/v1/models/drafting-desk", "nile-press-key", 405, "GET, HEAD", "method_not_allowed", ""},
		{http.MethodGet, "/v1/chat/completions", "nile-press-key", 405, "POST", "method_not_allowed", ""},
		{http.MethodPut, "/v1/chat/completions", "nile-press-key", 405, "POST", "method_not_allowed", ""},
		{http.MethodGet, "/", "nile-press-key", 404, "", "not_found", ""},
		{http.MethodPost, "/v2/chat/completions", "nile-press-key", 404, "", "not_found", ""},
		{http.MethodPost, "/v1/", "nile-press-key", 404, "", "not_found", ""},
	} {
		t.Run(test.method+test.path, func(t *testing.T) {
			c := qt.New(t)
			req, err := http.NewRequest(test.method, gatewayURL+test.path, strings.NewReader("{}"))
			c.Assert(err, qt.IsNil)
			req.Header.Set("Authorization", "Bearer "+test.key)
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, test.status)
			c.Check(resp.Header.Get("Allow"), qt.Equals, test.allow)
			c.Check(string(text), qt.Contains, test.contains)
			if test.code != "" {
				c.Check(string(text), qt.Contains, `"code":"`+test.code+`"`)
			}
		})
	}
	qt.Assert(t, executions(t, engineURL), qt.Equals, before)
}

// A request whose header exceeds the size limit is refused with status 431.
func TestOversizedHeaderIsRefused(t *testing.T) {
	c := qt.New(t)
	gatewayURL, _ := startGateway(t, engine.Config{Slots: 1})
	req, err := http.NewRequest(http.MethodGet, gatewayURL+"/v1/entry", http.NoBody)
	c.Assert(err, qt.IsNil)
	req.Header.Set("X-Large", strings.Repeat("x", 64<<10))
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
}

// A request whose connection is closed in the middle of its body is not executed.
func TestTruncatedBodyIsNotExecuted(t *testing.T) {
	c := qt.New(t)
	gatewayURL, engineURL := startGateway(t, engine.Config{Slots: 1})
	before := executions(t, engineURL)
	conn, err := net.Dial("tcp", strings.TrimPrefix(gatewayURL, "http://"))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer nile-press-key\r\n"+
		"Content-Length: 1000\r\n\r\n{\"model\":\"drafting-desk\"")
	c.Assert(err, qt.IsNil)
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil { // the server may also close the connection without a response
		defer resp.Body.Close()
		c.Assert(resp.Header.Get(outcome.Header), qt.Equals, outcome.NotRun.String())
	}
	c.Assert(executions(t, engineURL), qt.Equals, before)
}

// executions returns the number of requests that an engine has executed.
func executions(t *testing.T, engineURL string) int {
	resp, err := http.Get(engineURL + "/standin/executions")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var list []engine.Execution
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	return len(list)
}
