package jksettings

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkschema"
)

// Default returns the default settings, which a file overrides. Host, zone, addresses,
// platform and token keys have no default.
func Default() Settings {
	return Settings{file: file{
		LogLevel: LevelInfo,
		Limits: fileLimits{
			EndpointQueue: 10000,
			EntryQueue:    20000,
			// 240,000 concurrent programs on 410 daemons are about 600 per daemon. The
			// default leaves headroom for a site with few hosts.
			Programs:      50000,
			Calls:         200000,
			Streams:       4096,
			Suspects:      4096,
			BodyBytes:     4 << 20,
			MemoryMB:      4096,
			PlatformCalls: 50,
			// Orders to engines are disabled until an operator sets the limit of the
			// weight store.
			ModelLoads: 0,
		},
		Intervals: fileIntervals{
			// A host is declared dead after 3 s without a heartbeat, which tolerates
			// five lost heartbeats.
			Heartbeat:  jkschema.Duration(500 * time.Millisecond),
			ZoneDigest: jkschema.Duration(time.Second),
			DeadAfter:  jkschema.Duration(3 * time.Second),
			Lease:      jkschema.Duration(5 * time.Second),
			Tick:       jkschema.Duration(10 * time.Millisecond),
			Watch:      jkschema.Duration(30 * time.Second),
			HostList:   jkschema.Duration(5 * time.Second),
			Drain:      jkschema.Duration(30 * time.Second),
			ModelLoad:  jkschema.Duration(10 * time.Second),
		},
	}}
}

// DefaultText returns the defaults as JSON, for the reference page.
func DefaultText() ([]byte, error) {
	text, err := json.Marshal(Default().file)
	return text, eris.Wrap(err, "encode defaults")
}
