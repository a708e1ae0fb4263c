package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Client is a client with one kept channel to an instance.
type Client struct {
	World *World
	To    string // front address
	Host  string

	conn net.Conn
	in   *bufio.Reader
}

// Request is what a client sends.
type Request struct {
	Method, Path, ID, Lines string
	Body                    string
	Safe                    bool
	Budget                  time.Duration
}

// Do sends a request and waits for its answer, for the time budget at most. It records both.
func (c *Client) Do(q Request) *Sent {
	s := &Sent{ID: q.ID, Route: q.Path, Safe: q.Safe}
	r := c.World.Record
	r.Send(s)
	if q.Budget == 0 {
		q.Budget = 3 * time.Second
	}
	status, whole, answerID, signature, body := c.exchange(q)
	s.Body = body
	note := fmt.Sprintf("%.60q", body)
	r.Answered(s, status, whole, answerID, signature, note)
	return s
}

func (c *Client) exchange(q Request) (status int, whole bool, answerID, signature, text string) {
	deadline := time.Now().Add(q.Budget)
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.To, time.Second)
		if err != nil {
			return 0, false, "", "", "(no channel)"
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	keep := false
	defer func() {
		if !keep {
			_ = c.conn.Close()
			c.conn = nil
		}
	}()
	_ = c.conn.SetDeadline(deadline)
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		q.Method, q.Path, c.Host, q.ID, q.Budget.Milliseconds(), q.Lines, len(q.Body), q.Body)
	if _, err := io.WriteString(c.conn, request); err != nil {
		return 0, false, "", "", "(channel closed)"
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.Method})
	if err != nil {
		return 0, false, "", "", fmt.Sprintf("(%v)", err)
	}
	body, err := io.ReadAll(resp.Body)
	keep = err == nil && !resp.Close
	return resp.StatusCode, err == nil, resp.Header.Get("Request-Id"), resp.Header.Get("Signature"), string(body)
}
