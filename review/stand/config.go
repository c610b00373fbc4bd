package main

// modelService and plainService are the names of the services.
const (
	modelService = "levi-model"
	plainService = "levi-pay"
)

// route returns a route of the configuration.
func route(name, prefix, kind, service string, priority int) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path-prefix": prefix, "kind": kind, "timeout-ms": 1000, "target-latency-ms": 150,
		"priority": priority, "service": service, "max-attempts": 2, "auth-exempt": false,
	}
	switch kind {
	case "streaming":
		r["timeout-ms"], r["target-latency-ms"], r["target-gap-ms"] = 20000, 500, 200
		r["session-affinity"], r["stream-resume"] = true, true
	case "unsafe":
		r["max-attempts"] = 1
	}
	return r
}

// services returns the services of the configuration.
func services() []map[string]any {
	return []map[string]any{
		{"name": modelService, "health-path": "/health", "max-connections": 968, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": engineSlots, "kv-capacity-tokens": 82000, "kv-token-bytes": kvTokenBytes, "link-mbps": 400000.0, "stride": stride,
			"models":  []map[string]any{{"name": "levi", "pace": 1.0, "load-s": loadSeconds, "warm-s": 1.0}},
			"step_ms": stepMS, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": readPerSecond, "pairs_per_m": 0.309, "chunk": 512,
			"report_lag_ms": 200.0, "loads-per-s": 0.0, "loads_at_once": 5, "delays": []any{}, "usual": map[string]int{"prompt": 774, "answer": 200},
			"layers": layers, "layer-mb": layerMB, "activation-bytes": 45900, "pipe-mbps": 26000.0,
			"kinds": []map[string]any{{"name": "l40s", "mb": cardMB, "pace": cardPace, "read-factor": cardReadFactor}},
		}},
		{"name": plainService, "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false},
	}
}

// apiKey is the key of the only tenant.
const apiKey = "n2ctnfzs989anu6wsjnb"

// config returns a version of the operator's configuration with these routes.
func config(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services(),
		"limits":  map[string]int{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api-keys": []string{apiKey}, "priority": 1}},
	}
}
