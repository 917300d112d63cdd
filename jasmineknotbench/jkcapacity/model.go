package jkcapacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"

	"github.com/rotisserie/eris"
)

// Fleet is one row of a fleet measurement; see the fleet command.
type Fleet struct {
	Daemons       float64 `json:"daemons"`
	ZoneSize      float64 `json:"zone_size"`
	Core          float64 `json:"core"`
	Memory        float64 `json:"memory_bytes"`
	Control       float64 `json:"control_bytes_per_second"`
	ControlMax    float64 `json:"control_bytes_per_second_max"`
	PlatformCalls float64 `json:"platform_calls_per_second"`
	Calls         float64 `json:"calls_per_second"`
	AnswerTokens  float64 `json:"answer_tokens"`
}

// Slopes is the content of slopes.json. Times are in nanoseconds.
type Slopes struct {
	Idle   []Fleet `json:"fleet_idle"`
	Loaded []Fleet `json:"fleet_loaded"`
	// TurnTime is the home core's part of a call.
	TurnTime float64 `json:"turn_ns"`
	// PlaceTime is a placement among 8,000 endpoints, QueueTime a call through a
	// queue of 20 endpoints, AppendTime a record at a copy.
	PlaceTime  float64 `json:"place_ns"`
	QueueTime  float64 `json:"queue_ns"`
	AppendTime float64 `json:"append_ns"`
	// ProgramBytes is a program of 96 turns without its text, HistoryBytes with
	// it; EndpointBytes is an endpoint at a placer, RecordBytes the index of a
	// record at a copy.
	ProgramBytes  float64 `json:"program_bytes"`
	HistoryBytes  float64 `json:"history_bytes"`
	EndpointBytes float64 `json:"endpoint_bytes"`
	RecordBytes   float64 `json:"record_bytes"`
	// ApplyTime is a configuration change at a host with 7,900 endpoints;
	// ChangeBytes is its message with the answer to the pull.
	ApplyTime   float64 `json:"apply_change_ns"`
	ChangeBytes float64 `json:"change_bytes"`
}

// The target's figures.
const (
	daemons       = 410
	zones         = 9
	endpoints     = 7900
	requests      = 5300.0
	tokens        = 1.4e6
	programs      = 240000
	turns         = 96
	changesPerDay = 48000
	failuresADay  = 47
	restartsADay  = 770
	secondsADay   = 86400

	coreLimit    = 0.045
	memoryLimit  = 256e6
	controlLimit = 10e3

	heartbeat       = 0.5   // seconds between heartbeats in a small zone
	heartbeatPeer   = 0.022 // least seconds between heartbeats for each peer
	renewals        = 50.0  // lease renewals a second, bounded for the whole fleet
	hostListSeconds = 5.0
	copies          = 2
)

// Row is one line of the budget.
type Row struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit"`
	Unit  string  `json:"unit"`
	How   string  `json:"how"`
}

// Plan is the result.
type Plan struct {
	Rows []Row `json:"rows"`
}

// Work reads slopes and works the plan out.
func Work(text []byte) (Plan, error) {
	var s Slopes
	if err := json.Unmarshal(text, &s); err != nil {
		return Plan{}, eris.Wrap(err, "read slopes")
	}
	if len(s.Idle) < 2 || len(s.Loaded) != 2 {
		return Plan{}, eris.New("slopes: fleet_idle needs two rows or more, fleet_loaded two of one size with different answer_tokens")
	}
	var p Plan
	p.core(s)
	p.memory(s)
	p.control(s)
	p.platform()
	p.events(s)
	return p, nil
}

func (p *Plan) add(name, unit string, value, limit float64, how string, args ...any) {
	p.Rows = append(p.Rows, Row{Name: name, Value: value, Limit: limit, Unit: unit, How: fmt.Sprintf(how, args...)})
}

// fit returns the least-squares line through points.
func fit(x, y []float64) (slope, start float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

func column(rows []Fleet, read func(Fleet) float64) []float64 {
	var out []float64
	for _, r := range rows {
		out = append(out, read(r))
	}
	return out
}

func size(f Fleet) float64 { return f.Daemons }

func (p *Plan) core(s Slopes) {
	slope, start := fit(column(s.Idle, size), column(s.Idle, func(f Fleet) float64 { return f.Core }))
	idle := start + slope*daemons
	p.add("control core, idle", "core", idle, coreLimit, "line through the idle fleets: %.4f + %.2e × %d daemons", start, slope, daemons)
	perCall, perToken := s.perCall()
	decisions := (s.TurnTime + s.PlaceTime + s.QueueTime) / 1e9
	calls := requests / daemons
	changes := changesPerDay / float64(secondsADay)
	p.add("control core, with decisions and edits", "core", idle+calls*decisions+changes*s.ApplyTime/1e9, coreLimit,
		"idle + %.1f calls/s × %.0f µs for turn, placement and queue + %.2f changes/s × %.1f ms", calls, decisions*1e6, changes, s.ApplyTime/1e6)
	each := float64(tokens) / daemons
	work := calls*perCall + each*perToken
	p.add("data path, all daemons' share of calls", "core", work, 0,
		"%.1f calls/s × %.2f ms + %.0f tokens/s × %.0f µs, over entry, home, dispatcher and copies", calls, perCall*1e3, each, perToken*1e6)
	p.add("reserve of the data path on one core", "times", 1/work, 10, "one core ÷ the line above; the limit is the wanted reserve")
}

// perCall returns the processor time in seconds that one call and one of its
// tokens cost the fleet's daemons together.
func (s Slopes) perCall() (call, token float64) {
	short, long := s.Loaded[0], s.Loaded[1]
	idle := math.NaN()
	for _, f := range s.Idle {
		if f.Daemons == short.Daemons {
			idle = f.Core
		}
	}
	cost := func(f Fleet) float64 { return (f.Core - idle) * f.Daemons / f.Calls }
	token = (cost(long) - cost(short)) / (long.AnswerTokens - short.AnswerTokens)
	return cost(short) - short.AnswerTokens*token, token
}

func (p *Plan) memory(s Slopes) {
	slope, start := fit(column(s.Idle, size), column(s.Idle, func(f Fleet) float64 { return f.Memory }))
	// The fleets have 19 endpoints a daemon, so the slope covers endpoints too.
	base := start + slope*daemons
	homed := float64(programs) / daemons
	rows := homed * s.ProgramBytes
	index := homed * copies * turns * s.RecordBytes
	p.add("control memory", "bytes", base+rows+index, memoryLimit,
		"%.0f MB for the process and %d endpoints + %.0f programs × %.0f B + index of %.0f copies × %d records × %.0f B",
		base/1e6, endpoints, homed, s.ProgramBytes, homed*copies, turns, s.RecordBytes)
	p.add("history text in memory (bulk)", "bytes", homed*(s.HistoryBytes-s.ProgramBytes), 0, "%.0f programs × %.0f B", homed, s.HistoryBytes-s.ProgramBytes)
	p.add("placement tables, part of the above", "bytes", endpoints*s.EndpointBytes, 0, "%d endpoints × %.0f B", endpoints, s.EndpointBytes)
}

func (p *Plan) control(s Slopes) {
	beats := func(zoneSize float64) float64 {
		peers := zoneSize - 1
		return math.Min(peers/heartbeat, 1/heartbeatPeer)
	}
	// A zone of one host sends neither heartbeats nor load digests, so it does
	// not lie on the line of the others.
	var rows []Fleet
	for _, f := range s.Idle {
		if f.ZoneSize > 1 {
			rows = append(rows, f)
		}
	}
	x := column(rows, func(f Fleet) float64 { return beats(f.ZoneSize) })
	for _, c := range []struct {
		name string
		read func(Fleet) float64
	}{
		{"control traffic, mean", func(f Fleet) float64 { return f.Control }},
		{"control traffic, busiest host", func(f Fleet) float64 { return f.ControlMax }},
	} {
		slope, start := fit(x, column(rows, c.read))
		n := beats(float64(daemons) / zones)
		edits := s.ChangeBytes * changesPerDay / float64(secondsADay)
		p.add(c.name, "bytes/s", start+slope*n+edits, controlLimit, "%.0f + %.0f B × %.1f heartbeats/s to %d peers + %.0f for edits", start, slope, n, daemons/zones, edits)
	}
}

func (p *Plan) platform() {
	lists := float64(daemons) / hostListSeconds
	writes := renewals + changesPerDay/float64(secondsADay) + 3*(failuresADay+restartsADay)/float64(secondsADay)
	p.add("platform writes", "calls/s", writes, 300, "%.0f lease renewals, bounded for the fleet, + %.2f edits + 3 records for each of %d host events a day", renewals, changesPerDay/float64(secondsADay), failuresADay+restartsADay)
	reads := lists + renewals + 2*zones + 2*changesPerDay/float64(secondsADay)
	p.add("platform reads", "calls/s", reads, 2000, "%.0f host lists + %.0f own-end checks + %d watches + reads by editors", lists, renewals, zones)
}

func (p *Plan) events(s Slopes) {
	zoneHosts := float64(daemons) / zones
	moved := float64(programs) / zones
	p.add("zone lost: platform writes", "writes", 2*zoneHosts, 0, "an ended record and a copy-set record for each of %.0f hosts", zoneHosts)
	bytes := moved * s.HistoryBytes * copies
	p.add("zone lost: history read and copied again", "bytes", bytes, 0, "%.0f programs × %.0f B × %d, spread over the callers' next calls", moved, s.HistoryBytes, copies)
	rest := daemons - zoneHosts
	p.add("zone lost: for each remaining host", "bytes", bytes/rest, 0, "over %.0f hosts", rest)
	p.add("host restart: programs handed over", "programs", float64(programs)/daemons, 0, "%.1f a minute over a day for %d restarts", float64(programs)/daemons*restartsADay/1440, restartsADay)
	p.add("copy log writes", "bytes/s", requests/daemons*copies*(s.HistoryBytes-s.ProgramBytes)/turns, 0, "%.1f calls/s × %d copies × a turn's text, were every host a copy host", requests/daemons, copies)
}

// Write prints the plan as a Markdown table.
func (p Plan) Write(out io.Writer) error {
	if _, err := fmt.Fprint(out, "| figure | at the target | limit | worked out from |\n|---|---:|---:|---|\n"); err != nil {
		return eris.Wrap(err, "write plan")
	}
	for _, r := range p.Rows {
		limit := "–"
		if r.Limit > 0 {
			limit = format(r.Limit, r.Unit)
		}
		if _, err := fmt.Fprintf(out, "| %s | %s | %s | %s |\n", r.Name, format(r.Value, r.Unit), limit, r.How); err != nil {
			return eris.Wrap(err, "write plan")
		}
	}
	return nil
}

func format(v float64, unit string) string {
	switch {
	case unit == "core":
		return fmt.Sprintf("%.2f%% of a core", 100*v)
	case unit == "bytes" && v > 1e9:
		return fmt.Sprintf("%.1f GB", v/1e9)
	case unit == "bytes":
		return fmt.Sprintf("%.0f MB", v/1e6)
	case unit == "bytes/s":
		return fmt.Sprintf("%.1f KB/s", v/1e3)
	case v < 10:
		return fmt.Sprintf("%.1f %s", v, unit)
	}
	return fmt.Sprintf("%.0f %s", v, unit)
}
