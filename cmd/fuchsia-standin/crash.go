package main

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"
)

// Exit of a stand-in that a request crashes.
const (
	crashDelay    = 200 * time.Millisecond // after the request body was read
	crashExitCode = 3
)

// crashOn wraps next with a handler that exits the process if a request body
// contains word. An empty word disables it.
func crashOn(word string, next http.Handler) http.Handler {
	if word == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if bytes.Contains(body, []byte(word)) {
			time.Sleep(crashDelay)
			os.Exit(crashExitCode)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
