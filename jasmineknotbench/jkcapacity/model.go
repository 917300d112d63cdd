package jkcapacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"

	"github.com/rotisserie/eris"
)

// FleetMeasurement is one row of the fleet command's output, with the length of the
// answers of its load. Core is the mean share of one core that a daemon uses.
type FleetMeasurement struct {
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

// Slopes is the content of slopes.json: fleet measurements and the costs of single
// operations. Times are in nanoseconds.
type Slopes struct {
	Idle   []FleetMeasurement `json:"fleet_idle"`
	Loaded []FleetMeasurement `json:"fleet_loaded"`
	// TurnTime is the time that a call takes in the home core.
	TurnTime float64 `json:"turn_ns"`
	// PlaceTime is the time of a placement among 8,000 endpoints, QueueTime that of a
	// call through a queue of 20 endpoints, AppendTime that of appending a record at
	// a copy.
	PlaceTime  float64 `json:"place_ns"`
	QueueTime  float64 `json:"queue_ns"`
	AppendTime float64 `json:"append_ns"`
	// ProgramBytes is the memory of a program of 96 turns without its text,
	// HistoryBytes with it; EndpointBytes is that of an endpoint at a placer,
	// RecordBytes that of the index entry of a record at a copy.
	ProgramBytes  float64 `json:"program_bytes"`
	HistoryBytes  float64 `json:"history_bytes"`
	EndpointBytes float64 `json:"endpoint_bytes"`
	RecordBytes   float64 `json:"record_bytes"`
	// ApplyTime is the time to apply a configuration change at a host with 7,900
	// endpoints; ChangeBytes is the size of its message and of the answer to the pull.
	ApplyTime   float64 `json:"apply_change_ns"`
	ChangeBytes float64 `json:"change_bytes"`
}

// Size, workload and limits of the target, and the intervals and bounds of the
// protocol. Workload and renewals are of the whole fleet, limits are per daemon.
const (
	daemons           = 410
	zones             = 9
	endpoints         = 7900
	requestsPerSecond = 5300.0
	tokensPerSecond   = 1.4e6
	programs          = 240000
	turnsPerProgram   = 96
	changesPerDay     = 48000
	failuresPerDay    = 47
	restartsPerDay    = 770
	secondsPerDay     = 86400

	coreLimit                  = 0.045
	memoryBytesLimit           = 256e6
	controlBytesPerSecondLimit = 10e3

	heartbeatSeconds        = 0.5   // between heartbeats to a peer in a small zone
	heartbeatSecondsPerPeer = 0.022 // lower bound of that interval for each peer in the zone
	renewalsPerSecond       = 50.0  // of leases, bounded for the whole fleet
	hostListSeconds         = 5.0   // between reads of the host list by each host
	copiesPerProgram        = 2
)

// Row is one line of the plan: an estimated value, its limit (0 for none) and how it
// was derived.
type Row struct {
	Name       string  `json:"name"`
	Value      float64 `json:"value"`
	Limit      float64 `json:"limit"`
	Unit       string  `json:"unit"`
	Derivation string  `json:"how"`
}

// Plan holds the estimates at the target size.
type Plan struct {
	Rows []Row `json:"rows"`
}

// NewPlan decodes the content of a slopes file and computes the plan from it.
func NewPlan(text []byte) (Plan, error) {
	var s Slopes
	if err := json.Unmarshal(text, &s); err != nil {
		return Plan{}, eris.Wrap(err, "decode slopes")
	}
	if len(s.Idle) < 2 || len(s.Loaded) != 2 {
		return Plan{}, eris.New("slopes: fleet_idle needs two rows or more, fleet_loaded two of one size with different answer_tokens")
	}
	var p Plan
	p.addProcessorTime(s)
	p.addMemory(s)
	p.addControlTraffic(s)
	p.addPlatformCalls()
	p.addHostEvents(s)
	return p, nil
}

func (p *Plan) add(name, unit string, value, limit float64, how string, args ...any) {
	p.Rows = append(p.Rows, Row{Name: name, Value: value, Limit: limit, Unit: unit, Derivation: fmt.Sprintf(how, args...)})
}

// fitLine returns the least-squares line through points.
func fitLine(x, y []float64) (slope, intercept float64) {
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

func column(rows []FleetMeasurement, read func(FleetMeasurement) float64) []float64 {
	var out []float64
	for _, r := range rows {
		out = append(out, read(r))
	}
	return out
}

func daemonCount(f FleetMeasurement) float64 { return f.Daemons }

func (p *Plan) addProcessorTime(s Slopes) {
	slope, intercept := fitLine(column(s.Idle, daemonCount), column(s.Idle, func(f FleetMeasurement) float64 { return f.Core }))
	idle := intercept + slope*daemons
	p.add("control core, idle", "core", idle, coreLimit, "line through the idle fleets: %.4f + %.2e × %d daemons", intercept, slope, daemons)
	perCall, perToken := s.callCost()
	decisionSeconds := (s.TurnTime + s.PlaceTime + s.QueueTime) / 1e9
	callsPerDaemon := requestsPerSecond / daemons
	changesPerSecond := changesPerDay / float64(secondsPerDay)
	p.add("control core, with decisions and edits", "core", idle+callsPerDaemon*decisionSeconds+changesPerSecond*s.ApplyTime/1e9, coreLimit,
		"idle + %.1f calls/s × %.0f µs for turn, placement and queue + %.2f changes/s × %.1f ms", callsPerDaemon, decisionSeconds*1e6, changesPerSecond, s.ApplyTime/1e6)
	tokensPerDaemon := float64(tokensPerSecond) / daemons
	dataPathCore := callsPerDaemon*perCall + tokensPerDaemon*perToken
	p.add("data path, all daemons' share of calls", "core", dataPathCore, 0,
		"%.1f calls/s × %.2f ms + %.0f tokens/s × %.0f µs, over entry, home, dispatcher and copies", callsPerDaemon, perCall*1e3, tokensPerDaemon, perToken*1e6)
	p.add("reserve of the data path on one core", "times", 1/dataPathCore, 10, "one core ÷ the line above; the limit is the wanted reserve")
}

// callCost returns the processor time in seconds that one call, and each token of its
// answer, costs over all daemons of the fleet.
func (s Slopes) callCost() (call, token float64) {
	short, long := s.Loaded[0], s.Loaded[1]
	idle := math.NaN()
	for _, f := range s.Idle {
		if f.Daemons == short.Daemons {
			idle = f.Core
		}
	}
	cost := func(f FleetMeasurement) float64 { return (f.Core - idle) * f.Daemons / f.Calls }
	token = (cost(long) - cost(short)) / (long.AnswerTokens - short.AnswerTokens)
	return cost(short) - short.AnswerTokens*token, token
}

func (p *Plan) addMemory(s Slopes) {
	slope, intercept := fitLine(column(s.Idle, daemonCount), column(s.Idle, func(f FleetMeasurement) float64 { return f.Memory }))
	// The measured fleets have 19 endpoints a daemon, so the slope includes the
	// memory of endpoints.
	base := intercept + slope*daemons
	programsPerDaemon := float64(programs) / daemons
	programBytes := programsPerDaemon * s.ProgramBytes
	indexBytes := programsPerDaemon * copiesPerProgram * turnsPerProgram * s.RecordBytes
	p.add("control memory", "bytes", base+programBytes+indexBytes, memoryBytesLimit,
		"%.0f MB for the process and %d endpoints + %.0f programs × %.0f B + index of %.0f copies × %d records × %.0f B",
		base/1e6, endpoints, programsPerDaemon, s.ProgramBytes, programsPerDaemon*copiesPerProgram, turnsPerProgram, s.RecordBytes)
	p.add("history text in memory (bulk)", "bytes", programsPerDaemon*(s.HistoryBytes-s.ProgramBytes), 0, "%.0f programs × %.0f B", programsPerDaemon, s.HistoryBytes-s.ProgramBytes)
	p.add("placement tables, part of the above", "bytes", endpoints*s.EndpointBytes, 0, "%d endpoints × %.0f B", endpoints, s.EndpointBytes)
}

func (p *Plan) addControlTraffic(s Slopes) {
	heartbeatRate := func(zoneSize float64) float64 {
		peers := zoneSize - 1
		return math.Min(peers/heartbeatSeconds, 1/heartbeatSecondsPerPeer)
	}
	// A zone of one host sends neither heartbeats nor load digests, so it is left
	// out of the fit.
	var rows []FleetMeasurement
	for _, f := range s.Idle {
		if f.ZoneSize > 1 {
			rows = append(rows, f)
		}
	}
	x := column(rows, func(f FleetMeasurement) float64 { return heartbeatRate(f.ZoneSize) })
	for _, c := range []struct {
		name string
		read func(FleetMeasurement) float64
	}{
		{"control traffic, mean", func(f FleetMeasurement) float64 { return f.Control }},
		{"control traffic, busiest host", func(f FleetMeasurement) float64 { return f.ControlMax }},
	} {
		slope, intercept := fitLine(x, column(rows, c.read))
		heartbeatsPerSecond := heartbeatRate(float64(daemons) / zones)
		edits := s.ChangeBytes * changesPerDay / float64(secondsPerDay)
		p.add(c.name, "bytes/s", intercept+slope*heartbeatsPerSecond+edits, controlBytesPerSecondLimit, "%.0f + %.0f B × %.1f heartbeats/s to %d peers + %.0f for edits", intercept, slope, heartbeatsPerSecond, daemons/zones, edits)
	}
}

func (p *Plan) addPlatformCalls() {
	hostListReads := float64(daemons) / hostListSeconds
	writes := renewalsPerSecond + changesPerDay/float64(secondsPerDay) + 3*(failuresPerDay+restartsPerDay)/float64(secondsPerDay)
	p.add("platform writes", "calls/s", writes, 300, "%.0f lease renewals, bounded for the fleet, + %.2f edits + 3 records for each of %d host events a day", renewalsPerSecond, changesPerDay/float64(secondsPerDay), failuresPerDay+restartsPerDay)
	reads := hostListReads + renewalsPerSecond + 2*zones + 2*changesPerDay/float64(secondsPerDay)
	p.add("platform reads", "calls/s", reads, 2000, "%.0f host lists + %.0f own-end checks + %d watches + reads by editors", hostListReads, renewalsPerSecond, zones)
}

func (p *Plan) addHostEvents(s Slopes) {
	zoneHosts := float64(daemons) / zones
	movedPrograms := float64(programs) / zones
	p.add("zone lost: platform writes", "writes", 2*zoneHosts, 0, "an ended record and a copy-set record for each of %.0f hosts", zoneHosts)
	movedBytes := movedPrograms * s.HistoryBytes * copiesPerProgram
	p.add("zone lost: history read and copied again", "bytes", movedBytes, 0, "%.0f programs × %.0f B × %d, spread over the callers' next calls", movedPrograms, s.HistoryBytes, copiesPerProgram)
	remainingHosts := daemons - zoneHosts
	p.add("zone lost: for each remaining host", "bytes", movedBytes/remainingHosts, 0, "over %.0f hosts", remainingHosts)
	p.add("host restart: programs handed over", "programs", float64(programs)/daemons, 0, "%.1f a minute over a day for %d restarts", float64(programs)/daemons*restartsPerDay/1440, restartsPerDay)
	p.add("copy log writes", "bytes/s", requestsPerSecond/daemons*copiesPerProgram*(s.HistoryBytes-s.ProgramBytes)/turnsPerProgram, 0, "%.1f calls/s × %d copies × a turn's text, were every host a copy host", requestsPerSecond/daemons, copiesPerProgram)
}

// WriteMarkdown prints the plan as a Markdown table.
func (p Plan) WriteMarkdown(out io.Writer) error {
	if _, err := fmt.Fprint(out, "| figure | at the target | limit | worked out from |\n|---|---:|---:|---|\n"); err != nil {
		return eris.Wrap(err, "write plan")
	}
	for _, r := range p.Rows {
		limit := "–"
		if r.Limit > 0 {
			limit = formatValue(r.Limit, r.Unit)
		}
		if _, err := fmt.Fprintf(out, "| %s | %s | %s | %s |\n", r.Name, formatValue(r.Value, r.Unit), limit, r.Derivation); err != nil {
			return eris.Wrap(err, "write plan")
		}
	}
	return nil
}

func formatValue(v float64, unit string) string {
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
