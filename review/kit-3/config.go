package main

// Names of the deployment.
const host = "ficu95.example"

type route struct {
	name, prefix, kind, service string
	timeout, target, attempts   int
	resumable                   bool
	homes                       []string
}

// putConfig writes a desired state.
func (w *world) putConfig(version int, routes []route) {
	services := map[string]bool{}
	var list []map[string]any
	for _, r := range routes {
		services[r.service] = true
		homes := r.homes
		if homes == nil {
			homes = []string{}
		}
		entry := map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "type": r.kind, "timeout-ms": r.timeout, "slo-ms": r.target, "priority": 1,
			"service": r.service, "attempts": r.attempts, "sticky": false, "resumable": r.resumable, "home-regions": homes,
		}
		if r.kind == "stream" {
			entry["gap-slo-ms"] = 400
		}
		list = append(list, entry)
	}
	var all []map[string]any
	for name := range services {
		all = append(all, map[string]any{"name": name, "health-path": "/healthz", "max-conns": 96, "protocol": "h1", "tls": false, "warmup-s": 0.0, "warmup-per-s": 0.0})
	}
	config := map[string]any{
		"version": version, "routes": list, "services": all,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	w.store.put("op/config", config)
	w.rec.printf("operator: desired state %d", version)
}
