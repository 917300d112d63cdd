package jksettings

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"jasmineknot.example/core/jkschema"
)

// Guards against an invalid setting that is accepted, against a report that names only
// the first invalid field, and against secrets in reports.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, td *datadriven.TestData) string {
		s, err := Parse([]byte(td.Input))
		if err != nil {
			var field *jkschema.FieldError
			if !errors.As(err, &field) {
				t.Errorf("%s: error is not typed: %v", td.Pos, err)
			}
			return err.Error() + "\n"
		}
		shown := s.file
		for i := range shown.TokenKeys {
			shown.TokenKeys[i].Secret = fmt.Sprintf("%d bytes", len(s.TokenKeys()[i].Secret))
		}
		text, err := json.MarshalIndent(shown, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		return string(text) + "\n"
	})
}

// Guards against a missing file that is treated as empty settings.
func TestLoadMissingFile(t *testing.T) {
	if _, err := Load("testdata/no-such-file.json"); err == nil {
		t.Fatal("want an error")
	}
}

func ExampleParse() {
	_, err := Parse([]byte(`{"host": "a1", "zone": "a", "listen": "10.0.0.1:7000",
		"http": "10.0.0.1:8000", "platform": "http://10.0.0.9:7100", "log_level": "loud",
		"token_keys": [{"id": "k1", "secret": "short"}]}`))
	fmt.Println(err)
	// Output:
	// settings: 2 wrong fields
	//   log_level: "loud" is not allowed: want one of debug, info, warn, error (least important level that is logged)
	//   token_keys[0].secret: (secret) is not allowed: want at least 16 characters (at least 16 bytes, the same on all hosts)
}
