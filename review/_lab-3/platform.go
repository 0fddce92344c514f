package main

import (
	"fmt"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	loadedModel  = "m0"
	streamEvents = 5
)

// platform is the project's own stand-ins of the store and of two model servers.
type platform struct {
	store   *standin.Store
	servers []*standin.Server
}

func newPlatform() *platform {
	p := &platform{store: standin.NewStore()}
	for n := range 2 {
		server := standin.NewServer(standin.ServerConfig{
			ID: fmt.Sprint("engine-", n+1), Service: "engine", Zone: "zone-a", Slots: 64,
			Models: []string{loadedModel}, OnDisk: []string{"m1"}, ModelCapacity: 3, LoadTime: 300 * time.Millisecond,
			Events: streamEvents, Pause: 5 * time.Millisecond,
		})
		server.Register(p.store, "ready")
		p.servers = append(p.servers, server)
	}
	p.store.Publish(1, []standin.Route{{
		Name: "streams", Host: host, PathPrefix: "/s/", Kind: "streaming", TimeoutMs: 5000, TargetLatencyMs: 500,
		Priority: 0, Service: "engine", MaxAttempts: 2, CanResume: true, GapTargetMs: 600,
	}}, "engine", []string{loadedModel, "m1"}, 3, "web")
	return p
}

func (p *platform) close() {
	for _, server := range p.servers {
		server.Close()
	}
	p.store.Close()
}
