package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["unframed"] = unframed
	roles["unframed-replica"] = unframedReplica
}

const (
	unframedPart  = 400                    // bytes of a part of an answer
	unframedParts = 8                      // parts of an answer
	unframedPause = 100 * time.Millisecond // between two parts
)

// unframedReplica is a replica that answers without a length, so that an answer ends with its
// channel. It runs as a process of its own, which the case can kill, and prints the id of each
// request that it begins to run.
func unframedReplica(args []string) {
	r := &replica{id: args[0], addr: args[1], rec: discard, slots: 6}
	r.setHandle(func(a *arrival) bool {
		fmt.Println(a.id)
		_, err := io.WriteString(a.conn, a.head(200, map[string]string{"Signature": "sig-" + a.id, "Content-Type": "application/json", "Connection": "close"}, ""))
		whole := unframedBody(a.id)
		for n := 0; n < unframedParts && err == nil; n++ {
			time.Sleep(unframedPause)
			_, err = io.WriteString(a.conn, whole[n*unframedPart:(n+1)*unframedPart])
		}
		a.conn.Close()
		a.conn = nil
		return false
	})
	r.listen()
	select {}
}

// unframedBody is the whole body of the answer to a request.
func unframedBody(id string) string {
	var text strings.Builder
	for n := 0; text.Len() < unframedPart*unframedParts; n++ {
		fmt.Fprintf(&text, "shelf %d of %s; ", n, id)
	}
	return text.String()[:unframedPart*unframedParts]
}

// unframed checks that an answer without a length does not look complete to the client if its
// replica crashes before the end.
func unframed(w *world, trouble bool) bool {
	w.putConfig(1, []route{{name: "r-look", prefix: "/look/", kind: "safe", service: "orders", timeout: 3000, target: 500, attempts: 2}})
	victim := fmt.Sprintf("9c41d07be2a3%04x", 3)
	for k := range 4 {
		w.startUnframedReplica(fmt.Sprintf("i-%d", k+1), func(id string, kill func()) {
			if id == victim && trouble {
				time.AfterFunc(unframedPause*unframedParts/2, kill)
			}
		})
	}
	m := w.newMachine("edge-cairo-a-1", "cairo-a")
	m.start()
	m.awaitReady()
	time.Sleep(time.Second)
	broken := 0
	for n := range 5 {
		id := fmt.Sprintf("9c41d07be2a3%04x", n)
		c := &client{rec: w.rec, addr: m.front}
		a := c.do(call{method: "GET", target: "/look/" + id, host: host, id: id, header: map[string]string{"Deadline-Ms": "3000"}})
		c.close()
		whole := unframedBody(id)
		switch {
		case a.err != nil || a.status != 200:
			w.rec.say("request %s: no success", id)
		case string(a.body) != whole:
			w.rec.say("request %s: a success that looks complete, with %d of the %d bytes of the replica's body", id, len(a.body), len(whole))
			broken++
		default:
			w.rec.say("request %s: a success with the replica's whole body", id)
		}
	}
	return broken > 0
}

// startUnframedReplica starts a replica as a process and lists it in the store. onRun is called
// with the id of each request that it begins to run, and with a function that kills it once.
func (w *world) startUnframedReplica(id string, onRun func(id string, kill func())) {
	r := newReplica(w.rec, w.store, id, "orders", "cairo-a", w.addr())
	self, err := os.Executable()
	check(err)
	cmd := exec.Command(self, "role", "unframed-replica", r.id, r.addr)
	cmd.Stderr = os.Stderr
	output, err := cmd.StdoutPipe()
	check(err)
	check(cmd.Start())
	w.processes = append(w.processes, cmd)
	kill := func() {
		w.rec.printf("replica %s: killed", r.id)
		_ = cmd.Process.Signal(syscall.SIGKILL)
	}
	go func() {
		for lines := bufio.NewScanner(output); lines.Scan(); {
			w.rec.printf("replica %s: runs request %s", r.id, lines.Text())
			onRun(lines.Text(), kill)
		}
	}()
	r.born = time.Now().UnixMilli()
	r.write()
}
