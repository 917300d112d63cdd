package jkdaemoncmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against invalid settings that are detected only when the host serves, and
// against a report that names only one of several invalid fields.
func TestCheckSettings(t *testing.T) {
	valid := `{"host":"a-1","zone":"a","listen":"127.0.0.1:7000","http":"127.0.0.1:8000",
		"platform":"http://127.0.0.1:9000","token_keys":[{"id":"k1","secret":"0123456789abcdef"}]}`
	for _, tc := range []struct {
		name string
		text string
		code int
		want []string
	}{
		{"valid", valid, exitOK, []string{"settings of host a-1 in zone a are valid"}},
		{"two wrong fields", strings.NewReplacer(`"a-1"`, `7`, `0123456789abcdef`, `short`).Replace(valid), exitSettings, []string{"host", "token_keys"}},
		{"unknown field", strings.Replace(valid, `"zone"`, `"colour":"red","zone"`, 1), exitSettings, []string{"colour"}},
		{"no JSON", `{`, exitSettings, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.json")
			if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
				t.Fatal(err)
			}
			var out, errs bytes.Buffer
			code := Main([]string{"check-settings", "-s", path}, &out, &errs)
			if code != tc.code {
				t.Errorf("got exit code %d, want %d: %s", code, tc.code, errs.String())
			}
			for _, w := range tc.want {
				if !strings.Contains(out.String()+errs.String(), w) {
					t.Errorf("%q is not named in: %s%s", w, out.String(), errs.String())
				}
			}
		})
	}
}
