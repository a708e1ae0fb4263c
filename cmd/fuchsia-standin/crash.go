package main

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"
)

// Exit of a stand-in that a request has crashed.
const (
	crashDelay = 200 * time.Millisecond // after the request came
	crashCode  = 3
)

// crashOn ends the process when a request's body holds the word. An empty word
// never does.
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
			os.Exit(crashCode)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
