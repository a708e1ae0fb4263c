package backend

import (
	"slices"
	"sync"
)

// maxDeparted is the number of servers in departedServers. It is far above the
// number of servers of a region that are replaced within minutes.
const maxDeparted = 1024

// departedServers holds the servers that have withdrawn from new requests, or limit
// them, and are not listed any more. The entry of a server may be lost while its process
// serves on, for example because its lease expired during an outage of the store. If the
// entry returns, the withdrawal and the limit still hold. Only servers with a known start time
// are held: without one, a process cannot be told from its successor.
type departedServers struct {
	mu    sync.Mutex
	byID  map[string]*Server
	order []string // ids, the first departed first
}

// add adds the servers that have withdrawn or have a limit.
func (d *departedServers) add(servers map[string]*Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, server := range servers {
		_, limited := server.RateLimit()
		if server.Started == 0 || !server.withdrawn() && !limited {
			continue
		}
		if d.byID == nil {
			d.byID = make(map[string]*Server)
		}
		d.byID[id] = server
		d.order = append(d.order, id)
	}
	for len(d.order) > maxDeparted {
		delete(d.byID, d.order[0])
		d.order = d.order[1:]
	}
}

// take removes and returns the server with the id, or nil.
func (d *departedServers) take(id string) *Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	server := d.byID[id]
	if server != nil {
		delete(d.byID, id)
		d.order = slices.DeleteFunc(d.order, func(departed string) bool { return departed == id })
	}
	return server
}
