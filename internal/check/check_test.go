package check

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// FuzzAddr checks that an accepted address can be used in the URL of a request.
func FuzzAddr(f *testing.F) {
	for _, seed := range []string{"10.0.0.1:80", "[::1]:1", "a.example:65535", "a:0", "a:80:90", "[::1%25lo]:80", "a b:80", "-:1", "x..y:1", "[a]:80", "[10.0.0.1]:80"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, addr string) {
		if Addr(addr) != nil {
			return
		}
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/", http.NoBody)
		if err != nil {
			t.Fatalf("create request to %q: %v", addr, err)
		}
		if req.URL.Host != addr {
			t.Fatalf("address %q became %q", addr, req.URL.Host)
		}
	})
}

// TestErrorsAreShort guards against log lines of the size of an odd value.
func TestErrorsAreShort(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("9", 1<<20)
	for _, text := range []string{long, `"` + long + `"`, `{"n":` + long + `}`, `{"n":"` + long + `"}`, `{"` + long + `":`, "\xff" + long} {
		var target struct {
			N int `json:"n"`
		}
		err := DecodeJSON([]byte(text), &target)
		c.Assert(err, qt.IsNotNil)
		c.Check(len(err.Error()) < 300, qt.IsTrue, qt.Commentf("%d bytes", len(err.Error())))
	}
	err := Addr("a:" + long)
	c.Check(len(err.Error()) < 300, qt.IsTrue)
	c.Check(Addr(long+":80"), qt.ErrorIs, ErrAddress)
	c.Check(HeaderValue(url.QueryEscape("a\nb")), qt.IsNil)
	c.Check(HeaderValue("a\nb"), qt.ErrorIs, ErrHeaderValue)
}
