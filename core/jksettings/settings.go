// Package jksettings reads the settings of one daemon from JSON, fills in the
// defaults and reports all wrong fields at once.
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

// Level is the least important level that is logged.
type Level string

// Levels of the log.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Settings are the settings of one daemon. They don't change while it runs.
type Settings struct {
	file file
}

// file is the JSON form.
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

// Load reads a settings file. Wrong fields give a *jkschema.ReportError.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return parse("settings "+path, text)
}

// Parse reads settings from JSON text. Wrong fields give a
// *jkschema.ReportError.
func Parse(text []byte) (Settings, error) { return parse("settings", text) }

func parse(subject string, text []byte) (Settings, error) {
	if err := jkschema.Report(subject, schema.Check("", text)); err != nil {
		return Settings{}, err
	}
	s := Default()
	if err := json.Unmarshal(text, &s.file); err != nil {
		return Settings{}, undecodable(subject, err)
	}
	return s, jkschema.Report(subject, s.file.check())
}

// undecodable reports a value that passes the schema but not the decoder, such
// as 8.0 for a whole number.
func undecodable(subject string, err error) error {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		return eris.Wrapf(err, "decode %s", subject)
	}
	return jkschema.Report(subject, []jkschema.FieldError{{
		Field: wrong.Field, Value: wrong.Value, Allowed: "a value of type " + wrong.Type.String(),
	}})
}

// check returns the problems that the schema can't express.
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
	// A single lost heartbeat must not make a host count as dead.
	if i.DeadAfter < 2*i.Heartbeat {
		problems = append(problems, jkschema.FieldError{
			Field: "intervals.dead_after", Value: jkschema.FormatValue(i.DeadAfter),
			Allowed: "at least twice intervals.heartbeat, " + time.Duration(i.Heartbeat).String(),
		})
	}
	// The lease is renewed with each heartbeat at most.
	if i.Lease < 2*i.Heartbeat {
		problems = append(problems, jkschema.FieldError{
			Field: "intervals.lease", Value: jkschema.FormatValue(i.Lease),
			Allowed: "at least twice intervals.heartbeat, " + time.Duration(i.Heartbeat).String(),
		})
	}
	return problems
}
