package jkconfig

import (
	"encoding/json"
	"time"

	"jasmineknot.example/core/jkschema"
)

// Program is a program template: the models, budget and limits of its programs.
type Program struct {
	f struct {
		Models       []string          `json:"models"`
		BudgetTokens int64             `json:"budget_tokens"`
		MaxTurns     int               `json:"max_turns"`
		MaxDuration  jkschema.Duration `json:"max_duration"`
		ToolTimeout  jkschema.Duration `json:"tool_timeout"`
		IdleLimit    jkschema.Duration `json:"idle_limit"`
		Priority     string            `json:"priority"`
	}
}

// UnmarshalJSON reads an entry of the section.
func (p *Program) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, &p.f) }

// Models returns the models that the program's calls may use.
func (p Program) Models() []string { return p.f.Models }

// BudgetTokens returns the tokens that one program may spend.
func (p Program) BudgetTokens() int64 { return p.f.BudgetTokens }

// MaxTurns returns the number of completed calls after which the program is ended.
func (p Program) MaxTurns() int { return p.f.MaxTurns }

// MaxDuration returns the time from creation until the program is ended.
func (p Program) MaxDuration() time.Duration { return time.Duration(p.f.MaxDuration) }

// ToolTimeout returns the longest pause for a tool between two calls.
func (p Program) ToolTimeout() time.Duration { return time.Duration(p.f.ToolTimeout) }

// IdleLimit returns the time without a call after which the program's memory and cache
// are released.
func (p Program) IdleLimit() time.Duration { return time.Duration(p.f.IdleLimit) }

// Priority returns the name of the program's priority class.
func (p Program) Priority() string { return p.f.Priority }

// Model holds the versions of a model in use and where it is to be loaded.
type Model struct {
	f struct {
		Versions  []string `json:"versions"`
		Replicas  int      `json:"replicas"`
		Endpoints []string `json:"endpoints"`
		Adapter   string   `json:"adapter"`
	}
}

// UnmarshalJSON reads an entry of the section.
func (m *Model) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, &m.f) }

// Versions returns the versions in use, the preferred one first.
func (m Model) Versions() []string { return m.f.Versions }

// Replicas returns the wanted number of endpoints, or 0 if they are named.
func (m Model) Replicas() int { return m.f.Replicas }

// Endpoints returns the endpoints that hold the model, or none if only their number
// is set.
func (m Model) Endpoints() []string { return m.f.Endpoints }

// Adapter returns the adapter to load, or "".
func (m Model) Adapter() string { return m.f.Adapter }

// Budget is the spending limit of a workspace.
type Budget struct {
	f struct {
		Tokens      int64             `json:"tokens"`
		Window      jkschema.Duration `json:"window"`
		MaxPrograms int               `json:"max_programs"`
	}
}

// UnmarshalJSON reads an entry of the section.
func (b *Budget) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, &b.f) }

// Tokens returns the tokens that may be spent within the window.
func (b Budget) Tokens() int64 { return b.f.Tokens }

// Window returns the length of the window.
func (b Budget) Window() time.Duration { return time.Duration(b.f.Window) }

// MaxPrograms returns the number of programs that may run at once, or 0 for no
// limit.
func (b Budget) MaxPrograms() int { return b.f.MaxPrograms }

// Priority is a priority class.
type Priority struct {
	f struct {
		Level    int               `json:"level"`
		Weight   int               `json:"weight"`
		Deadline jkschema.Duration `json:"deadline"`
	}
}

// UnmarshalJSON reads an entry of the section.
func (p *Priority) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, &p.f) }

// Level returns the rank; 0 is served first.
func (p Priority) Level() int { return p.f.Level }

// Weight returns the share among classes of the same level.
func (p Priority) Weight() int { return p.f.Weight }

// Deadline returns the time within which a turn is to be answered, or 0.
func (p Priority) Deadline() time.Duration { return time.Duration(p.f.Deadline) }

// Measure names the quantity that an objective measures.
type Measure string

// Measures of objectives.
const (
	MeasureFirstToken Measure = "first_token"
	MeasureProgram    Measure = "program"
	MeasureTurns      Measure = "turns"
)

// Objective is a service-level objective.
type Objective struct {
	f struct {
		Measure   Measure           `json:"measure"`
		Workspace string            `json:"workspace"`
		Class     string            `json:"class"`
		Within    jkschema.Duration `json:"within"`
		Target    float64           `json:"target"`
		Window    jkschema.Duration `json:"window"`
	}
}

// UnmarshalJSON reads an entry of the section.
func (o *Objective) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, &o.f) }

// Measure returns what is measured.
func (o Objective) Measure() Measure { return o.f.Measure }

// Workspace returns the workspace it applies to, or "" for all.
func (o Objective) Workspace() string { return o.f.Workspace }

// Class returns the priority class it applies to, or "" for all.
func (o Objective) Class() string { return o.f.Class }

// Within returns the time up to which an event counts as in time.
func (o Objective) Within() time.Duration { return time.Duration(o.f.Within) }

// Target returns the ratio of events that have to be in time, between 0 and 1.
func (o Objective) Target() float64 { return o.f.Target }

// Window returns the length of time over which the ratio is computed.
func (o Objective) Window() time.Duration { return time.Duration(o.f.Window) }
