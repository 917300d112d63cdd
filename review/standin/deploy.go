package main

import (
	"fmt"
	"sync"
	"time"
)

// Names of the services and prefixes of the routes.
const (
	serviceModel = "agent-llm"
	servicePlain = "shop-app"
	// pathTurns is the route of turns that the system keeps (retain_context).
	pathTurns = "/bopu901/"
	// pathPing is an idempotent route.
	pathPing = "/pule252/"
)

// heartbeat is the heartbeat_ms of the settings.
const heartbeat = 1200 * time.Millisecond

// addServers starts nine language model servers and three plain ones, which register
// themselves in the store.
func (f *fleet) addServers(r *runs) error {
	for i, zone := range zones {
		for k := range 4 {
			s := &server{id: fmt.Sprintf("i-%d%d", i, k), zone: zone, rec: f.rec, runs: r, service: serviceModel, model: true, slots: 16}
			if k == 3 {
				s.service, s.model, s.slots, s.answerIn = servicePlain, false, 6, 15*time.Millisecond
			}
			if err := s.start(); err != nil {
				return err
			}
			f.servers = append(f.servers, s)
		}
	}
	f.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			f.beat()
		}
	}()
	return nil
}

func (f *fleet) beat() {
	for _, s := range f.servers {
		f.store.put("servers/"+s.id, s.beat())
	}
}

// configure writes the first configuration as the operator.
func (f *fleet) configure() {
	route := func(name, prefix, kind, service string, timeout, attempts int, more map[string]any) map[string]any {
		out := map[string]any{
			"name": name, "hostname": host, "prefix": prefix, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": 250,
			"priority": 0, "service": service, "max_attempts": attempts, "sticky": false, "resumable": false, "retain_context": false,
		}
		for key, value := range more {
			out[key] = value
		}
		return out
	}
	f.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{
			route("turns", pathTurns, "streaming", serviceModel, 3000, 2, map[string]any{"retain_context": true, "retention_s": f.retention, "sticky": true, "gap_aim_ms": 250}),
			route("ping", pathPing, "idempotent", servicePlain, 1200, 2, nil),
		},
		"services": []any{
			map[string]any{"name": serviceModel, "health_path": "/healthz", "max_conns": 170, "engine": map[string]any{
				"slots": 16, "kv_cache_tokens": 665039, "event_tokens": eventTokens, "token_kv_bytes": 18432,
			}},
			map[string]any{"name": servicePlain, "health_path": "/healthz", "max_conns": 100},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// parallel calls a function for each number below n, at most width at a time.
func parallel(n, width int, call func(i int)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, width)
	for i := range n {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			call(i)
		}()
	}
	group.Wait()
}
