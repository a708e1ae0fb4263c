package entry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/fuchsiastack/fuchsiastack/entry"
)

func Example() {
	var self string
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != entry.Path {
			_, _ = fmt.Fprint(w, "in stock")
			return
		}
		known := []entry.Instance{{ID: "entry-1", URL: self, Region: "cairo", Zone: "cairo-a"}}
		response := (&entry.Selector{}).Select(known, entry.Query{Region: "cairo", Zone: "cairo-a"})
		_ = json.NewEncoder(w).Encode(response)
	}))
	defer instance.Close()
	self = instance.URL

	client := &http.Client{Transport: &entry.Client{
		Bootstrap: []string{instance.URL}, Region: "cairo", Zone: "cairo-a",
	}}
	resp, err := client.Get("http://entry.invalid/services/orders-desk/stock/papyrus")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	fmt.Println(string(body))
	// Output: in stock
}
