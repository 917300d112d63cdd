// Package jksettings reads the settings of one daemon from JSON, fills in the defaults
// and reports all invalid fields at once. The configuration that all hosts share is not
// part of it (see jkconfig).
package jksettings

import (
	_ "embed"
	"encoding/json"
	"errors"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkschema"
)

//go:embed schema.json
var schemaText []byte

var schema = jkschema.MustCompile("settings.json", "", schemaText)

// Schema returns the text of the JSON schema.
func Schema() []byte { return append([]byte{}, schemaText...) }

// Level is the minimum level that is logged.
type Level string

// Log levels.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Settings are the settings of one daemon. They are immutable while it runs.
type Settings struct {
	file file
}

// file is the JSON form of the settings.
type file struct {
	Host       string        `json:"host"`
	Zone       string        `json:"zone"`
	Listen     string        `json:"listen"`
	HTTP       string        `json:"http"`
	Peers      []filePeer    `json:"peers"`
	Platform   string        `json:"platform"`
	DataFolder string        `json:"data_folder"`
	TokenKeys  []fileKey     `json:"token_keys"`
	Limits     fileLimits    `json:"limits"`
	Intervals  fileIntervals `json:"intervals"`
	LogLevel   Level         `json:"log_level"`
}

type filePeer struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

type fileKey struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

type fileLimits struct {
	EndpointQueue int   `json:"endpoint_queue"`
	EntryQueue    int   `json:"entry_queue"`
	Programs      int   `json:"programs"`
	Calls         int   `json:"calls"`
	Streams       int   `json:"streams"`
	Suspects      int   `json:"suspects"`
	BodyBytes     int64 `json:"body_bytes"`
	MemoryMB      int64 `json:"memory_mb"`
	PlatformCalls int   `json:"platform_calls"`
	ModelLoads    int   `json:"model_loads"`
}

type fileIntervals struct {
	Heartbeat  jkschema.Duration `json:"heartbeat"`
	ZoneDigest jkschema.Duration `json:"zone_digest"`
	DeadAfter  jkschema.Duration `json:"dead_after"`
	Lease      jkschema.Duration `json:"lease"`
	Tick       jkschema.Duration `json:"tick"`
	Watch      jkschema.Duration `json:"watch"`
	HostList   jkschema.Duration `json:"host_list"`
	Drain      jkschema.Duration `json:"drain"`
	ModelLoad  jkschema.Duration `json:"model_load"`
}

// Load reads a settings file. It returns a *jkschema.ReportError for invalid fields.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return parse("settings "+path, text)
}

// Parse reads settings from JSON text. It returns a *jkschema.ReportError for invalid
// fields.
func Parse(text []byte) (Settings, error) { return parse("settings", text) }

func parse(subject string, text []byte) (Settings, error) {
	if err := jkschema.Report(subject, schema.Check("", text)); err != nil {
		return Settings{}, err
	}
	s := Default()
	if err := json.Unmarshal(text, &s.file); err != nil {
		return Settings{}, decodeError(subject, err)
	}
	return s, jkschema.Report(subject, s.file.check())
}

// decodeError returns the error for a value that the schema accepts and the decoder does
// not, such as 8.0 for an integer.
func decodeError(subject string, err error) error {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return eris.Wrapf(err, "decode %s", subject)
	}
	return jkschema.Report(subject, []jkschema.FieldError{{
		Field: typeErr.Field, Value: typeErr.Value, Allowed: "a value of type " + typeErr.Type.String(),
	}})
}

// check returns the violations of rules that the schema can't express.
func (f *file) check() []jkschema.FieldError {
	problems := checkUnique("token_keys", "id", len(f.TokenKeys), func(i int) string { return f.TokenKeys[i].ID })
	problems = append(problems, checkUnique("peers", "host", len(f.Peers), func(i int) string { return f.Peers[i].Host })...)
	problems = append(problems, checkUnique("peers", "address", len(f.Peers), func(i int) string { return f.Peers[i].Address })...)
	return append(problems, f.Intervals.check()...)
}

func checkUnique(list, field string, n int, value func(int) string) []jkschema.FieldError {
	seen := map[string]bool{}
	var problems []jkschema.FieldError
	for i := range n {
		v := value(i)
		if seen[v] {
			at := jkschema.Join(list+"["+strconv.Itoa(i)+"]", field)
			problems = append(problems, jkschema.FieldError{
				Field: at, Value: jkschema.FormatValue(v), Allowed: "a value that no other entry of " + list + " has",
			})
		}
		seen[v] = true
	}
	return problems
}

func (i fileIntervals) check() []jkschema.FieldError {
	var problems []jkschema.FieldError
	// A single lost heartbeat must not be enough to declare a host dead.
	if i.DeadAfter < 2*i.Heartbeat {
		problems = append(problems, jkschema.FieldError{
			Field: "intervals.dead_after", Value: jkschema.FormatValue(i.DeadAfter),
			Allowed: "at least twice intervals.heartbeat, " + time.Duration(i.Heartbeat).String(),
		})
	}
	// The lease is renewed no more often than with each heartbeat.
	if i.Lease < 2*i.Heartbeat {
		problems = append(problems, jkschema.FieldError{
			Field: "intervals.lease", Value: jkschema.FormatValue(i.Lease),
			Allowed: "at least twice intervals.heartbeat, " + time.Duration(i.Heartbeat).String(),
		})
	}
	return problems
}
