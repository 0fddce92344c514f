package main

import "fmt"

// The names that the cases use.
const (
	host       = "ficu95.example"
	engineName = "huvo11a"
	plainName  = "wuno96b"
	modelPath  = "/lohu930/"
	unsafePath = "/puxa403/"
	safePath   = "/cufi504/"
	addedPath  = "/added77/"
	modelCount = 24
)

// allModels are the models of the manifest.
var allModels = func() []string {
	var out []string
	for n := range modelCount {
		out = append(out, fmt.Sprintf("daka%02d", n))
	}
	return out
}()

// manifest returns a manifest like that of the site's wire examples, with further routes for models.
func manifest(version int, added ...string) map[string]any {
	models := []any{}
	for _, name := range allModels {
		models = append(models, map[string]any{"name": name, "weightsMb": 72700.0, "loadS": 6.0, "adapters": 0, "adapterMb": 66.0, "warmupS": 0.4, "diskS": 0.76})
	}
	routes := []any{
		modelRoute("r-model", modelPath),
		map[string]any{"name": "r-unsafe", "host": host, "pathPrefix": unsafePath, "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "service": plainName, "maxAttempts": 1, "sticky": false, "canResume": false},
		map[string]any{"name": "r-safe", "host": host, "pathPrefix": safePath, "kind": "safe", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "service": plainName, "maxAttempts": 2, "sticky": false, "canResume": false},
	}
	for n, path := range added {
		routes = append(routes, modelRoute(fmt.Sprint("r-added", n), path))
	}
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": engineName, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false, "runtime": map[string]any{
				"slotCount": 64, "kvTokens": 232000, "hostMb": 130000.0, "diskMb": 1000000.0, "models": models, "weightsMb": 200000.0, "adapterSlots": 8, "loadsPerS": 2.1,
			}},
			map[string]any{"name": plainName, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func modelRoute(name, path string) map[string]any {
	return map[string]any{"name": name, "host": host, "pathPrefix": path, "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 800, "priority": 1, "service": engineName, "maxAttempts": 2, "sticky": true, "canResume": true, "gapTargetMs": 400}
}

// bounds are those of the site.
func bounds(requireFence bool) map[string]any {
	return map[string]any{
		"drainMs": 2000, "graceS": 8, "budgetRatio": 0.2, "budgetExtra": 56, "budgetWindowS": 10, "leaseMs": 3000, "requireFence": requireFence,
	}
}
